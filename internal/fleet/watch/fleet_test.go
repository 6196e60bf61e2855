package watch

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// daemon is the membership side of one simulated daemon process.
type daemon struct {
	table  *member.Table
	holder *config.Holder
	node   *gossip.Node
	watch  *Watch
	cancel context.CancelFunc
	done   sync.WaitGroup
	ended  chan error    // result of the node's Run
	paused chan struct{} // not nil while paused; closed by resume
}

// fleet is a set of daemons on an in-memory network with a platform.
type fleet struct {
	platform            *fakePlatform
	zones               int
	seeds               []netip.AddrPort
	retain              time.Duration
	cutOff              time.Duration
	initial             member.State     // of daemons at their start
	source              *notifyingSource // followed by the daemons; may be nil
	peersFirst          time.Duration    // PeersFirst of the daemons
	startSpread         time.Duration    // StartSpread of the daemons
	firstStart          bool             // FirstStart of the daemons
	encoded             atomic.Bool      // exchanges pass through their codec
	clockStep           time.Duration    // of the clocks of daemons that start from now on
	onDepartureRestored func(i int, d Departure)
	onServerRestored    func(i int, id string)
	onHistoryKnown      func(i int)
	era                 uint64 // of the store, as daemons that start from now on learn it
	service             string // of all daemons; empty for one of 20 services each

	mu      sync.Mutex
	random  *rand.Rand
	rate    int                // bytes per second of each slow link in either direction; 0 for no limit
	free    map[link]time.Time // when the link of a daemon has carried what it was given, with rate
	daemons map[netip.AddrPort]*daemon
	side    map[netip.AddrPort]int // side of the partition that each daemon is on
	loss    float64
	bytes   int64                // both directions, estimated
	applied map[uint64]time.Time // latest time at which a daemon put the revision in force
	lowered int                  // times that a daemon's revision did not rise
}

func newFleet(zones int) *fleet {
	f := &fleet{
		zones:   zones,
		initial: member.Serving,
		seeds:   []netip.AddrPort{address(0), address(1), address(2)},
		random:  rand.New(rand.NewPCG(1, 2)),
		free:    make(map[link]time.Time),
		daemons: make(map[netip.AddrPort]*daemon),
		side:    make(map[netip.AddrPort]int),
		applied: make(map[uint64]time.Time),
	}
	f.platform = &fakePlatform{fleet: f, rows: make(map[string]table.Row)}
	return f
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

func (f *fleet) record(i int) member.Record {
	return member.Record{
		Address: address(i), Front: netip.AddrPortFrom(address(i).Addr(), 80),
		Service: cmp.Or(f.service, fmt.Sprintf("service-%d", i%20)), Zone: fmt.Sprintf("zone-%d", i%f.zones), Region: "region-1",
		Incarnation: ident.Incarnation(time.Now().Add(f.clockStep).UnixNano()), State: f.initial, Version: 1,
	}
}

// start runs daemon i with the given known members and the fleet's seeds. A daemon that runs at the address already is not reached any
// more. The incarnation follows the virtual time, so that of a restarted daemon is higher unless its clock was stepped back.
func (f *fleet) start(i int, known ...member.Record) *daemon {
	self := f.record(i)
	d := &daemon{table: &member.Table{Retain: f.retain, MaxSilence: f.cutOff}, holder: &config.Holder{}, ended: make(chan error, 1)}
	d.node = &gossip.Node{
		Self: self, Table: d.table, Holder: d.holder, Client: networkClient{fleet: f, self: self.Address},
		Merge: merge, Seeds: f.seeds, Log: logr.Discard(),
	}
	d.watch = &Watch{
		Node: d.node, Table: d.table, Holder: d.holder, Store: f.platform, Reader: f.platform, Log: logr.Discard(),
		PeersFirst: f.peersFirst, StartSpread: f.startSpread, FirstStart: f.firstStart,
	}
	if step := f.clockStep; step != 0 {
		d.watch.Now = func() time.Time { return time.Now().Add(step) }
	}
	if f.onDepartureRestored != nil {
		d.watch.OnDepartureRestored = func(left Departure) { f.onDepartureRestored(i, left) }
		d.node.OnDeparture = d.watch.RecallDeparture
	}
	if f.onServerRestored != nil {
		d.watch.OnServerRestored = func(id string) { f.onServerRestored(i, id) }
	}
	if f.onHistoryKnown != nil {
		d.watch.OnHistoryKnown = func() { f.onHistoryKnown(i) }
		d.node.OnRecalled = d.watch.PeersRecalled
		d.watch.Era = &epoch.Tracker{}
		d.watch.Era.Observe(f.era)
	}
	if f.source != nil {
		d.watch.Source = &sourceReader{source: f.source, fleet: f, self: self.Address}
	}
	last := uint64(0)
	d.holder.Subscribe(func(c *config.Config) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applied[c.Revision] = time.Now()
		if c.Revision <= last {
			f.lowered++
		}
		last = c.Revision
	})
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(context.WithValue(context.Background(), callerKey{}, self.Address))
	f.mu.Lock()
	f.daemons[self.Address] = d
	f.mu.Unlock()
	d.done.Go(func() {
		d.table.SetSelf(self)
		for _, r := range known {
			d.table.Apply(r)
		}
		d.done.Go(func() { _ = d.watch.Run(ctx) })
		d.ended <- d.node.Run(ctx)
	})
	return d
}

// startAll starts n daemons at once. When warm, each knows all the others; otherwise they know no member.
func (f *fleet) startAll(t *testing.T, n int, warm bool) {
	var known []member.Record
	for i := 0; warm && i < n; i++ {
		known = append(known, f.record(i))
	}
	for i := range n {
		f.start(i, known...)
	}
	t.Cleanup(f.stopAll)
}

// stopAll ends every daemon. A synctest bubble ends only after all of its goroutines.
func (f *fleet) stopAll() {
	f.mu.Lock()
	all := slices.Collect(maps.Values(f.daemons))
	for _, d := range all {
		if d.paused != nil {
			close(d.paused)
			d.paused = nil
		}
	}
	f.mu.Unlock()
	for _, d := range all {
		d.cancel()
	}
	for _, d := range all {
		d.done.Wait()
	}
}

func (f *fleet) kill(i int) {
	f.mu.Lock()
	d := f.daemons[address(i)]
	delete(f.daemons, address(i))
	f.mu.Unlock()
	d.cancel()
	d.done.Wait()
}

func (f *fleet) get(i int) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[address(i)]
}

// pause stops the communication of daemon i until resume. Calls in both directions stay open.
func (f *fleet) pause(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[address(i)].paused = make(chan struct{})
}

func (f *fleet) resume(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.daemons[address(i)]
	close(d.paused)
	d.paused = nil
}

// split partitions the network: the daemons for which in is true are on one side, the others on the other. nil heals it.
func (f *fleet) split(in func(i int) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.side)
	for i := 0; in != nil && i < 1<<16; i++ {
		if f.daemons[address(i)] != nil && in(i) {
			f.side[address(i)] = 1
		}
	}
}

// count returns how many daemons satisfy the condition.
func (f *fleet) count(condition func(d *daemon) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, d := range f.daemons {
		if condition(d) {
			n++
		}
	}
	return n
}

// until polls the condition in virtual time and returns how long it took to become true, or at least the bound if it did not.
func until(bound time.Duration, condition func() bool) time.Duration {
	start := time.Now()
	for !condition() && time.Since(start) < bound {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *fleet) allKnow(n int) func() bool {
	return func() bool {
		return f.count(func(d *daemon) bool { return d.table.Live() == n }) == n
	}
}

func (f *fleet) inForce(revision uint64) func() bool {
	return func() bool {
		return f.count(func(d *daemon) bool { return d.holder.Revision() < revision }) == 0
	}
}

// state returns a condition that is true when every daemon but i itself holds member i in one of the states.
func (f *fleet) state(i int, states ...member.State) func() bool {
	return func() bool {
		return f.count(func(d *daemon) bool {
			r, known := d.table.Get(address(i))
			return d.node.Self.Address != address(i) && (!known || !slices.Contains(states, r.State))
		}) == 0
	}
}

func merge(set files.Set) (*config.Config, error) {
	return &config.Config{Revision: set.Revision, Budgets: config.DefaultBudgets()}, nil
}
