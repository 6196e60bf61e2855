// Package gossip spreads members, departures and configuration revisions between the daemons and detects failed ones.
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

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Defaults of a Node's periods.
const (
	DefaultInterval      = time.Second      // between periodic exchanges
	DefaultTimeout       = time.Second      // of one exchange
	DefaultIsolatedAfter = 10 * time.Second // without news from the platform and any peer
)

const (
	// pausedAfter is a gap between two ticks that shows that the process did not run.
	pausedAfter = 5 * time.Second
	// lostContactOdds makes one of so many periodic exchanges go to a gone member or a seed, so that the two sides of a
	// healed partition find each other.
	lostContactOdds = 5
	// jitterShare spreads the ticks of the daemons.
	jitterShare = 0.2
)

// Node is the membership of one daemon. It implements proto.FleetHandler.
type Node struct {
	Self   member.Record // this daemon's record at the start
	Table  *member.Table
	Holder *config.Holder
	Client proto.FleetClient
	Merge  func(files.Set) (*config.Config, error) // turns the folder into the configuration
	Seeds  []netip.AddrPort                        // asked at the start and now and then
	Log    logr.Logger

	Interval      time.Duration // DefaultInterval when 0
	Timeout       time.Duration // DefaultTimeout when 0
	IsolatedAfter time.Duration // DefaultIsolatedAfter when 0

	started   atomic.Bool
	limiter   *rate.Limiter // eager exchanges
	revisions revisions
	seen      headSeen
	heard     heard
	rumors    rumors
	doubts    doubts
	contacts  contacts
	counters  counters

	initOnce sync.Once
	joined   chan struct{} // closed after the first complete exchange with a peer
	joinOnce sync.Once
}

type counters struct {
	periodic, eager, failed, served, suspected, refuted, snapshots atomic.Uint64
}

func (n *Node) init() {
	n.initOnce.Do(func() {
		n.joined = make(chan struct{})
		n.heard.start = time.Now()
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

// Run takes part in the membership until ctx ends. It returns an error when another daemon with a higher incarnation
// uses this daemon's address.
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
	group.Go(func() error { return n.tickLoop(ctx) })
	group.Go(func() error { return n.spreadLoop(ctx) })
	group.Go(func() error { return n.joinLoop(ctx) })
	group.Go(func() error { return n.quietLoop(ctx) })
	return group.Wait()
}

// Joined returns a channel that is closed after the first complete exchange with a peer.
func (n *Node) Joined() <-chan struct{} {
	n.init()
	return n.joined
}

func (n *Node) markJoined() {
	n.joinOnce.Do(func() { close(n.joined) })
}

// tickLoop makes the periodic exchanges.
func (n *Node) tickLoop(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	last := time.Now()
	for sleep(ctx, Jitter(n.Interval, jitterShare)) {
		now := time.Now()
		if now.Sub(last) > pausedAfter {
			n.Log.Info("process-paused", "for", now.Sub(last))
			n.Table.RestartSuspicions()
		}
		last = now
		n.Table.Expire()
		if other := n.Table.Superseded(); other != 0 {
			return code.NotRunf(code.DuplicateID, "address %s is used by incarnation %x", n.Self.Address, uint64(other))
		}
		target, found := n.periodicTarget()
		if !found {
			continue
		}
		n.counters.periodic.Add(1)
		exchanges.Go(func() { n.exchangeOrDoubt(ctx, target) })
	}
	return nil
}

func (n *Node) exchangeOrDoubt(ctx context.Context, to netip.AddrPort) {
	start := time.Now()
	if err := n.full(ctx, to); err != nil {
		n.doubt(ctx, to, start)
	}
}

func (n *Node) periodicTarget() (netip.AddrPort, bool) {
	if rand.IntN(lostContactOdds) == 0 {
		if lost, found := n.lostContact(); found {
			return lost, true
		}
	}
	if peers := n.Table.Pick(1, netip.AddrPort{}); len(peers) > 0 {
		return peers[0].Address, true
	}
	return n.lostContact()
}

// lostContact returns a gone member, a seed that is no live member, or a member from before a long pause.
func (n *Node) lostContact() (netip.AddrPort, bool) {
	var candidates []netip.AddrPort
	if gone, found := n.Table.PickGone(); found {
		candidates = append(candidates, gone.Address)
	}
	if len(n.Seeds) > 0 {
		candidates = append(candidates, n.Seeds[rand.IntN(len(n.Seeds))])
	}
	if old, found := n.contacts.pick(); found {
		candidates = append(candidates, old)
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

// joinLoop asks seeds and known members until one has handed over its records.
func (n *Node) joinLoop(ctx context.Context) error {
	const firstDelay = 100 * time.Millisecond
	for delay := firstDelay; ; delay = min(2*delay, n.Interval) {
		select {
		case <-n.joined:
			return nil
		default:
		}
		target, found := n.joinTarget()
		if found && n.full(ctx, target) == nil {
			return nil
		}
		if !sleep(ctx, Jitter(delay, jitterShare)) {
			return nil
		}
	}
}

func (n *Node) joinTarget() (netip.AddrPort, bool) {
	if seed, found := n.lostContact(); found {
		return seed, true
	}
	if peers := n.Table.Pick(1, netip.AddrPort{}); len(peers) > 0 {
		return peers[0].Address, true
	}
	return netip.AddrPort{}, false
}

// Join makes a complete exchange with the first of the peers that answers.
func (n *Node) Join(ctx context.Context, peers []netip.AddrPort) error {
	n.init()
	err := error(code.NotRunf(code.PeerUnreachable, "no peer to join"))
	for _, peer := range peers {
		if peer == n.Self.Address {
			continue
		}
		if err = n.full(ctx, peer); err == nil {
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

// Jitter returns d changed at random by at most the share of it.
func Jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share*(2*rand.Float64()-1)))
}

// sleep reports whether the time passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
