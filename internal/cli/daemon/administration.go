package daemon

import (
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/admin/rest"
	"marigoldwinch.example/marigoldwinch/internal/admit/gate"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/quota/permit"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/roll/coord"
	"marigoldwinch.example/marigoldwinch/internal/route/budget"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
	"marigoldwinch.example/marigoldwinch/internal/route/claim"
	"marigoldwinch.example/marigoldwinch/internal/route/front"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
)

var administration = fx.Provide(newStateAnnouncer, newAPI, newFront, newEndpoint)

func newStateAnnouncer(node *gossip.Node, holder *config.Holder, server *backend, rollout *agent.Agent, log logr.Logger) *stateAnnouncer {
	return &stateAnnouncer{Node: node, Holder: holder, Backend: server, Rollout: rollout, Log: log}
}

type frontParts struct {
	fx.In
	Settings  *opts.Settings
	Live      *opts.Reloader
	Listeners *Listeners
	Calls     *call.Client
	Members   *member.Table
	Holder    *config.Holder
	Decisions *logs.Sampler
	Log       logr.Logger
}

func newFront(parts frontParts) *front.Front {
	settings := parts.Settings
	return &front.Front{
		Listener:  parts.Listeners.Callers,
		Forwarder: parts.Calls,
		Members:   parts.Members,
		Config:    parts.Holder,
		Routed:    settings.Hosted,
		Dialect:   dialect(settings),
		Service:   func() string { return parts.Live.Get().Service },
		Zone:      settings.Zone,
		Usable: func(record member.Record) bool {
			conf := parts.Holder.Get()
			return conf == nil || !conf.ZoneOut(record.Zone) && !conf.Leaving(record.Address)
		},
		DrainTimeout:   flushTimeout, // the planned stop has already waited for the requests in flight
		MaxHeaderBytes: settings.CallerHeaderBytes,
		HeaderTimeout:  settings.HeaderTimeout,
		MaxTimeout:     settings.MaxDeadline,
		Decisions:      parts.Decisions,
		Log:            parts.Log,
	}
}

// Identity is the part of the state dump that identifies the daemon.
type Identity struct {
	Service string
	Zone    string
	Region  string
	Callers string
	Daemons string
	Server  string
	Started time.Time
}

// configurationDump is the configuration in force, and how recently its head revision was observed.
type configurationDump struct {
	Revision     uint64
	HeadRevision uint64        // highest that any daemon has read from the platform
	HeadAge      time.Duration // time since the head was last read
	Config       *config.Config
}

type apiParts struct {
	fx.In
	Settings  *opts.Settings
	Listeners *Listeners
	Metrics   *stats.Set
	State     *stateAnnouncer
	Node      *gossip.Node
	Members   *member.Table
	Watch     *watch.Watch
	Reader    *change.Reader
	Holder    *config.Holder
	Store     table.Store
	Objects   object.Store
	Gate      *gate.Gate
	Backend   *backend
	Pool      *link.Pool
	Link      *link.Server
	Reports   *pool.Pool
	Queries   *dgram.Reporter
	Chooser   *choice.Chooser
	Budgets   *budget.Budgets
	Calls     *call.Client
	Claims    *claim.Claims
	Caps      *permit.Agent
	Front     *front.Front
	Rollout   *agent.Agent
	Rounds    *coord.Coordinator
	Log       logr.Logger
}

func newAPI(parts apiParts) (*rest.API, error) {
	token, err := parts.Settings.Token()
	if err != nil {
		return nil, err
	}
	writer := func(operator string) *change.Writer {
		return &change.Writer{Store: parts.Store, Objects: parts.Objects, Operator: operator, Log: parts.Log}
	}
	return &rest.API{
		Listener: parts.Listeners.Admin,
		Token:    token,
		Parts:    dumpParts(parts, time.Now()),
		Metrics:  parts.Metrics,
		Ready:    parts.State.ready,
		Leave:    parts.Backend.leave,
		Return:   parts.Backend.returnToService,
		Config:   &rest.ConfigAPI{Node: parts.Node, Reader: parts.Reader, Writer: writer},
		Log:      parts.Log,
	}, nil
}

func dumpParts(parts apiParts, started time.Time) []rest.Part {
	settings := parts.Settings
	identity := Identity{
		Service: settings.Service, Zone: settings.Zone, Region: settings.Region, Callers: settings.Callers.String(),
		Daemons: settings.Daemons.String(), Server: settings.Server.String(), Started: started,
	}
	return []rest.Part{
		{Name: "daemon", Dump: func() any { return identity }},
		{Name: "configuration", Dump: func() any {
			seen, age := parts.Node.HeadSeen()
			return configurationDump{parts.Holder.Revision(), seen, age, parts.Holder.Get()}
		}},
		{Name: "members", Dump: parts.Members.Dump},
		{Name: "membership", Dump: parts.Node.Dump},
		{Name: "platform", Dump: parts.Watch.Dump},
		{Name: "admission", Dump: parts.Gate.Dump},
		{Name: "server", Dump: parts.Backend.Dump},
		{Name: "selection", Dump: parts.Chooser.Dump},
		{Name: "reports", Dump: parts.Reports.Dump},
		{Name: "load-queries", Dump: parts.Queries.Dump},
		{Name: "budgets", Dump: parts.Budgets.Dump},
		{Name: "calls", Dump: parts.Calls.Dump},
		{Name: "front", Dump: parts.Front.Dump},
		{Name: "claims", Dump: parts.Claims.Dump},
		{Name: "rollout", Dump: parts.Rollout.Dump},
		{Name: "rollout-coordinator", Dump: parts.Rounds.Dump},
		{Name: "caps", Dump: parts.Caps.Dump},
		{Name: "connections-out", Dump: parts.Pool.Dump},
		{Name: "connections-in", Dump: parts.Link.Dump},
	}
}
