// Package gossip spreads member records, departures and configuration revisions between the daemons and detects failed
// daemons.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Defaults of the durations of a Node.
const (
	DefaultInterval      = time.Second      // between periodic exchanges
	DefaultTimeout       = time.Second      // of one exchange
	DefaultIsolatedAfter = 10 * time.Second // without a message from the platform or any peer
)

const (
	// pauseThreshold is the time between two ticks above which the process is taken to have been paused.
	pauseThreshold = 5 * time.Second
	// reconnectOdds directs one in five periodic exchanges, chosen at random, to a gone member, a seed or a discarded member,
	// so that the two sides of a healed partition find each other.
	reconnectOdds = 5
	// jitterShare is the random variation of intervals, so that the daemons do not act in step.
	jitterShare = 0.2
)

// Node maintains the membership view of one daemon. It implements proto.FleetHandler.
type Node struct {
	Self   member.Record // this daemon's record at the start
	Table  *member.Table
	Holder *config.Holder
	Client proto.FleetClient
	Merge  func(files.Set) (*config.Config, error) // builds the configuration from the files of a revision
	Seeds  []netip.AddrPort                        // contacted at the start and by some of the periodic exchanges
	Log    logr.Logger

	OnDeparture func(d member.Departure) // called when a peer tells a departure of this daemon's server; may be nil
	OnRecalled  func()                   // called when enough peers have told the departures that they know; may be nil

	Interval      time.Duration // DefaultInterval when 0
	Timeout       time.Duration // DefaultTimeout when 0
	IsolatedAfter time.Duration // DefaultIsolatedAfter when 0

	started       atomic.Bool
	limiter       *rate.Limiter // of eager exchanges
	revisions     revisions
	seen          headSeen
	lastContact   lastContact
	rumors        rumors
	departures    member.Departures
	recall        recall
	failureChecks failureChecks
	discarded     discardedMembers
	counters      counters

	initOnce sync.Once
	joined   chan struct{} // closed after the first complete synchronization with a peer
	joinOnce sync.Once
}

type counters struct {
	periodic, eager, failed, served, suspected, refuted, snapshots atomic.Uint64
}

func (n *Node) init() {
	n.initOnce.Do(func() {
		n.joined = make(chan struct{})
		n.lastContact.start = time.Now()
		n.rumors.wake = make(chan struct{}, 1)
		n.limiter = rate.NewLimiter(config.DefaultExchanges, config.DefaultExchanges)
		if n.Interval == 0 {
			n.Interval = DefaultInterval
		}
		if n.Timeout == 0 {
			n.Timeout = DefaultTimeout
		}
		if n.IsolatedAfter == 0 {
			n.IsolatedAfter = DefaultIsolatedAfter
		}
	})
}

// Run exchanges messages with peers until ctx ends. It returns an error when peers reach another daemon at this daemon's address.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	n.Table.SetSelf(n.Self)
	n.Table.Subscribe(n.logChange)
	n.Holder.Subscribe(func(c *config.Config) {
		n.limiter.SetLimit(rate.Limit(c.Budgets.Exchanges))
		n.limiter.SetBurst(max(1, int(c.Budgets.Exchanges)))
	})
	n.rumors.add(n.Table.Self())
	n.started.Store(true)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.periodicLoop(ctx) })
	group.Go(func() error { return n.eagerLoop(ctx) })
	group.Go(func() error { return n.joinLoop(ctx) })
	group.Go(func() error { return n.silenceLoop(ctx) })
	group.Go(func() error { return n.recallLoop(ctx) })
	return group.Wait()
}

// Joined returns a channel that is closed after the first complete synchronization with a peer.
func (n *Node) Joined() <-chan struct{} {
	n.init()
	return n.joined
}

func (n *Node) markJoined() {
	n.joinOnce.Do(func() { close(n.joined) })
}

// periodicLoop expires records, detects pauses of the process and makes the periodic exchanges.
func (n *Node) periodicLoop(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	last := time.Now()
	for clock.Sleep(ctx, Jitter(n.Interval, jitterShare)) {
		now := time.Now()
		if now.Sub(last) > pauseThreshold {
			n.Log.Info("process-paused", "for", now.Sub(last))
			n.Table.RestartSuspicions()
		}
		last = now
		n.Table.Expire()
		target, found := n.periodicTarget()
		if !found {
			continue
		}
		n.counters.periodic.Add(1)
		exchanges.Go(func() { n.synchronizeOrCheck(ctx, target) })
	}
	return nil
}

func (n *Node) synchronizeOrCheck(ctx context.Context, to netip.AddrPort) {
	start := time.Now()
	if err := n.synchronizeAll(ctx, to); err != nil {
		n.checkFailure(ctx, to, start)
	}
}

func (n *Node) periodicTarget() (netip.AddrPort, bool) {
	if rand.IntN(reconnectOdds) == 0 {
		if target, found := n.reconnectTarget(); found {
			return target, true
		}
	}
	if peers := n.Table.Pick(1, netip.AddrPort{}); len(peers) > 0 {
		return peers[0].Address, true
	}
	return n.reconnectTarget()
}

// reconnectTarget returns a gone member, a seed or a discarded member at random, except those that are live members.
func (n *Node) reconnectTarget() (netip.AddrPort, bool) {
	var candidates []netip.AddrPort
	if gone, found := n.Table.PickGone(); found {
		candidates = append(candidates, gone.Address)
	}
	if len(n.Seeds) > 0 {
		candidates = append(candidates, n.Seeds[rand.IntN(len(n.Seeds))])
	}
	if discarded, found := n.discarded.pick(); found {
		candidates = append(candidates, discarded)
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates {
		r, known := n.Table.Get(address)
		if address != n.Self.Address && (!known || r.State == member.Gone) {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}

// joinLoop contacts seeds and known members until a synchronization with one of them completes.
func (n *Node) joinLoop(ctx context.Context) error {
	const firstDelay = 100 * time.Millisecond
	for delay := firstDelay; ; delay = min(2*delay, n.Interval) {
		select {
		case <-n.joined:
			return nil
		default:
		}
		target, found := n.joinTarget()
		if found && n.synchronizeAll(ctx, target) == nil {
			return nil
		}
		if !clock.Sleep(ctx, Jitter(delay, jitterShare)) {
			return nil
		}
	}
}

func (n *Node) joinTarget() (netip.AddrPort, bool) {
	if target, found := n.reconnectTarget(); found {
		return target, true
	}
	if peers := n.Table.Pick(1, netip.AddrPort{}); len(peers) > 0 {
		return peers[0].Address, true
	}
	return netip.AddrPort{}, false
}

// Join synchronizes with the first of the peers that answers.
func (n *Node) Join(ctx context.Context, peers []netip.AddrPort) error {
	n.init()
	err := error(code.NotRunf(code.PeerUnreachable, "no peer to join"))
	for _, peer := range peers {
		if peer == n.Self.Address {
			continue
		}
		if err = n.synchronizeAll(ctx, peer); err == nil {
			return nil
		}
	}
	return err
}

func (n *Node) logChange(r member.Record) {
	if r.State == member.Serving || r.State == member.Joining {
		return
	}
	n.Log.Info("member-"+r.State.String(), "address", r.Address, "service", r.Service, "zone", r.Zone,
		"incarnation", uint64(r.Incarnation), "version", r.Version)
}

// Jitter returns d varied at random by up to the given share in either direction.
func Jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share*(2*rand.Float64()-1)))
}
