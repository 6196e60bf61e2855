package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent makes collections rarer than the runtime's 100. The live heap of a daemon is a few MiB, so that with 100 a
	// collection came about every 200 calls, often enough to be felt in the slowest call of a hundred.
	gcPercent = 400
	// memoryLimit makes collections more frequent again before a daemon reaches its 256 MB.
	memoryLimit = 192 << 20 // bytes
)

// TuneGC sets the garbage collector of the process for a daemon. The variables of the environment for that win.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
