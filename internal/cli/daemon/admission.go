package daemon

import (
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
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
)

var admission = fx.Provide(
	newServerClient,
	newBackend,
	newLimiter,
	newLedger,
	newProbes,
	newGate,
	newLinkServer,
)

// leaveGrace leaves most of the 3 s in which a departure must take effect.
const leaveGrace = time.Second

// backend is the own server, with the departure that the administration API asked for.
type backend struct {
	*server.Client
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
	return b.leaving.Load() != nil || b.Client.Draining()
}

func newServerClient(settings *opts.Settings, network Network, log logr.Logger) *server.Client {
	client := &server.Client{
		Address:      settings.Server,
		MaxConns:     settings.ServerConnections,
		IdleBound:    settings.ServerIdle,
		PollInterval: settings.ServerPollInterval,
		HealthPath:   settings.HealthPath,
		LoadPath:     settings.LoadPath,
		Log:          log,
		Dial: func(ctx context.Context) (net.Conn, error) {
			return network.Dial(ctx, settings.Server)
		},
	}
	if settings.ServerPace > 0 {
		client.DialRate = float64(time.Second) / float64(settings.ServerPace)
	}
	return client
}

func newBackend(client *server.Client, log logr.Logger) *backend {
	return &backend{Client: client, log: log}
}

func newLimiter(settings *opts.Settings, holder *config.Holder, log logr.Logger) *limit.Limiter {
	return &limit.Limiter{Config: holder, Service: settings.Service, Log: log}
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
	Limiter     *limit.Limiter
	Ledger      *ledger.Ledger
	Probes      *probe.Budget
	Node        *gossip.Node
	Log         logr.Logger
}

func newGate(parts gateParts) *gate.Gate {
	return &gate.Gate{
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
		Log:         parts.Log,
	}
}

type linkParts struct {
	fx.In
	Settings    *opts.Settings
	Listeners   *Listeners
	Traffic     *traffic
	Incarnation ident.Incarnation
	Gate        *gate.Gate
	Node        *gossip.Node
	Log         logr.Logger
}

func newLinkServer(parts linkParts) *link.Server {
	return &link.Server{
		Listener:    countedListener{Listener: parts.Listeners.Daemons, traffic: parts.Traffic},
		Calls:       parts.Gate,
		Fleet:       parts.Node,
		Incarnation: parts.Incarnation,
		Accepted:    parts.Settings.AcceptedConns,
		StopTimeout: parts.Settings.StopTimeout,
		Log:         parts.Log,
	}
}
