package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent makes collections less frequent than the runtime's default of 100. The live heap of a daemon is a few MiB: with 100,
	// a collection ran about every 200 calls, often enough to raise the p99 latency of calls.
	gcPercent = 400
	// memoryLimit makes collections more frequent again before a daemon reaches its memory allowance of 256 MB.
	memoryLimit = 192 << 20 // bytes
)

// TuneGC tunes the garbage collector of the process for a daemon. GOGC and GOMEMLIMIT in the environment take precedence.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
