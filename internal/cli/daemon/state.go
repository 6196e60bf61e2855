package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

const stateInterval = 200 * time.Millisecond // well within the 3 s in which a departure must take effect

// stateAnnouncer announces the member state that follows from the server and the configuration. A zone out is not announced per
// member: every router sees it in the configuration, and a thousand records need not change.
type stateAnnouncer struct {
	Node    *gossip.Node
	Holder  *config.Holder
	Backend *backend
	Log     logr.Logger

	current  member.State
	stopping atomic.Bool // the planned stop announces its own state
}

func (a *stateAnnouncer) stop() {
	a.stopping.Store(true)
}

// Run keeps the state until ctx ends.
func (a *stateAnnouncer) Run(ctx context.Context) error {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.update()
		}
	}
}

func (a *stateAnnouncer) update() {
	if a.stopping.Load() {
		return
	}
	next := a.desiredState()
	if next == a.current {
		return
	}
	a.Log.Info("member-state-changed", "from", a.current, "to", next)
	a.current = next
	a.Node.SetState(next)
}

func (a *stateAnnouncer) desiredState() member.State {
	switch {
	case a.Backend.departing():
		return member.Leaving
	case a.Holder.Get() == nil:
		return member.Joining
	default:
		return member.Serving
	}
}

// ready tells why the daemon takes no work, or nil.
func (a *stateAnnouncer) ready() error {
	switch {
	case a.Holder.Get() == nil:
		return code.NotRunf(code.NoConfiguration, "no configuration yet")
	case a.Node.Isolated():
		return code.NotRunf(code.Isolated, "neither the platform nor any daemon heard lately")
	case a.Backend.departing():
		return code.NotRunf(code.ServerLeaving, "the server is leaving")
	default:
		return nil
	}
}

// acceptsCallers tells why callers on this instance should go elsewhere, or nil. A server that leaves is no reason: requests go to
// any server.
func (a *stateAnnouncer) acceptsCallers() error {
	switch {
	case a.stopping.Load():
		return code.NotRunf(code.Stopping, "the daemon is stopping")
	case a.Holder.Get() == nil:
		return code.NotRunf(code.NoConfiguration, "no configuration yet")
	default:
		return nil
	}
}
