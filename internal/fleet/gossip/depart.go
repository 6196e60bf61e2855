package gossip

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	// handOverCopies is the number of peers that must keep a departure before it counts as handed over. It then spreads like other news.
	handOverCopies = 2
	// recallPeers is the number of peers that a new process asks for the departures that earlier ones acknowledged.
	recallPeers = 3
	// recallPatience is how long a new process asks. In a fleet that has started at once nobody can tell.
	recallPatience = 10 * time.Second
	// recallClaim is how long a process that nobody told runs before it tells others that it knows all departures. One that still asks then
	// has started so much later that no message from before this process's start can reach it.
	recallClaim    = 2 * recallPatience
	recallInterval = 50 * time.Millisecond // between looks at the answers
)

// recall is the question of a new process which departures were acknowledged before its start.
type recall struct {
	mu       sync.Mutex
	told     map[netip.AddrPort]bool // peers that have told all that they know
	answered bool                    // enough peers have
}

// HandOver gives the departure of this daemon's server to peers, which tell it to this daemon's next process. It returns the number of
// peers that keep it, once these are enough or ctx ends.
func (n *Node) HandOver(ctx context.Context, d member.Departure) int {
	n.init()
	d.Daemon = n.Self.Address
	if n.departures.Add(d) {
		n.rumors.addDeparture(d)
	}
	held := &holders{wanted: min(handOverCopies, n.Table.Live()-1), enough: make(chan struct{})}
	for held.wanted > 0 {
		for _, peer := range n.eagerPeers() {
			go n.handOverTo(context.WithoutCancel(ctx), peer.Address, d, held)
		}
		select {
		case <-ctx.Done():
			return held.count()
		case <-held.enough:
			return held.count()
		case <-time.After(Jitter(roundDelay, jitterShare)):
		}
	}
	return 0
}

func (n *Node) handOverTo(ctx context.Context, to netip.AddrPort, d member.Departure, held *holders) {
	request := n.newExchange()
	request.Departures = []member.Departure{d}
	reply, err := n.send(ctx, to, request, n.Timeout)
	if err != nil {
		return
	}
	n.merge(reply)
	if reply.KeptDepartures {
		held.add(to)
	}
}

// holders is the set of peers that keep a departure.
type holders struct {
	wanted int
	enough chan struct{} // closed when wanted peers keep it

	mu    sync.Mutex
	peers map[netip.AddrPort]bool
}

func (h *holders) add(peer netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peers[peer] {
		return
	}
	if h.peers == nil {
		h.peers = make(map[netip.AddrPort]bool)
	}
	h.peers[peer] = true
	if len(h.peers) == h.wanted {
		close(h.enough)
	}
}

func (h *holders) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.peers)
}

// mergeDepartures keeps the departures in a message, which may be of this daemon's own server, and forwards those that are news.
func (n *Node) mergeDepartures(message *proto.Exchange) {
	for _, d := range message.Departures {
		if !n.departures.Add(d) {
			continue
		}
		if len(message.Departures) <= maxForwarded {
			n.rumors.addDeparture(d)
		}
		if d.Daemon == n.Self.Address && n.OnDeparture != nil {
			n.OnDeparture(d)
		}
	}
	if message.AllDepartures {
		n.recall.add(message.From.Address)
	}
}

// answerDepartures sets the fields of a reply that concern departures.
func (n *Node) answerDepartures(reply, request *proto.Exchange) {
	reply.KeptDepartures = len(request.Departures) > 0
	for _, d := range request.Departures {
		reply.KeptDepartures = reply.KeptDepartures && n.departures.Holds(d)
	}
	if request.WantDepartures {
		reply.Departures = n.departures.Latest(proto.MaxDepartures, request.From.Address)
		reply.AllDepartures = n.knowsDepartures()
	}
}

// recalls reports whether this daemon still asks peers for earlier departures.
func (n *Node) recalls() bool {
	return !n.recall.complete() && !n.hasRunFor(recallPatience)
}

// knowsDepartures reports whether this daemon knows all departures that a process which asks for them may have to honor.
func (n *Node) knowsDepartures() bool {
	return n.recall.complete() || n.hasRunFor(recallClaim)
}

// hasRunFor reports whether this process knows other daemons and has run for d.
func (n *Node) hasRunFor(d time.Duration) bool {
	select {
	case <-n.joined:
		return time.Since(n.lastContact.start) >= d
	default:
		return false
	}
}

// complete reports whether enough peers have told all that they know.
func (r *recall) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

// recallLoop asks peers for the departures that were acknowledged before this process started, as soon as it knows any peer. Later
// exchanges repeat the question.
func (n *Node) recallLoop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.joined:
	}
	var asking sync.WaitGroup
	defer asking.Wait()
	for _, peer := range n.Table.Pick(recallPeers, netip.AddrPort{}) {
		asking.Go(func() { _ = n.synchronize(ctx, peer.Address, n.newExchange()) })
	}
	for n.recalls() {
		if n.recall.finish(max(1, min(recallPeers, n.Table.Live()-1))) {
			if n.OnRecalled != nil {
				n.OnRecalled()
			}
			return nil
		}
		if !clock.Sleep(ctx, recallInterval) {
			return nil
		}
	}
	return nil
}

func (r *recall) add(peer netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered {
		return
	}
	if r.told == nil {
		r.told = make(map[netip.AddrPort]bool)
	}
	r.told[peer] = true
}

// finish ends the question if at least the wanted number of peers have told what they know, and reports whether they have.
func (r *recall) finish(wanted int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = len(r.told) >= wanted
	if r.answered {
		r.told = nil
	}
	return r.answered
}
