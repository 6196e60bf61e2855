package coord

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	oldRelease  = "r1"
	newRelease  = "r2"
	serviceTime = 10 * time.Millisecond
	slots       = 8

	badResponses = 50 // after which a bad release must be out of traffic within 5 s
)

// fleet is the daemons of one service in virtual time, with the coordination of roll-outs and a load, but without a network.
type fleet struct {
	*WithT
	t        *testing.T
	ctx      context.Context
	platform *fake.Platform
	nodes    []*node // replaced as a whole under mu
	running  sync.WaitGroup
	mu       sync.Mutex
	revision uint64
	respond  func(n *node) (failed bool, took time.Duration) // of the target release; nil for a good one

	requests, refused, toTarget atomic.Uint64
	bad                         atomic.Int64 // failures and slow responses of the target release
	fiftieth                    atomic.Int64 // when the 50th of these was sent, as Unix nanoseconds
	afterBad                    atomic.Int64 // requests that target servers began later than 5 s after it
	oldAtCompletion             atomic.Int64 // requests that old servers ran when completed was written, or began after it
	completed                   atomic.Bool
}

// node is a daemon and its server.
type node struct {
	fleet       *fleet
	record      member.Record
	release     string
	holder      *config.Holder
	members     *member.Table
	agent       *agent.Agent
	coordinator *Coordinator
	stop        context.CancelFunc
	cut         atomic.Bool  // unreachable by and for other daemons
	side        atomic.Int32 // unreachable by and for daemons of another side
	storeDown   atomic.Bool
	paused      atomic.Pointer[chan struct{}]
	killed      atomic.Bool
}

func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes
}

// Release implements agent.Server.
func (n *node) Release() string { return n.release }

// Slots implements agent.Server.
func (n *node) Slots() int { return slots }

// Rollout implements proto.RolloutClient.
func (n *node) Rollout(ctx context.Context, to netip.AddrPort, round *proto.RolloutRound) (*proto.RolloutEvidence, error) {
	for _, other := range n.fleet.all() {
		if other.record.Address != to || other.killed.Load() {
			continue
		}
		if n.cut.Load() || other.cut.Load() || n.side.Load() != other.side.Load() || other.paused.Load() != nil || n.killed.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		time.Sleep(time.Millisecond)
		buf, err := proto.Codec{}.Marshal(round)
		n.fleet.Expect(err).NotTo(HaveOccurred())
		received := new(proto.RolloutRound)
		n.fleet.Expect(proto.Codec{}.Unmarshal(buf, received)).To(Succeed())
		return other.agent.Rollout(ctx, nil, received)
	}
	return nil, code.NotRunf(code.PeerUnreachable, "nothing listens at %s", to)
}

// store is the table as one node reaches it.
type store struct {
	table.Store
	node *node
}

func (s *store) reach(ctx context.Context) error {
	if s.node.storeDown.Load() || s.node.killed.Load() {
		<-ctx.Done()
		return code.NotRunf(code.PlatformUnavailable, "no route")
	}
	return nil
}

// Get implements table.Store.
func (s *store) Get(ctx context.Context, key string) (table.Row, error) {
	if err := s.reach(ctx); err != nil {
		return table.Row{}, err
	}
	return s.Store.Get(ctx, key)
}

// Commit implements table.Store.
func (s *store) Commit(ctx context.Context, txn table.Txn) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	err := s.Store.Commit(ctx, txn)
	if s.node.fleet.row() == "completed" {
		s.node.fleet.completed.Store(true)
		s.node.fleet.countOldRuns()
	}
	return err
}

// inFleet runs body with a fleet of servers of both releases in a bubble.
func inFleet(t *testing.T, olds, targets int, body func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{WithT: NewWithT(t), t: t, ctx: ctx, platform: fake.NewPlatform(1), revision: 1}
		for i := range olds + targets {
			release := oldRelease
			if i >= olds {
				release = newRelease
			}
			f.start(netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1)), release)
		}
		time.Sleep(time.Second)
		defer func() {
			for _, n := range f.all() {
				n.resume()
			}
			cancel()
			f.running.Wait()
		}()
		body(f)
	})
}

// start starts a daemon, or another process of a killed one.
func (f *fleet) start(address netip.AddrPort, release string) *node {
	n := &node{fleet: f, release: release, holder: &config.Holder{}, members: &member.Table{}}
	n.record = member.Record{
		Address: address, Service: "stock", Zone: "a", State: member.Serving, Incarnation: ident.NewIncarnation(time.Now()),
	}
	n.members.SetSelf(n.record)
	kept := f.nodes[:0:0]
	for _, other := range f.all() {
		if other.record.Address != address {
			kept = append(kept, other)
			other.members.Apply(n.record)
			n.members.Apply(other.record)
		}
	}
	log := logr.Discard()
	if testing.Verbose() {
		log = funcr.New(func(_, line string) { f.t.Log(time.Now().Format("05.000"), address, line) }, funcr.Options{})
	}
	n.agent = &agent.Agent{
		Service: "stock", Address: address, Incarnation: n.record.Incarnation, Config: n.holder, Server: n,
		Ready: func() bool { return true }, Log: log,
	}
	n.coordinator = &Coordinator{
		Service: "stock", Address: address, Agent: n.agent, Members: n.members, Client: n, Store: &store{f.platform.Table, n},
		Eligible: n.eligible, Share: 0.1, Slack: 50, Log: log,
	}
	kept = append(kept, n)
	f.mu.Lock()
	f.nodes = kept
	f.mu.Unlock()
	n.agent.Start()
	ctx, cancel := context.WithCancel(f.ctx)
	n.stop = cancel
	f.running.Go(func() { _ = n.coordinator.Run(ctx) })
	f.running.Go(func() { clock.Every(ctx, time.Second, func(time.Time) { n.members.Expire() }) })
	return n
}

// eligible blocks while the process is paused.
func (n *node) eligible() bool {
	if resumed := n.paused.Load(); resumed != nil {
		<-*resumed
	}
	return true
}

func (n *node) pause() {
	resumed := make(chan struct{})
	n.paused.Store(&resumed)
}

func (n *node) resume() {
	if resumed := n.paused.Swap(nil); resumed != nil {
		close(*resumed)
	}
}

// kill ends the process. The others suspect it after a second and hold it as gone 10 s later.
func (n *node) kill() {
	n.killed.Store(true)
	n.stop()
	n.resume()
	f := n.fleet
	f.running.Go(func() {
		if !clock.Sleep(f.ctx, time.Second) {
			return
		}
		for _, other := range f.all() {
			other.members.Suspect(n.record)
		}
	})
}

// configure puts the same configuration in force at all daemons.
func (f *fleet) configure(ordered *config.Rollout) {
	f.revision++
	for _, n := range f.nodes {
		n.configure(f.revision, ordered)
	}
}

func (n *node) configure(revision uint64, ordered *config.Rollout) {
	c := &config.Config{Revision: revision, Services: map[string]*config.Service{"stock": config.NewService("stock")}}
	if ordered != nil {
		c.Rollouts = map[string]*config.Rollout{"stock": ordered}
	}
	n.fleet.Expect(n.holder.Set(c)).To(Succeed())
}

func order(number uint64) *config.Rollout {
	return &config.Rollout{Service: "stock", Target: newRelease, Duration: 15 * time.Second, Order: number}
}

// row returns the phase in the table, or the empty string.
func (f *fleet) row() string {
	read, err := f.platform.Table.Get(context.Background(), rowPrefix+"stock")
	if err != nil {
		return ""
	}
	var value rowJSON
	f.Expect(json.Unmarshal(read.Value, &value)).To(Succeed())
	return value.Phase
}

func (f *fleet) countOldRuns() {
	for _, n := range f.all() {
		if n.release == oldRelease {
			f.oldAtCompletion.Add(int64(n.agent.Counts().Running))
		}
	}
}

func (f *fleet) active() (active []*node) {
	for _, n := range f.all() {
		if n.coordinator.active.Load() && !n.killed.Load() && n.paused.Load() == nil {
			active = append(active, n)
		}
	}
	return active
}

// phases returns how many daemons know each phase.
func (f *fleet) phases() map[string]int {
	counts := map[string]int{}
	for _, n := range f.nodes {
		if view, found := n.agent.View(); found && view.State.Known && !n.killed.Load() {
			counts[view.State.Phase.String()]++
		}
	}
	return counts
}

func (f *fleet) expectAll(want phase.Phase) {
	f.t.Helper()
	f.Expect(f.phases()).To(Equal(map[string]int{want.String(): len(f.nodes)}))
	f.Expect(f.row()).To(Equal(want.String()))
}
