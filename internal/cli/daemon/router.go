package daemon

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/admit/ledger"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
	"marigoldwinch.example/marigoldwinch/internal/quota/permit"
	"marigoldwinch.example/marigoldwinch/internal/route/budget"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
	"marigoldwinch.example/marigoldwinch/internal/route/claim"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
)

var router = fx.Provide(
	newReporter,
	newReports,
	newChooser,
	newBudgets,
	newClaims,
	newCaps,
	newCallClient,
)

func newReports(client *link.Pool, log logr.Logger) *pool.Pool {
	return &pool.Pool{Client: client, Log: log}
}

type chooserParts struct {
	fx.In
	Settings *opts.Settings
	Holder   *config.Holder
	Members  *member.Table
	Reports  *pool.Pool
	Log      logr.Logger
}

// choiceMembers adapts a member.Table to choice.Members.
type choiceMembers struct {
	table *member.Table
}

// Service implements choice.Members.
func (s choiceMembers) Service(name string) []member.Record {
	return s.table.Members(name)
}

func newChooser(parts chooserParts) *choice.Chooser {
	chooser := &choice.Chooser{
		Policy:  policy(parts.Settings),
		Pool:    parts.Reports,
		Members: choiceMembers{parts.Members},
		Config:  parts.Holder,
		Zone:    parts.Settings.Zone,
		Self:    parts.Settings.Daemons,
		Log:     parts.Log,
	}
	parts.Reports.Servers = func(service string) []netip.AddrPort { return chooser.Servers(service) }
	parts.Members.Subscribe(func(record member.Record) { chooser.MembersChanged(record.Service) })
	return chooser
}

// policy selects servers by cost where daemons answer load queries, and by probes elsewhere.
func policy(settings *opts.Settings) choice.Policy {
	if settings.LoadQueries {
		return choice.Cheapest{}
	}
	return choice.Probing{}
}

func newBudgets() *budget.Budgets {
	return &budget.Budgets{}
}

func newClaims(store table.Store, members *member.Table, holder *config.Holder, log logr.Logger) *claim.Claims {
	return &claim.Claims{
		Store: store, Daemons: members.Live, Log: log,
		InUse: func() bool { return holder.Get().UsesClaims() },
	}
}

type capParts struct {
	fx.In
	Settings *opts.Settings
	Members  *member.Table
	Holder   *config.Holder
	Client   *link.Pool
	Log      logr.Logger
}

func newCaps(parts capParts) *permit.Agent {
	settings := parts.Settings
	return &permit.Agent{
		Self:    settings.Daemons,
		Members: parts.Members,
		Config:  parts.Holder,
		Client:  parts.Client, // replaced where datagrams are used
		Streams: parts.Client,
		Owner:   &owner.Owner{Slack: settings.CapSlack, Caution: min(owner.DefaultCaution, settings.CapOverage*cautionPerOverage)},
		Window:  settings.CapWindow,
		Slack:   settings.CapSlack,
		Log:     parts.Log,
	}
}

// cautionPerOverage relates what two owners may grant together for a short time to the overage: with the default of 0.1 a new owner grants
// 0.3 of the rate.
const cautionPerOverage = 3

type callParts struct {
	fx.In
	Settings    *opts.Settings
	Incarnation ident.Incarnation
	Transport   *link.Pool
	Holder      *config.Holder
	Chooser     *choice.Chooser
	Reports     *pool.Pool
	Budgets     *budget.Budgets
	Claims      *claim.Claims
	Caps        *permit.Agent
	Ledger      *ledger.Ledger
	Decisions   *logs.Sampler
	Metrics     *stats.Set
	Log         logr.Logger
}

func newCallClient(parts callParts) *call.Client {
	return &call.Client{
		Transport:   parts.Transport,
		Config:      parts.Holder,
		Choice:      parts.Chooser,
		Pool:        parts.Reports,
		Budgets:     parts.Budgets,
		Claims:      parts.Claims,
		Caps:        parts.Caps,
		Incarnation: parts.Incarnation,
		Start:       time.Now(),
		FindParent: func(id ident.RequestID) (call.Parent, bool) {
			running, found := parts.Ledger.Lookup(id)
			return call.Parent(running), found
		},
		Dialect:    dialect(parts.Settings),
		Usage:      &call.Usage{Metrics: parts.Metrics},
		AckTimeout: parts.Settings.AckTimeout,
		Decisions:  parts.Decisions,
		Durations: func(service string) *metrics.Histogram {
			return parts.Metrics.Histogram("request_duration_seconds", "service", service)
		},
		Log: parts.Log,
	}
}
