package opts

import (
	"bytes"
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// checkEvery is how often the file is read without a signal. It can change without one.
const checkEvery = time.Second

// Reloader follows the settings file while the daemon runs. The log level and the platform's addresses and timeout change at once;
// the other keys take effect with the next start.
type Reloader struct {
	File    string          // nothing is followed when empty
	Signals <-chan struct{} // asks for reading the file now; may be nil
	Log     logr.Logger
	Changed func(settings *Settings) // called with each valid change; may be nil

	current atomic.Pointer[Settings]
	content []byte
}

// Start sets the settings in force. It is called before Run.
func (l *Reloader) Start(settings *Settings) {
	l.current.Store(settings)
	if l.File != "" {
		l.content, _ = os.ReadFile(l.File) // a file that cannot be read now is reported by Run
	}
}

// Get returns the settings in force.
func (l *Reloader) Get() *Settings {
	return l.current.Load()
}

// Run follows the file until ctx ends.
func (l *Reloader) Run(ctx context.Context) error {
	if l.File == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	unreadable := false
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-l.Signals:
			asked = true
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
		l.read(content, asked)
	}
}

func (l *Reloader) read(content []byte, asked bool) {
	if bytes.Equal(content, l.content) {
		if asked {
			l.Log.Info("settings-reloaded", "file", l.File, "changed", false)
		}
		return
	}
	l.content = content
	next, err := Parse(l.File, content)
	if err != nil {
		l.Log.Error(err, "settings-refused", "file", l.File)
		return
	}
	before := l.current.Load()
	merged := *before
	merged.LogLevel = next.LogLevel
	merged.Table, merged.Objects, merged.PlatformTimeout = next.Table, next.Objects, next.PlatformTimeout
	l.current.Store(&merged)
	rest := *next
	rest.LogLevel = before.LogLevel
	rest.Table, rest.Objects, rest.PlatformTimeout = before.Table, before.Objects, before.PlatformTimeout
	l.Log.Info("settings-reloaded", "file", l.File, "changed", true, "waits-for-restart", !rest.equal(before))
	if l.Changed != nil {
		l.Changed(&merged)
	}
}
