package opts_test

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/opts"
)

var _ = Describe("settings that change while the daemon runs", func() {
	// Guards against a change that is missed, with and without a signal, and against a wrong file that takes effect.
	It("follow the file and keep the last good one", func() {
		file := filepath.Join(GinkgoT().TempDir(), "settings.ini")
		write := func(text string) { Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed()) }
		write(minimal)
		settings, err := opts.Load(file)
		Expect(err).NotTo(HaveOccurred())
		signals := make(chan struct{})
		live := &opts.Reloader{File: file, Signals: signals, Log: logr.Discard()}
		live.Start(settings)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- live.Run(ctx) }()

		write(minimal + "\n[log]\nlevel = debug\n")
		signals <- struct{}{}
		Eventually(func() slog.Level { return live.Get().LogLevel }).Should(Equal(slog.LevelDebug))
		write("[daemon]\nservice = \n")
		signals <- struct{}{}
		Consistently(func() slog.Level { return live.Get().LogLevel }, 50*time.Millisecond).Should(Equal(slog.LevelDebug))
		write(strings.Replace(minimal, "zone = ", "zone = other-", 1) + "\n[log]\nlevel = warn\n")
		Eventually(func() slog.Level { return live.Get().LogLevel }, 3*time.Second).Should(Equal(slog.LevelWarn))
		Expect(live.Get().Zone).To(Equal(settings.Zone), "needs a restart")
		cancel()
		Expect(<-done).To(Succeed())
	})
})
