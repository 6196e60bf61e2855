package gossip

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	// maxRounds bounds the messages of one conversation; 7,700 members take about 16 to hand over.
	maxRounds = 64
	// helpers is how many peers are asked for the second attempt until one of them answers.
	helpers = 3
	// tryTimeouts is the time for an attempt through a helper, in exchange timeouts.
	tryTimeouts = 2
	// staleAttempt is the duration of a failed attempt, in exchange timeouts, above which the failure proves nothing:
	// this process was paused meanwhile.
	staleAttempt = 3
)

// message returns an exchange with what every one carries.
func (n *Node) message() *proto.Exchange {
	revision, age := n.HeadSeen()
	return &proto.Exchange{
		From:    n.Table.Self(),
		Seen:    proto.HeadSeen{Revision: revision, Age: age},
		InForce: n.Holder.Revision(),
	}
}

// full compares all records with a peer.
func (n *Node) full(ctx context.Context, to netip.AddrPort) error {
	ask := n.message()
	ask.Digests = n.Table.Digests()
	if err := n.converse(ctx, to, ask); err != nil {
		return err
	}
	n.markJoined()
	return nil
}

// converse sends the message and whatever the replies ask for.
func (n *Node) converse(ctx context.Context, to netip.AddrPort, ask *proto.Exchange) error {
	if r, known := n.Table.Get(to); known && (r.State == member.Suspect || r.State == member.Gone) {
		ask.Members = append(ask.Members[:len(ask.Members):len(ask.Members)], r)
	}
	for range maxRounds {
		reply, err := n.send(ctx, to, ask, n.Timeout)
		if err != nil {
			return err
		}
		before := n.Table.Generation()
		n.merge(reply)
		next := n.followUp(reply, n.Table.Generation() != before)
		if next == nil {
			return nil
		}
		ask = next
	}
	return nil
}

func (n *Node) send(ctx context.Context, to netip.AddrPort, ask *proto.Exchange, timeout time.Duration) (*proto.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := n.Client.Exchange(ctx, to, ask)
	if err != nil {
		n.counters.failed.Add(1)
		return nil, err
	}
	n.hearPeer()
	return reply, nil
}

func (n *Node) merge(message *proto.Exchange) {
	n.apply([]member.Record{message.From})
	n.apply(message.Members)
	n.mergeSeen(message.Seen)
	n.mergeRevisions(message)
}

// followUp returns the next message of a conversation, or nil when there is nothing more to say.
func (n *Node) followUp(reply *proto.Exchange, progress bool) *proto.Exchange {
	next := n.message()
	needed := false
	switch {
	case reply.More && progress:
		next.Digests = n.Table.Digests()
		needed = true
	case len(reply.Digests) > 0:
		next.Members = n.Table.Compare(reply.Digests).Records
		needed = len(next.Members) > 0
	}
	if reply.WantSince {
		n.revisions.fill(next, reply.Since)
		needed = needed || next.Snapshot != nil || len(next.Changes) > 0
	}
	if since, ask := n.revisions.want(reply.InForce); ask {
		next.WantSince, next.Since = true, since
		needed = true
	}
	if !needed {
		return nil
	}
	return next
}

// doubts are the members whose failure is being checked.
type doubts struct {
	mu      sync.Mutex
	pending map[netip.AddrPort]bool
}

func (d *doubts) begin(address netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending[address] {
		return false
	}
	if d.pending == nil {
		d.pending = make(map[netip.AddrPort]bool)
	}
	d.pending[address] = true
	return true
}

func (d *doubts) end(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, address)
}

// doubt makes a second attempt through another peer after a failed exchange that began at start, and marks the member
// suspect when that fails too. A daemon that hears nobody at all suspects nobody: the failure is on its own side.
func (n *Node) doubt(ctx context.Context, address netip.AddrPort, start time.Time) {
	if ctx.Err() != nil || time.Since(start) > staleAttempt*n.Timeout {
		return
	}
	r, known := n.Table.Get(address)
	if !known || r.State == member.Suspect || r.State == member.Gone || !n.doubts.begin(address) {
		return
	}
	defer n.doubts.end(address)
	begun := time.Now()
	if n.reachable(ctx, address) || ctx.Err() != nil || !n.heardPeerWithin(n.IsolatedAfter) {
		return
	}
	if time.Since(begun) > staleAttempt*tryTimeouts*(helpers+1)*n.Timeout {
		return
	}
	if !n.Table.Suspect(r) {
		return
	}
	n.counters.suspected.Add(1)
	if suspect, found := n.Table.Get(address); found {
		n.rumors.add(suspect)
	}
}

// reachable asks up to three peers to try the member. When none of them answers, this daemon tries once more itself.
func (n *Node) reachable(ctx context.Context, address netip.AddrPort) bool {
	for _, helper := range n.Table.Pick(helpers, address) {
		ask := n.message()
		ask.IndirectTarget = address
		reply, err := n.send(ctx, helper.Address, ask, tryTimeouts*n.Timeout)
		if err == nil {
			n.merge(reply)
			return reply.TargetReached
		}
	}
	_, err := n.send(ctx, address, n.message(), n.Timeout)
	return err == nil
}
