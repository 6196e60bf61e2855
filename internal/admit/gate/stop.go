package gate

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// SetStopTime sets the time at which a stopping daemon cuts running calls. Calls that may take longer are refused from now on, while
// another server can still run them.
func (g *Gate) SetStopTime(end time.Time) {
	g.stopTime.Store(&end)
}

// ends reports whether the stop time has come.
func (g *Gate) ends() bool {
	end := g.stopTime.Load()
	return end != nil && !time.Now().Before(*end)
}

// Drain refuses new and queued calls and waits until the admitted calls have ended, or until ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.stopping.Store(true)
	g.refreshRefusing()
	g.mu.Lock()
	if g.calls.Load() == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle, left := g.idle, g.calls.Load()
	g.mu.Unlock()
	g.Log.Info("drain-waiting", "calls", left)
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outlastsStop refuses a call that may still run when the stopping daemon ends. Uploads may take until their deadline; other calls are
// judged by those of their class.
func (c *call) outlastsStop() *code.Error {
	g, class := c.gate, c.head.Class
	end := g.stopTime.Load()
	if end == nil || !c.deadline.After(*end) {
		return nil
	}
	if class != ident.Upload && g.times[class].Fits(time.Until(*end), c.head.Idempotent) {
		return nil
	}
	return g.stoppingError()
}

func (g *Gate) stoppingError() *code.Error {
	return code.NotRunf(code.Stopping, "daemon %s is stopping", g.Address)
}
