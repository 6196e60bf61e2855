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

// stateKeeper announces the member state that follows from the server and the configuration. A zone out is not announced per
// member: every router sees it in the configuration, and a thousand records need not change.
type stateKeeper struct {
	Node    *gossip.Node
	Holder  *config.Holder
	Backend *backend
	Log     logr.Logger

	current  member.State
	stopping atomic.Bool // the planned stop announces its own state
}

func (k *stateKeeper) stop() {
	k.stopping.Store(true)
}

// Run keeps the state until ctx ends.
func (k *stateKeeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(stateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.update()
		}
	}
}

func (k *stateKeeper) update() {
	if k.stopping.Load() {
		return
	}
	next := k.wanted()
	if next == k.current {
		return
	}
	k.Log.Info("member-state-changed", "from", k.current, "to", next)
	k.current = next
	k.Node.SetState(next)
}

func (k *stateKeeper) wanted() member.State {
	switch {
	case k.Backend.departing():
		return member.Leaving
	case k.Holder.Get() == nil:
		return member.Joining
	default:
		return member.Serving
	}
}

// ready tells why the daemon takes no work, or nil.
func (k *stateKeeper) ready() error {
	switch {
	case k.Holder.Get() == nil:
		return code.NotRunf(code.NoConfiguration, "no configuration yet")
	case k.Node.Isolated():
		return code.NotRunf(code.Isolated, "neither the platform nor any daemon heard lately")
	case k.Backend.departing():
		return code.NotRunf(code.ServerLeaving, "the server is leaving")
	default:
		return nil
	}
}

// takesCallers tells why callers on this instance should go elsewhere, or nil. A server that leaves is no reason: requests go to
// any server.
func (k *stateKeeper) takesCallers() error {
	switch {
	case k.stopping.Load():
		return code.NotRunf(code.Stopping, "the daemon is stopping")
	case k.Holder.Get() == nil:
		return code.NotRunf(code.NoConfiguration, "no configuration yet")
	default:
		return nil
	}
}
