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
	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
	"marigoldwinch.example/marigoldwinch/platform"
)

var admission = fx.Provide(
	newOwn,
	newServerClient,
	newBackend,
	newLimiter,
	newLedger,
	newProbes,
	newGate,
	newLinkServer,
)

// lastFrames is the time for the last frames of calls after the drain has waited for the calls themselves.
const lastFrames = 300 * time.Millisecond

// leaveGrace leaves most of the 3 s in which a departure must take effect.
const leaveGrace = time.Second

// backend is the own server, with the departure that the administration API asked for.
type backend struct {
	*server.Client
	own     *status.Server // nil when the server does not check in
	log     logr.Logger
	leaving atomic.Pointer[time.Time] // when the departure was asked for; nil without one
}

// leave announces the departure now; new work is refused after leaveGrace, so that routers have learned of it.
func (b *backend) leave(reason string) {
	now := time.Now()
	b.leaving.CompareAndSwap(nil, &now)
	b.log.Info("server-leaving", "reason", reason)
}

func (b *backend) comeBack() {
	b.leaving.Store(nil)
	b.log.Info("server-returned")
}

// Draining implements gate.Backend.
func (b *backend) Draining() bool {
	asked := b.leaving.Load()
	return asked != nil && time.Since(*asked) >= leaveGrace || b.Client.Draining()
}

// departing reports whether the member state must say that the server leaves.
func (b *backend) departing() bool {
	return b.leaving.Load() != nil || b.Client.Draining() || b.own != nil && b.own.Departing()
}

// newOwn returns nil for a server that does not check in.
func newOwn(settings *opts.Settings, holder *config.Holder, log logr.Logger) *status.Server {
	if !settings.Hosted {
		return nil
	}
	return &status.Server{
		Service: settings.Service,
		ColdRate: func() float64 {
			if service := configured(holder, settings.Service); service != nil {
				return service.ColdRate
			}
			return 0
		},
		Log: log,
	}
}

func configured(holder *config.Holder, service string) *config.Service {
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
			if service := configured(parts.Holder, settings.Service); service != nil {
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

func newBackend(client *server.Client, own *status.Server, log logr.Logger) *backend {
	return &backend{Client: client, own: own, log: log}
}

func newLimiter(settings *opts.Settings, holder *config.Holder, own *status.Server, log logr.Logger) *limit.Limiter {
	limiter := &limit.Limiter{Config: holder, Service: settings.Service, Log: log}
	if own != nil {
		limiter.Reporter = own
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
	Decisions   *logs.Sampler
	Log         logr.Logger
}

func newGate(parts gateParts) *gate.Gate {
	admission := &gate.Gate{
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
		admission.Instance = parts.Status
		admission.Isolated = nil // a server that checks in tells its own daemon that it leaves
	}
	return admission
}

type linkParts struct {
	fx.In
	Settings    *opts.Settings
	Listeners   *Listeners
	Traffic     *traffic
	Incarnation ident.Incarnation
	Gate        *gate.Gate
	Caster      *dgram.Reporter
	Node        *gossip.Node
	Log         logr.Logger
}

func newLinkServer(parts linkParts) *link.Server {
	return &link.Server{
		Listener:    countedListener{Listener: parts.Listeners.Daemons, traffic: parts.Traffic},
		Calls:       observed{Gate: parts.Gate, caster: parts.Caster},
		Fleet:       parts.Node,
		Incarnation: parts.Incarnation,
		MaxConns:    parts.Settings.AcceptedConns,
		StopTimeout: min(parts.Settings.StopTimeout, lastFrames),
		Log:         parts.Log,
	}
}
