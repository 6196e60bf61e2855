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
	// maxRounds bounds the messages of one synchronization. Sending 7,700 members takes about 16.
	maxRounds = 64
	// maxHelpers bounds the peers that are asked in turn for an indirect attempt until one of them replies.
	maxHelpers = 3
	// indirectTimeouts is the timeout of an indirect attempt through a helper, as a multiple of Node.Timeout.
	indirectTimeouts = 2
	// maxAttemptTimeouts is the duration of an attempt, as a multiple of its timeout, above which a failure is ignored,
	// because this process must have been paused meanwhile.
	maxAttemptTimeouts = 3
)

// newExchange returns a message with the fields that every exchange carries.
func (n *Node) newExchange() *proto.Exchange {
	revision, age := n.HeadSeen()
	return &proto.Exchange{
		From:    n.Table.Self(),
		Seen:    proto.HeadSeen{Revision: revision, Age: age},
		InForce: n.Holder.Revision(),

		WantDepartures: n.recalls(),
	}
}

// synchronizeAll sends the digests of all records to a peer and exchanges the records that differ.
func (n *Node) synchronizeAll(ctx context.Context, to netip.AddrPort) error {
	request := n.newExchange()
	request.Digests = n.Table.Digests()
	if err := n.synchronize(ctx, to, request); err != nil {
		return err
	}
	n.markJoined()
	return nil
}

// synchronize sends the request, then the records and revisions that each reply asks for, at most maxRounds messages in all.
func (n *Node) synchronize(ctx context.Context, to netip.AddrPort, request *proto.Exchange) error {
	if r, known := n.Table.Get(to); known && (r.State == member.Suspect || r.State == member.Gone) {
		request.Members = append(request.Members[:len(request.Members):len(request.Members)], r)
	}
	for range maxRounds {
		reply, err := n.send(ctx, to, request, n.Timeout)
		if err != nil {
			return err
		}
		before := n.Table.Generation()
		n.merge(reply)
		next := n.followUp(reply, n.Table.Generation() != before)
		if next == nil {
			return nil
		}
		request = next
	}
	return nil
}

func (n *Node) send(ctx context.Context, to netip.AddrPort, request *proto.Exchange, timeout time.Duration) (*proto.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := n.Client.Exchange(ctx, to, request)
	if err != nil {
		n.counters.failed.Add(1)
		return nil, err
	}
	n.recordPeerContact()
	return reply, nil
}

func (n *Node) merge(message *proto.Exchange) {
	n.apply([]member.Record{message.From})
	n.apply(message.Members)
	n.mergeHeadSeen(message.Seen)
	n.mergeRevisions(message)
	n.mergeDepartures(message)
}

// followUp returns the next message to the peer, or nil when neither side needs anything more. progress reports whether the
// reply changed the table; remaining records are requested only then.
func (n *Node) followUp(reply *proto.Exchange, progress bool) *proto.Exchange {
	next := n.newExchange()
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
		n.revisions.addMissing(next, reply)
		needed = needed || next.Part != nil || next.Snapshot != nil || len(next.Changes) > 0
	}
	if n.revisions.addRequest(next, reply.InForce) {
		needed = true
	}
	if !needed {
		return nil
	}
	return next
}

// failureChecks is the set of members with a failure check in progress, so that each has one at a time.
type failureChecks struct {
	mu      sync.Mutex
	pending map[netip.AddrPort]bool
}

func (c *failureChecks) begin(address netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[address] {
		return false
	}
	if c.pending == nil {
		c.pending = make(map[netip.AddrPort]bool)
	}
	c.pending[address] = true
	return true
}

func (c *failureChecks) end(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, address)
}

// checkFailure is called after a failed exchange that began at start. It makes a second, indirect attempt through another
// peer and marks the member as suspect when that fails too. A daemon that has heard from no peer for IsolatedAfter suspects
// nobody, because the failure is on its own side.
func (n *Node) checkFailure(ctx context.Context, address netip.AddrPort, start time.Time) {
	if ctx.Err() != nil || time.Since(start) > maxAttemptTimeouts*n.Timeout {
		return
	}
	r, known := n.Table.Get(address)
	if !known || r.State == member.Suspect || r.State == member.Gone || !n.failureChecks.begin(address) {
		return
	}
	defer n.failureChecks.end(address)
	checkStart := time.Now()
	if n.reachable(ctx, address) || ctx.Err() != nil || !n.peerContactWithin(n.IsolatedAfter) {
		return
	}
	if time.Since(checkStart) > maxAttemptTimeouts*indirectTimeouts*(maxHelpers+1)*n.Timeout {
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

// reachable asks up to maxHelpers peers in turn to contact the member and returns the result of the first that replies.
// When none replies, this daemon contacts the member directly once more.
func (n *Node) reachable(ctx context.Context, address netip.AddrPort) bool {
	for _, helper := range n.Table.Pick(maxHelpers, address) {
		request := n.newExchange()
		request.IndirectTarget = address
		reply, err := n.send(ctx, helper.Address, request, indirectTimeouts*n.Timeout)
		if err == nil {
			n.merge(reply)
			return reply.TargetReached
		}
	}
	_, err := n.send(ctx, address, n.newExchange(), n.Timeout)
	return err == nil
}
