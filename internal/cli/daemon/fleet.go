package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/rest"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
	"marigoldwinch.example/marigoldwinch/platform"
)

var shared = fx.Provide(
	stats.NewSet,
	newDecisions,
	newTraffic,
	newHolder,
	newStore,
	newObjects,
	newPool,
	newEra,
)

var fleet = fx.Provide(
	newMembers,
	newNode,
	newReader,
	newSource,
	newWatch,
)

func newDecisions(log logr.Logger) *logs.Sampler {
	return &logs.Sampler{Log: log}
}

func newHolder() *config.Holder {
	return &config.Holder{}
}

// newEra returns the era of a hosted platform's store. The clients of the store observe it.
func newEra() *epoch.Tracker {
	return &epoch.Tracker{}
}

func newStore(live *opts.Reloader, network Network, era *epoch.Tracker) table.Store {
	if live.Get().Hosted {
		return &platform.Store{Client: hostedClient(live, network, era)}
	}
	return &table.HTTP{Client: tableClient(live, network)}
}

func newObjects(live *opts.Reloader, network Network) object.Store {
	return &object.HTTP{Client: platformClient(live, network, func() netip.AddrPort { return live.Get().Objects })}
}

func tableClient(live *opts.Reloader, network Network) rest.Client {
	return platformClient(live, network, func() netip.AddrPort { return live.Get().Table })
}

// hostedClient returns a client of a hosted platform's store.
func hostedClient(live *opts.Reloader, network Network, era *epoch.Tracker) rest.Client {
	client := tableClient(live, network)
	client.OnResponse = func(header http.Header) {
		if told, valid := platform.Era(header); valid {
			era.Observe(told)
		}
	}
	return client
}

func platformClient(live *opts.Reloader, network Network, locate func() netip.AddrPort) rest.Client {
	return rest.Client{Resolve: locate, HTTP: network.client(), Timeout: live.Get().PlatformTimeout}
}

func newPool(settings *opts.Settings, incarnation ident.Incarnation, peerTraffic *traffic, log logr.Logger) *link.Pool {
	return &link.Pool{
		Dial:       peerTraffic.dial,
		Self:       proto.Hello{Incarnation: incarnation, Address: settings.Daemons},
		MaxPerPeer: settings.PeerConnections,
		Log:        log,
	}
}

func newMembers(settings *opts.Settings) *member.Table {
	return &member.Table{SuspectFor: settings.GoneAfter}
}

type nodeParts struct {
	fx.In
	Settings    *opts.Settings
	Incarnation ident.Incarnation
	Members     *member.Table
	Holder      *config.Holder
	Pool        *link.Pool
	Log         logr.Logger
}

func newNode(parts nodeParts) *gossip.Node {
	settings := parts.Settings
	return &gossip.Node{
		Self: member.Record{
			Address:     settings.Daemons,
			Front:       settings.Callers,
			Service:     settings.Service,
			Zone:        settings.Zone,
			Region:      settings.Region,
			Incarnation: parts.Incarnation,
			State:       member.Joining,
		},
		Table:         parts.Members,
		Holder:        parts.Holder,
		Client:        parts.Pool,
		Merge:         new(folderMerger).merge,
		Seeds:         settings.Seeds,
		Interval:      settings.ExchangeInterval,
		IsolatedAfter: settings.IsolatedAfter,
		Log:           parts.Log,
	}
}

// folderMerger merges successive revisions and reuses the parts that did not change.
type folderMerger struct {
	mu     sync.Mutex // revisions can arrive from the platform and from a peer concurrently
	merger files.Merger
}

func (m *folderMerger) merge(set files.Set) (*config.Config, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	merged, err := m.merger.Merge(set)
	if err != nil {
		return nil, err
	}
	return merged.Config, nil
}

// headReader adapts a change.Reader to watch.Reader.
type headReader struct {
	*change.Reader
}

// ReadHead implements watch.Reader.
func (r headReader) ReadHead(ctx context.Context) (uint64, error) {
	head, err := r.Reader.ReadHead(ctx)
	return head.Revision, err
}

func newReader(store table.Store, objects object.Store, log logr.Logger) *change.Reader {
	return &change.Reader{Store: store, Objects: objects, Log: log}
}

// newSource returns nil unless the platform is a hosted one; the watch then polls the head of the configuration.
func newSource(live *opts.Reloader, network Network, era *epoch.Tracker, set *stats.Set, log logr.Logger) watch.Source {
	if !live.Get().Hosted {
		return nil
	}
	intent := &platform.Intent{Client: hostedClient(live, network, era), Log: log}
	set.Gauge("configuration_odd_entries_total", func() float64 { entries, _ := intent.Odd(); return float64(entries) })
	set.Gauge("configuration_unreadable_total", func() float64 { _, unreadable := intent.Odd(); return float64(unreadable) })
	return intent
}

type watchParts struct {
	fx.In
	Settings *opts.Settings
	Source   watch.Source
	Node     *gossip.Node
	Members  *member.Table
	Holder   *config.Holder
	Store    table.Store
	Era      *epoch.Tracker
	Reader   *change.Reader
	Status   *status.Server
	Log      logr.Logger
}

func newWatch(parts watchParts) *watch.Watch {
	w := &watch.Watch{
		Node:   parts.Node,
		Table:  parts.Members,
		Holder: parts.Holder,
		Store:  parts.Store,
		Era:    parts.Era,
		Reader: headReader{parts.Reader},
		Source: parts.Source,
		Log:    parts.Log,

		StartSpread: parts.Settings.StartSpread,
		PeersFirst:  parts.Settings.PeersFirst,
		FirstStart:  parts.Settings.FirstStart,
	}
	if parts.Status != nil {
		w.OnDepartureRestored = func(d watch.Departure) { parts.Status.Restore(d.Server, d.Born) }
		w.OnServerRestored = parts.Status.RestoreVerified
		w.OnHistoryKnown = parts.Status.HistoryKnown
		parts.Status.OnVerified = w.KeepServer
		parts.Node.OnDeparture = w.RecallDeparture
		parts.Node.OnRecalled = w.PeersRecalled
	}
	return w
}
