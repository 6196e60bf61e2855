package gossip

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

const (
	fanout      = 3 // peers in an eager round
	zoneFanout  = 2 // those of them in the own zone, so that news spread there while the zone is cut off
	eagerRounds = 3 // nine copies leave about one daemon in 8,000 to the periodic exchanges
	maxBatch    = 64
	// maxRumors bounds the queue of member news; what does not fit is found by the periodic exchanges.
	maxRumors = 1024
	// maxForwarded is the most records of one message that are passed on eagerly. More of them are old records that a
	// daemon lacked, not news.
	maxForwarded = 64
	// batchDelay lets news that arrive together leave in one message.
	batchDelay = 20 * time.Millisecond
	// roundDelay separates the eager rounds, so that the second one repairs losses of the first.
	roundDelay = 200 * time.Millisecond
)

// rumors are member news that are still to be passed on.
type rumors struct {
	mu      sync.Mutex
	pending map[netip.AddrPort]*rumor
	wake    chan struct{}
}

type rumor struct {
	record     member.Record
	roundsLeft int // still to make
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

func (q *rumors) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take returns the news for one eager round.
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

func (q *rumors) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// eagerLoop makes the eager exchanges. New news starts a round soon; a repeated round waits for roundDelay.
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
		if !sleep(ctx, Jitter(batchDelay, 1)) {
			return nil
		}
		n.eagerRound(ctx, &exchanges)
	}
}

// repeatChannel returns the timer's channel while something is still to be sends, else nil, which blocks.
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
	records := n.rumors.take()
	if !n.revisions.takeRound() && len(records) == 0 {
		return
	}
	for _, peer := range n.eagerPeers() {
		if n.limiter.Wait(ctx) != nil {
			return
		}
		n.counters.eager.Add(1)
		exchanges.Go(func() { _ = n.sendRecordsOrCheck(ctx, peer.Address, records) })
	}
}

// eagerPeers returns the peers of an eager round, most of them of the own zone.
func (n *Node) eagerPeers() []member.Record {
	peers := n.Table.PickZone(zoneFanout, n.Self.Zone)
	for _, other := range n.Table.Pick(fanout, netip.AddrPort{}) {
		if len(peers) < fanout && !slices.Contains(peers, other) {
			peers = append(peers, other)
		}
	}
	return peers
}

func (n *Node) sendRecordsOrCheck(ctx context.Context, to netip.AddrPort, records []member.Record) error {
	start := time.Now()
	request := n.newExchange()
	request.Members = records
	err := n.synchronize(ctx, to, request)
	if err != nil {
		n.checkFailure(ctx, to, start)
	}
	return err
}

// apply merges records and passes on those that are news.
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

// SetState changes the state of this daemon and spreads it.
func (n *Node) SetState(state member.State) {
	n.init()
	n.rumors.add(n.Table.SetState(state))
}

// Leave announces that this daemon is leaving and returns when a round of peers has been sends. It returns the last
// failure when ctx ends before any peer answered.
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
				if n.sendRecordsOrCheck(ctx, peer.Address, []member.Record{n.Table.Self()}) == nil {
					answers.Add(1)
				}
			})
		}
		sends.Wait()
		if answers.Load() > 0 {
			return nil
		}
		if !sleep(ctx, Jitter(roundDelay, jitterShare)) {
			return ctx.Err()
		}
	}
}
