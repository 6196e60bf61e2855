package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent makes collections less frequent than the runtime's default of 100. The live heap of a daemon is a few MiB: with 100,
	// a collection ran about every 200 calls, often enough to raise the p99 latency of calls.
	gcPercent = 400
	// heapShare is the share of the memory of the process from which on collections become more frequent again.
	heapShare = 0.75
	megabyte  = 1_000_000 // bytes
)

// TuneGC tunes the garbage collector of a process that may use memoryMB megabytes. GOGC and GOMEMLIMIT in the environment take
// precedence.
func TuneGC(memoryMB int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapShare * megabyte * float64(memoryMB)))
	}
}
