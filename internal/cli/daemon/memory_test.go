package daemon_test

import (
	"math"
	"runtime/debug"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
)

// Guards against garbage that exceeds the memory of a small instance before it is collected.
func TestGarbageStaysWithinTheMemoryOfTheInstance(t *testing.T) {
	t.Setenv("GOMEMLIMIT", "")
	t.Setenv("GOGC", "")
	g := NewWithT(t)
	before := debug.SetMemoryLimit(math.MaxInt64)
	percent := debug.SetGCPercent(100)
	t.Cleanup(func() {
		debug.SetMemoryLimit(before)
		debug.SetGCPercent(percent)
	})
	const small = 184
	daemon.TuneGC(small)
	g.Expect(debug.SetMemoryLimit(-1)).To(BeNumerically("<", small*1_000_000*8/10), "room for stacks and buffers of the kernel")
}
