package proc_test

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
)

var _ = Describe("a daemon that is starting", func() {
	// Guards against SIGHUP that ends a daemon which has not read its settings yet.
	It("is not ended by SIGHUP", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		settings := filepath.Join(dir, "settings.ini")
		Expect(syscall.Mkfifo(settings, 0o600)).To(Succeed())
		process := &proc.Process{
			Name: "starting", Binary: binary, Args: []string{"daemon", "--settings", settings}, LogFile: filepath.Join(dir, "log"),
		}
		Expect(process.Start()).To(Succeed())
		DeferCleanup(process.Kill)
		pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // returns when the process has begun to read its settings
		Expect(err).NotTo(HaveOccurred())
		Expect(process.Signal(syscall.SIGHUP)).To(Succeed())
		pause(ctx, 100*time.Millisecond)
		_, err = pipe.WriteString("[daemon]\nname = incomplete\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(pipe.Close()).To(Succeed())
		Expect(process.Wait(ctx)).NotTo(Succeed())
		Expect(process.Tail(20)).To(ContainSubstring("bad-settings"), "the settings were read")
	}, SpecTimeout(specTimeout))
})
