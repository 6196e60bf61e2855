package cmds_test

import (
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/cli/cmds"
)

// Guards against a regression that is listed but does not fail the command.
var _ = ginkgo.Describe("bounds", func() {
	run := func(text string) (int, string) {
		dir := ginkgo.GinkgoT().TempDir()
		file, figures := filepath.Join(dir, "bounds.ini"), filepath.Join(dir, "figures")
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		Expect(os.WriteFile(figures, []byte("BenchmarkPath/cost-10 1 5 ns/op 200 allocations\n"), 0o600)).To(Succeed())
		input, err := os.Open(figures)
		Expect(err).NotTo(HaveOccurred())
		defer input.Close()
		stdin := os.Stdin
		os.Stdin = input
		defer func() { os.Stdin = stdin }()
		status, out, _ := command("bounds", "--file", file)
		return status, out
	}
	ginkgo.It("lists the bounds that are not met and exits with status 1", func() {
		status, out := run("[path/cost]\nallocations = <= 200\nbytes = <= 9\n")
		Expect(status).To(Equal(cmds.StatusFailure))
		Expect(out).To(ContainSubstring("met    path/cost  allocations  200"))
		Expect(out).To(ContainSubstring("SHORT  path/cost  bytes        not measured"))
	})
	ginkgo.It("exits with status 0 when all are met", func() {
		status, _ := run("[path/cost]\nallocations = <= 200\n")
		Expect(status).To(Equal(cmds.StatusOK))
	})
})
