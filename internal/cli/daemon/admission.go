package daemon

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/admit/gate"
	"marigoldwinch.example/marigoldwinch/internal/admit/ledger"
	"marigoldwinch.example/marigoldwinch/internal/admit/limit"
	"marigoldwinch.example/marigoldwinch/internal/admit/probe"
	"marigoldwinch.example/marigoldwinch/internal/admit/server"
	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/quota/permit"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
	"marigoldwinch.example/marigoldwinch/platform"
)

var admission = fx.Provide(
	newStatus,
	newServerClient,
	newBackend,
	newLimiter,
	newLedger,
	newProbes,
	newRolloutAgent,
	newGate,
	newLinkServer,
)

// flushTimeout bounds sending the final frames of calls, after the drain has waited for the calls to end.
const flushTimeout = 300 * time.Millisecond

// leaveGrace is the delay from the announcement of a departure to the first refusal. A departure must take effect within 3 s; most
// of that remains after the grace.
const leaveGrace = time.Second

// backend is the daemon's own server and the departure that was requested through the administration API.
type backend struct {
	*server.Client
	status         *status.Server // nil when the server does not check in
	log            logr.Logger
	leaveRequested atomic.Pointer[time.Time] // when the departure was requested; nil when none is in effect
}

// leave announces the departure at once. New work is refused only after leaveGrace, so that routers learn of the departure first.
func (b *backend) leave(reason string) {
	now := time.Now()
	b.leaveRequested.CompareAndSwap(nil, &now)
	b.log.Info("server-leaving", "reason", reason)
}

func (b *backend) returnToService() {
	b.leaveRequested.Store(nil)
	b.log.Info("server-returned")
}

// Draining implements gate.Backend.
func (b *backend) Draining() bool {
	requested := b.leaveRequested.Load()
	return requested != nil && time.Since(*requested) >= leaveGrace || b.Client.Draining()
}

// departing reports whether the daemon must be announced as leaving.
func (b *backend) departing() bool {
	return b.leaveRequested.Load() != nil || b.Client.Draining() || b.status != nil && b.status.Departing()
}

// newStatus returns nil for a server that does not check in.
func newStatus(settings *opts.Settings, holder *config.Holder, log logr.Logger) *status.Server {
	if !settings.Hosted {
		return nil
	}
	state := &status.Server{
		Service: settings.Service,
		ColdRate: func() float64 {
			if service := serviceConfig(holder, settings.Service); service != nil {
				return service.ColdRate
			}
			return 0
		},
		Log: log,
	}
	state.AwaitHistory()
	return state
}

func serviceConfig(holder *config.Holder, service string) *config.Service {
	conf := holder.Get()
	if conf == nil {
		return nil
	}
	return conf.Services[service]
}

func dialect(settings *opts.Settings) hdrs.Dialect {
	if settings.Hosted {
		return platform.Headers()
	}
	return hdrs.Default()
}

type serverParts struct {
	fx.In
	Settings *opts.Settings
	Network  Network
	Holder   *config.Holder
	Status   *status.Server
	Log      logr.Logger
}

func newServerClient(parts serverParts) *server.Client {
	settings := parts.Settings
	client := &server.Client{
		Address:      settings.Server,
		MaxConns:     settings.ServerConnections,
		IdleTimeout:  settings.ServerIdleBound,
		PollInterval: settings.ServerPollInterval,
		HealthPath:   func() string { return settings.HealthPath },
		LoadPath:     settings.LoadPath,
		Dialect:      dialect(settings),
		Status:       parts.Status,
		Log:          parts.Log,
		Dial: func(ctx context.Context) (net.Conn, error) {
			return parts.Network.Dial(ctx, settings.Server)
		},
	}
	if parts.Status != nil {
		parts.Status.PollHealth = client.PollHealth
		client.LoadPath = ""
		client.HealthPath = func() string {
			if service := serviceConfig(parts.Holder, settings.Service); service != nil {
				return cmp.Or(service.HealthPath, settings.HealthPath)
			}
			return ""
		}
	}
	if settings.ServerDialInterval > 0 {
		client.DialRate = float64(time.Second) / float64(settings.ServerDialInterval)
	}
	return client
}

func newBackend(client *server.Client, state *status.Server, log logr.Logger) *backend {
	return &backend{Client: client, status: state, log: log}
}

func newLimiter(settings *opts.Settings, holder *config.Holder, state *status.Server, log logr.Logger) *limit.Limiter {
	limiter := &limit.Limiter{Config: holder, Service: settings.Service, Log: log}
	if state != nil {
		limiter.Reporter = state
		state.OnLoad = limiter.ObserveLoad
	}
	return limiter
}

func newLedger(incarnation ident.Incarnation) *ledger.Ledger {
	return &ledger.Ledger{Incarnation: incarnation}
}

func newProbes(holder *config.Holder) *probe.Budget {
	return &probe.Budget{Config: holder}
}

type gateParts struct {
	fx.In
	Settings    *opts.Settings
	Incarnation ident.Incarnation
	Holder      *config.Holder
	Backend     *backend
	Status      *status.Server
	Limiter     *limit.Limiter
	Ledger      *ledger.Ledger
	Probes      *probe.Budget
	Node        *gossip.Node
	Rollout     *agent.Agent
	Decisions   *logs.Sampler
	Log         logr.Logger
}

func newGate(parts gateParts) *gate.Gate {
	g := &gate.Gate{
		Config:      parts.Holder,
		Service:     parts.Settings.Service,
		Zone:        parts.Settings.Zone,
		Address:     parts.Settings.Daemons,
		Incarnation: parts.Incarnation,
		Target:      parts.Settings.Server,
		Server:      parts.Backend,
		Limit:       parts.Limiter,
		Ledger:      parts.Ledger,
		Probes:      parts.Probes,
		Isolated:    parts.Node.Isolated,
		Dialect:     dialect(parts.Settings),
		Decisions:   parts.Decisions,
		Log:         parts.Log,
	}
	if parts.Status != nil {
		parts.Rollout.Ready = func() bool { return g.InService() && !parts.Status.Silent() }
		g.Rollout = parts.Rollout
		g.Instance = parts.Status
		g.PollHealth = parts.Status.PollHealth
		observe := parts.Status.OnLoad
		parts.Status.OnLoad = func(load hdrs.Load) {
			observe(load)
			g.ObservePace(load.Pace)
		}
		g.Isolated = nil // such a server reports its departure to this daemon directly, so work goes on when isolated
	}
	return g
}

type linkParts struct {
	fx.In
	Settings    *opts.Settings
	Listeners   *Listeners
	Traffic     *traffic
	Incarnation ident.Incarnation
	Gate        *gate.Gate
	Node        *gossip.Node
	Rollout     *agent.Agent
	Caps        *permit.Agent
	Log         logr.Logger
}

func newLinkServer(parts linkParts) *link.Server {
	_, timeout := parts.Settings.StopPeriods()
	return &link.Server{
		Listener:    countedListener{Listener: parts.Listeners.Daemons, traffic: parts.Traffic},
		Calls:       parts.Gate,
		Fleet:       parts.Node,
		Rollouts:    parts.Rollout,
		Permits:     parts.Caps,
		Incarnation: parts.Incarnation,
		MaxConns:    parts.Settings.AcceptedConns,
		StopTimeout: min(timeout, flushTimeout),
		Log:         parts.Log,
	}
}
