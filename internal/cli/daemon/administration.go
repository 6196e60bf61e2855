package daemon

import (
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/admin/rest"
	"marigoldwinch.example/marigoldwinch/internal/admit/gate"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/route/budget"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
	"marigoldwinch.example/marigoldwinch/internal/route/claim"
	"marigoldwinch.example/marigoldwinch/internal/route/front"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
)

var administration = fx.Provide(newStateKeeper, newAPI, newFront, newEndpoint)

func newStateKeeper(node *gossip.Node, holder *config.Holder, own *backend, log logr.Logger) *stateKeeper {
	return &stateKeeper{Node: node, Holder: holder, Backend: own, Log: log}
}

type frontParts struct {
	fx.In
	Settings  *opts.Settings
	Listeners *Listeners
	Calls     *call.Client
	Members   *member.Table
	Holder    *config.Holder
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
		Service:   settings.Service,
		Zone:      settings.Zone,
		Usable: func(record member.Record) bool {
			inForce := parts.Holder.Get()
			return inForce == nil || !inForce.ZoneOut(record.Zone) && !inForce.Leaving(record.Address)
		},
		DrainTimeout:   lastFrames, // the planned stop has waited for the requests in flight
		MaxHeaderBytes: settings.CallerHeaderBytes,
		HeaderTimeout:  settings.HeaderTimeout,
		MaxTimeout:     settings.MaxDeadline,
		Log:            parts.Log,
	}
}

// Identity is the part of the dump that tells which daemon it is about.
type Identity struct {
	Service string
	Zone    string
	Region  string
	Callers string
	Daemons string
	Server  string
	Started time.Time
}

// configurationDump is the configuration in force and how old the latest news of it is.
type configurationDump struct {
	Revision     uint64
	HeadRevision uint64        // highest seen at the platform by any daemon
	HeadAge      time.Duration // of the latest read of it
	Config       *config.Config
}

type apiParts struct {
	fx.In
	Settings  *opts.Settings
	Listeners *Listeners
	Metrics   *stats.Set
	State     *stateKeeper
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
	Chooser   *choice.Chooser
	Budgets   *budget.Budgets
	Calls     *call.Client
	Claims    *claim.Claims
	Front     *front.Front
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
		Return:   parts.Backend.comeBack,
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
		{Name: "budgets", Dump: parts.Budgets.Dump},
		{Name: "calls", Dump: parts.Calls.Dump},
		{Name: "front", Dump: parts.Front.Dump},
		{Name: "claims", Dump: parts.Claims.Dump},
		{Name: "connections-out", Dump: parts.Pool.Dump},
		{Name: "connections-in", Dump: parts.Link.Dump},
	}
}
