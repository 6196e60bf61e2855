package opts

import (
	"bytes"
	"cmp"
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// pollInterval is how often the file is read without a signal, because it can be changed without sending one.
const pollInterval = time.Second

// Reloader applies changes of the settings file while the daemon runs. The log level and the platform's addresses and timeout take
// effect immediately, another service by a restart, and the other keys at the next start.
type Reloader struct {
	File      string          // if empty, nothing is reloaded
	KillAfter time.Duration   // in place of that of the file; 0 for the file's
	Signals   <-chan struct{} // each value requests an immediate read of the file; may be nil
	Log       logr.Logger
	Changed   func(settings *Settings) // called with the merged settings after each valid change; may be nil
	// Restart is called when the server beside the daemon runs another service, which most parts of a daemon depend on; may be nil.
	Restart func(next *Settings)

	current     atomic.Pointer[Settings]
	lastContent []byte // as last read, valid or not
}

// Start sets the initial settings. It is called before Run.
func (r *Reloader) Start(settings *Settings) {
	r.current.Store(settings)
	if r.File != "" {
		r.lastContent, _ = os.ReadFile(r.File) // Run reports a file that cannot be read
	}
}

// Get returns the settings in force.
func (r *Reloader) Get() *Settings {
	return r.current.Load()
}

// Run reads the file on each signal and poll until ctx ends.
func (r *Reloader) Run(ctx context.Context) error {
	if r.File == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	unreadable := false
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.Signals:
			signaled = true
		}
		content, err := os.ReadFile(r.File)
		if err != nil {
			if !unreadable {
				r.Log.Error(err, "settings-unreadable", "file", r.File)
			}
			unreadable = true
			continue
		}
		unreadable = false
		r.apply(content, signaled)
	}
}

func (r *Reloader) apply(content []byte, signaled bool) {
	if bytes.Equal(content, r.lastContent) {
		if signaled {
			r.Log.Info("settings-reloaded", "file", r.File, "changed", false)
		}
		return
	}
	r.lastContent = content
	next, err := Parse(r.File, content)
	if err != nil {
		r.Log.Error(err, "settings-refused", "file", r.File)
		return
	}
	next.KillAfter = cmp.Or(r.KillAfter, next.KillAfter)
	current := r.current.Load()
	merged := *current
	merged.LogLevel, merged.Service = next.LogLevel, next.Service
	merged.Table, merged.Objects, merged.PlatformTimeout = next.Table, next.Objects, next.PlatformTimeout
	r.current.Store(&merged)
	unapplied := *next
	unapplied.LogLevel, unapplied.Service = current.LogLevel, current.Service
	unapplied.Table, unapplied.Objects, unapplied.PlatformTimeout = current.Table, current.Objects, current.PlatformTimeout
	r.Log.Info("settings-reloaded", "file", r.File, "changed", true, "waits-for-restart", !unapplied.equal(current))
	if r.Changed != nil {
		r.Changed(&merged)
	}
	if r.Restart != nil && next.Service != current.Service {
		r.Restart(next)
	}
}
