package opts_test

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/opts"
)

var _ = Describe("settings that change while the daemon runs", func() {
	// Guards against a change that is missed, with and without a signal, and against an invalid file that takes effect.
	It("follow the file and stay as they are when it is invalid", func() {
		file := filepath.Join(GinkgoT().TempDir(), "settings.ini")
		write := func(text string) { Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed()) }
		write(minimal)
		settings, err := opts.Load(file)
		Expect(err).NotTo(HaveOccurred())
		signals := make(chan struct{})
		logged := make(chan string, 16)
		log := funcr.New(func(_, args string) { logged <- args }, funcr.Options{})
		settings.KillAfter = 10 * time.Second
		restarts := make(chan *opts.Settings, 1)
		reloader := &opts.Reloader{
			File: file, KillAfter: settings.KillAfter, Signals: signals, Log: log, Restart: func(next *opts.Settings) { restarts <- next },
		}
		reloader.Start(settings)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- reloader.Run(ctx) }()

		write(minimal + "\n[log]\nlevel = debug\n")
		signals <- struct{}{}
		Eventually(func() slog.Level { return reloader.Get().LogLevel }).Should(Equal(slog.LevelDebug))
		Expect(<-logged).To(ContainSubstring(`"waits-for-restart"=false`), "the time until the kill is not from the file")
		write("[daemon]\nservice = \n")
		signals <- struct{}{}
		Consistently(func() slog.Level { return reloader.Get().LogLevel }, 50*time.Millisecond).Should(Equal(slog.LevelDebug))
		write(strings.Replace(minimal, "zone = ", "zone = other-", 1) + "\n[log]\nlevel = warn\n")
		Eventually(func() slog.Level { return reloader.Get().LogLevel }, 3*time.Second).Should(Equal(slog.LevelWarn))
		Expect(reloader.Get().Zone).To(Equal(settings.Zone), "a change of the zone needs a restart")
		Expect(restarts).NotTo(Receive())
		write(strings.Replace(minimal, "service = ", "service = other-", 1))
		signals <- struct{}{}
		var next *opts.Settings
		Eventually(restarts).Should(Receive(&next))
		Expect(next.Service).To(HavePrefix("other-"))
		Expect(next.KillAfter).To(Equal(settings.KillAfter))
		Expect(reloader.Get().Service).To(Equal(next.Service), "the callers are told before the restart")
		cancel()
		Expect(<-done).To(Succeed())
	})
})
