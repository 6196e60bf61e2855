package opts

import (
	"bytes"
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// pollInterval is how often the file is read without a signal, because it can be changed without sending one.
const pollInterval = time.Second

// Reloader applies changes of the settings file while the daemon runs. The log level and the platform's addresses and timeout take
// effect immediately, the other keys at the next start.
type Reloader struct {
	File    string          // if empty, nothing is reloaded
	Signals <-chan struct{} // each value requests an immediate read of the file; may be nil
	Log     logr.Logger
	Changed func(settings *Settings) // called with the merged settings after each valid change; may be nil

	current     atomic.Pointer[Settings]
	lastContent []byte // as last read, valid or not
}

// Start sets the initial settings. It is called before Run.
func (l *Reloader) Start(settings *Settings) {
	l.current.Store(settings)
	if l.File != "" {
		l.lastContent, _ = os.ReadFile(l.File) // Run reports a file that cannot be read
	}
}

// Get returns the settings in force.
func (l *Reloader) Get() *Settings {
	return l.current.Load()
}

// Run reads the file on each signal and poll until ctx ends.
func (l *Reloader) Run(ctx context.Context) error {
	if l.File == "" {
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
		case <-l.Signals:
			signaled = true
		}
		content, err := os.ReadFile(l.File)
		if err != nil {
			if !unreadable {
				l.Log.Error(err, "settings-unreadable", "file", l.File)
			}
			unreadable = true
			continue
		}
		unreadable = false
		l.apply(content, signaled)
	}
}

func (l *Reloader) apply(content []byte, signaled bool) {
	if bytes.Equal(content, l.lastContent) {
		if signaled {
			l.Log.Info("settings-reloaded", "file", l.File, "changed", false)
		}
		return
	}
	l.lastContent = content
	next, err := Parse(l.File, content)
	if err != nil {
		l.Log.Error(err, "settings-refused", "file", l.File)
		return
	}
	current := l.current.Load()
	merged := *current
	merged.LogLevel = next.LogLevel
	merged.Table, merged.Objects, merged.PlatformTimeout = next.Table, next.Objects, next.PlatformTimeout
	l.current.Store(&merged)
	unapplied := *next
	unapplied.LogLevel = current.LogLevel
	unapplied.Table, unapplied.Objects, unapplied.PlatformTimeout = current.Table, current.Objects, current.PlatformTimeout
	l.Log.Info("settings-reloaded", "file", l.File, "changed", true, "waits-for-restart", !unapplied.equal(current))
	if l.Changed != nil {
		l.Changed(&merged)
	}
}
