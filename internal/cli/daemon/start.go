package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/admin/rest"
	"marigoldwinch.example/marigoldwinch/internal/admit/gate"
	"marigoldwinch.example/marigoldwinch/internal/admit/ledger"
	"marigoldwinch.example/marigoldwinch/internal/admit/limit"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
	"marigoldwinch.example/marigoldwinch/internal/quota/permit"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/roll/coord"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/route/claim"
	"marigoldwinch.example/marigoldwinch/internal/route/front"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
)

// leaveTimeout bounds the announcement of a planned stop. Daemons that miss it learn of the stop from later gossip exchanges.
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
	State     *stateAnnouncer
	Rollout   *agent.Agent
	Rounds    *coord.Coordinator
	Backend   *backend
	Limiter   *limit.Limiter
	Ledger    *ledger.Ledger
	Gate      *gate.Gate
	Reports   *pool.Pool
	Claims    *claim.Claims
	Caps      *permit.Agent
	Calls     *call.Client
	Front     *front.Front
	Endpoint  *endpoint
	Reporter  *dgram.Reporter
	Log       logr.Logger
}

// start registers the tasks of the daemon. They stop in reverse order: the planned stop comes first, so that everything that a
// request in flight needs still runs until it ends; the administration API is among the last to stop.
func start(parts startParts) {
	parts.Rollout.Start()
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
		{"report-datagrams", runReporter(parts.Reporter)},
		{"claims", parts.Claims.Run},
		{"caps", parts.Caps.Run},
		{"front", parts.Front.Run},
		{"member-state", parts.State.Run},
		{"rollouts", parts.Rounds.Run},
	}
	for _, t := range tasks {
		appendTask(parts.Lifecycle, parts.Failures, t)
	}
	parts.Lifecycle.Append(fx.StopHook(func(ctx context.Context) error { return plannedStop(ctx, parts) }))
}

// plannedStop sends callers to other daemons for the grace period, and then waits for the requests in flight, both those at the
// daemon's own server and those of its callers. The departure is announced to other daemons only leaveGrace before the end of the
// grace period: until then the server keeps working for them, and a rolling restart takes no additional server out of work. The
// announcement runs during the grace period and does not extend it, because the platform may not answer.
func plannedStop(ctx context.Context, parts startParts) error {
	parts.State.stop()
	parts.Front.DisableKeepAlives()
	grace, timeout := parts.Settings.StopPeriods()
	end := time.Now().Add(grace + timeout)
	parts.Calls.SetStopTime(end)
	parts.Gate.SetStopTime(end)
	notice := min(leaveGrace, grace)
	wait(ctx, grace-notice)
	announceCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var announcement sync.WaitGroup
	announcement.Go(func() { announceLeave(announceCtx, parts) })
	wait(ctx, notice)
	drainCtx, cancelDrain := context.WithTimeout(ctx, timeout)
	defer cancelDrain()
	err := drain(drainCtx, parts)
	cancel()
	announcement.Wait()
	return err
}

// drain waits for the requests in flight. The front stays open until the server has finished what it runs, because that may need calls;
// what it takes meanwhile ends in time.
func drain(ctx context.Context, parts startParts) error {
	parts.Calls.RefuseLongDeadlines()
	err := errors.Wrap(parts.Gate.Drain(ctx), "drain admission")
	return errors.CombineErrors(err, errors.Wrap(parts.Front.Drain(ctx), "drain front"))
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
