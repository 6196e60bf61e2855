package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
)

const stateInterval = 200 * time.Millisecond // far below the 3 s within which a departure must take effect

// stateAnnouncer derives the member state from the server and the configuration, and announces it. A zone that is out is not
// announced by its members: every router reads that from the configuration, so a thousand records need not change.
type stateAnnouncer struct {
	Node    *gossip.Node
	Holder  *config.Holder
	Backend *backend
	Rollout *agent.Agent
	Log     logr.Logger

	current  member.State
	stopping atomic.Bool // the planned stop has begun and announces the state itself
}

func (a *stateAnnouncer) stop() {
	a.stopping.Store(true)
}

// Run updates the state periodically until ctx ends.
func (a *stateAnnouncer) Run(ctx context.Context) error {
	clock.Every(ctx, stateInterval, func(time.Time) { a.update() })
	return nil
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
	case a.Backend.departing(), a.Rollout.OutOfService():
		return member.Leaving
	case a.Holder.Get() == nil:
		return member.Joining
	default:
		return member.Serving
	}
}

// mayCoordinate reports whether the daemon may coordinate a roll-out. One whose server is out of service because of it may.
func (a *stateAnnouncer) mayCoordinate() bool {
	return !a.stopping.Load() && !a.Backend.departing() && a.Holder.Get() != nil
}

// ready returns the reason why the daemon admits no work, or nil when it does.
func (a *stateAnnouncer) ready() error {
	if _, err := a.Holder.InForce(); err != nil {
		return err
	}
	switch {
	case a.Node.Isolated():
		return code.NotRunf(code.Isolated, "no recent contact with the platform or any daemon")
	case a.Backend.departing():
		return code.NotRunf(code.ServerLeaving, "the server is leaving")
	default:
		return nil
	}
}

// acceptsCallers returns the reason why callers on this instance should use another daemon, or nil. A departing server is no such
// reason, because the daemon routes requests to other servers.
func (a *stateAnnouncer) acceptsCallers() error {
	if a.stopping.Load() {
		return code.NotRunf(code.Stopping, "the daemon is stopping")
	}
	_, err := a.Holder.InForce()
	return err
}
