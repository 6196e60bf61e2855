package gossip

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

const (
	fanout      = 3  // peers contacted in an eager round
	zoneFanout  = 2  // of these, peers in this daemon's zone, so that updates still spread within a zone that is cut off
	eagerRounds = 3  // per update; nine copies miss about one daemon in 8,000, which the periodic exchanges reach
	maxBatch    = 64 // member updates in the messages of one eager round
	// maxRumors bounds the queue of member updates. Those that do not fit spread by the periodic exchanges.
	maxRumors = 1024
	// maxForwarded is the number of records in a message above which none of them is forwarded eagerly: so many are old
	// records that this daemon lacked, not recent updates.
	maxForwarded = 64
	// batchDelay collects updates that arrive together into one message.
	batchDelay = 20 * time.Millisecond
	// roundDelay separates the eager rounds, so that a later round repairs losses of an earlier one.
	roundDelay = 200 * time.Millisecond
)

// rumors is the queue of member updates that still have eager rounds left.
type rumors struct {
	mu      sync.Mutex
	pending map[netip.AddrPort]*rumor
	left    map[netip.AddrPort]*departureRumor // departures, by daemon
	wake    chan struct{}
}

type rumor struct {
	record     member.Record
	roundsLeft int // at least 1 while queued
}

type departureRumor struct {
	departure  member.Departure
	roundsLeft int // at least 1 while queued
}

func (q *rumors) add(r member.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[netip.AddrPort]*rumor)
	}
	if len(q.pending) >= maxRumors && q.pending[r.Address] == nil {
		return
	}
	q.pending[r.Address] = &rumor{record: r, roundsLeft: eagerRounds}
	q.signal()
}

func (q *rumors) addDeparture(d member.Departure) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.left == nil {
		q.left = make(map[netip.AddrPort]*departureRumor)
	}
	if len(q.left) >= maxRumors && q.left[d.Daemon] == nil {
		return
	}
	q.left[d.Daemon] = &departureRumor{departure: d, roundsLeft: eagerRounds}
	q.signal()
}

func (q *rumors) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns at most maxBatch updates for one eager round and removes those that have no further round.
func (q *rumors) take() []member.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	var records []member.Record
	for address, rumor := range q.pending {
		if len(records) == maxBatch {
			break
		}
		records = append(records, rumor.record)
		rumor.roundsLeft--
		if rumor.roundsLeft == 0 {
			delete(q.pending, address)
		}
	}
	return records
}

// takeDepartures is take for departures.
func (q *rumors) takeDepartures() []member.Departure {
	q.mu.Lock()
	defer q.mu.Unlock()
	var departures []member.Departure
	for daemon, rumor := range q.left {
		if len(departures) == maxBatch {
			break
		}
		departures = append(departures, rumor.departure)
		rumor.roundsLeft--
		if rumor.roundsLeft == 0 {
			delete(q.left, daemon)
		}
	}
	return departures
}

func (q *rumors) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending) + len(q.left)
}

// eagerLoop makes the eager exchanges. A new update starts a round after batchDelay; repeated rounds wait for roundDelay.
func (n *Node) eagerLoop(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for {
		repeat := time.NewTimer(Jitter(roundDelay, jitterShare))
		select {
		case <-ctx.Done():
			repeat.Stop()
			return nil
		case <-n.rumors.wake:
		case <-n.repeatChannel(repeat):
		}
		repeat.Stop()
		if !clock.Sleep(ctx, Jitter(batchDelay, 1)) {
			return nil
		}
		n.eagerRound(ctx, &exchanges)
	}
}

// repeatChannel returns the timer's channel while an update has eager rounds left, else nil, which blocks.
func (n *Node) repeatChannel(repeat *time.Timer) <-chan time.Time {
	n.revisions.mu.Lock()
	roundsLeft := n.revisions.roundsLeft
	n.revisions.mu.Unlock()
	if roundsLeft > 0 || n.rumors.len() > 0 {
		return repeat.C
	}
	return nil
}

func (n *Node) eagerRound(ctx context.Context, exchanges *sync.WaitGroup) {
	records, departures := n.rumors.take(), n.rumors.takeDepartures()
	if !n.revisions.takeRound() && len(records) == 0 && len(departures) == 0 {
		return
	}
	for _, peer := range n.eagerPeers() {
		if n.limiter.Wait(ctx) != nil {
			return
		}
		n.counters.eager.Add(1)
		exchanges.Go(func() { _ = n.sendNewsOrCheck(ctx, peer.Address, records, departures) })
	}
}

// eagerPeers returns the peers for an eager round: up to zoneFanout in this daemon's zone, the others from any zone.
func (n *Node) eagerPeers() []member.Record {
	peers := n.Table.PickZone(zoneFanout, n.Self.Zone)
	for _, other := range n.Table.Pick(fanout, netip.AddrPort{}) {
		if len(peers) < fanout && !slices.Contains(peers, other) {
			peers = append(peers, other)
		}
	}
	return peers
}

func (n *Node) sendNewsOrCheck(ctx context.Context, to netip.AddrPort, records []member.Record, departures []member.Departure) error {
	start := time.Now()
	request := n.newExchange()
	request.Members, request.Departures = records, departures
	err := n.synchronize(ctx, to, request)
	if err != nil {
		n.checkFailure(ctx, to, start)
	}
	return err
}

// apply merges received records and queues those that changed the table for eager forwarding, unless the message holds more
// than maxForwarded. A refutation by this daemon is always queued.
func (n *Node) apply(records []member.Record) {
	forward := len(records) <= maxForwarded
	for _, r := range records {
		if !n.Table.Apply(r) {
			continue
		}
		if r.Address == n.Self.Address {
			n.counters.refuted.Add(1)
			n.Log.Info("suspicion-refuted", "state", r.State.String(), "version", n.Table.Self().Version)
		} else if !forward {
			continue
		}
		if stored, found := n.Table.Get(r.Address); found {
			n.rumors.add(stored)
		}
	}
}

// SetState changes the state of this daemon and queues the new record for spreading.
func (n *Node) SetState(state member.State) {
	n.init()
	n.rumors.add(n.Table.SetState(state))
}

// Leave announces that this daemon is leaving. It repeats rounds of fanout peers until at least one peer of a round has
// answered, and returns the error of ctx when that ends first.
func (n *Node) Leave(ctx context.Context) error {
	n.SetState(member.Leaving)
	for {
		peers := n.Table.Pick(fanout, netip.AddrPort{})
		if len(peers) == 0 {
			return nil
		}
		var sends sync.WaitGroup
		var answers atomic.Int64
		for _, peer := range peers {
			sends.Go(func() {
				if n.sendNewsOrCheck(ctx, peer.Address, []member.Record{n.Table.Self()}, nil) == nil {
					answers.Add(1)
				}
			})
		}
		sends.Wait()
		if answers.Load() > 0 {
			return nil
		}
		if !clock.Sleep(ctx, Jitter(roundDelay, jitterShare)) {
			return ctx.Err()
		}
	}
}
