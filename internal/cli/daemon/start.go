package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"marigoldwinch.example/marigoldwinch/internal/admin/rest"
	"marigoldwinch.example/marigoldwinch/internal/admit/gate"
	"marigoldwinch.example/marigoldwinch/internal/admit/ledger"
	"marigoldwinch.example/marigoldwinch/internal/admit/limit"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/route/claim"
	"marigoldwinch.example/marigoldwinch/internal/route/front"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
)

// leaveTimeout bounds the announcement of a planned stop; the daemons that miss it learn of it by later exchanges.
const leaveTimeout = 2 * time.Second

type startParts struct {
	fx.In
	Lifecycle fx.Lifecycle
	Failures  chan error
	Settings  *opts.Settings
	Live      *opts.Reloader
	API       *rest.API
	Pool      *link.Pool
	Link      *link.Server
	Node      *gossip.Node
	Watch     *watch.Watch
	State     *stateKeeper
	Backend   *backend
	Limiter   *limit.Limiter
	Ledger    *ledger.Ledger
	Gate      *gate.Gate
	Reports   *pool.Pool
	Claims    *claim.Claims
	Calls     *call.Client
	Front     *front.Front
	Endpoint  *endpoint
	Caster    *dgram.Reporter
	Log       logr.Logger
}

// start runs the parts. They stop in reverse order: the planned stop comes first, so that everything that a request in
// flight needs still runs while it finishes; the administration API stops last.
func start(parts startParts) {
	tasks := []task{
		{"settings", parts.Live.Run},
		{"administration-api", parts.API.Run},
		{"platform-endpoint", parts.Endpoint.Run},
		{"peer-pool", parts.Pool.Run},
		{"membership", parts.Node.Run},
		{"platform-watch", parts.Watch.Run},
		{"server-polls", parts.Backend.Run},
		{"limiter", parts.Limiter.Run},
		{"ledger", parts.Ledger.Run},
		{"admission", parts.Gate.Run},
		{"peer-server", parts.Link.Run},
		{"reports", parts.Reports.Run},
		{"report-datagrams", runCaster(parts.Caster)},
		{"claims", parts.Claims.Run},
		{"front", parts.Front.Run},
		{"member-state", parts.State.Run},
	}
	for _, one := range tasks {
		background(parts.Lifecycle, parts.Failures, one)
	}
	parts.Lifecycle.Append(fx.StopHook(func(ctx context.Context) error { return plannedStop(ctx, parts) }))
}

// plannedStop makes callers go elsewhere for the grace, and then waits for the requests at the own server and of the own callers.
// Other daemons learn of it only leaveGrace before its end: until then the server beside this daemon works for them, and in a
// rolling restart no further one is missing. The time of the announcement is part of the grace, as the platform may not answer.
func plannedStop(ctx context.Context, parts startParts) error {
	parts.State.stop()
	parts.Front.DisableKeepAlives()
	parts.Calls.SetStopTime(time.Now().Add(parts.Settings.StopGrace + parts.Settings.StopTimeout))
	last := min(leaveGrace, parts.Settings.StopGrace)
	wait(ctx, parts.Settings.StopGrace-last)
	announcing, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var grace sync.WaitGroup
	grace.Go(func() { announceLeave(announcing, parts) })
	wait(ctx, last)
	draining, cancelDrain := context.WithTimeout(ctx, parts.Settings.StopTimeout)
	defer cancelDrain()
	var drains errgroup.Group
	drains.Go(func() error { return errors.Wrap(parts.Gate.Drain(draining), "drain admission") })
	drains.Go(func() error { return errors.Wrap(parts.Front.Drain(draining), "drain front") })
	err := drains.Wait()
	cancel()
	grace.Wait()
	return err
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func announceLeave(ctx context.Context, parts startParts) {
	if err := parts.Node.Leave(ctx); err != nil {
		parts.Log.Info("leave-not-announced", "cause", err.Error())
	}
	if err := parts.Watch.Withdraw(ctx); err != nil {
		parts.Log.Info("announcement-not-withdrawn", "cause", err.Error())
	}
}
