package gossip

import (
	"context"
	"net/netip"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// maxMembers bounds the records accepted in one message. A daemon sends at most about a sixth of it.
const maxMembers = 4096

// Exchange implements proto.FleetHandler.
func (n *Node) Exchange(ctx context.Context, peer *proto.Peer, request *proto.Exchange) (*proto.Exchange, error) {
	if !n.started.Load() {
		return nil, code.NotRunf(code.Stopping, "membership is not running")
	}
	if err := validate(peer, request); err != nil {
		return nil, err
	}
	n.counters.served.Add(1)
	n.recordPeerContact()
	n.merge(request)
	reply := n.newExchange()
	if held, known := n.Table.Get(request.From.Address); known && held.Newer(request.From) {
		reply.Members = append(reply.Members, held)
	}
	if len(request.Digests) > 0 {
		diff := n.Table.Compare(request.Digests)
		reply.Members = append(reply.Members, diff.Records...)
		reply.More = diff.More
		if !diff.Equal {
			reply.Digests = n.Table.Digests()
		}
	}
	if request.WantSince {
		n.revisions.addMissing(reply, request)
	}
	n.answerDepartures(reply, request)
	n.revisions.addRequest(reply, request.InForce)
	if request.IndirectTarget.IsValid() {
		reply.TargetIncarnation, reply.TargetReached = n.tryMember(ctx, request.IndirectTarget)
	}
	return reply, nil
}

func validate(peer *proto.Peer, request *proto.Exchange) error {
	if len(request.Digests) != 0 && len(request.Digests) != member.Buckets {
		return code.NotRunf(code.BadRequest, "exchange has %d digests, want %d", len(request.Digests), member.Buckets)
	}
	if len(request.Members) > maxMembers {
		return code.NotRunf(code.BadRequest, "exchange has %d members, at most %d are allowed", len(request.Members), maxMembers)
	}
	if peer != nil && peer.Hello.Address != request.From.Address {
		return code.NotRunf(code.BadRequest, "exchange from %s received on the connection of %s", request.From.Address, peer.Hello.Address)
	}
	return nil
}

// tryMember contacts a member on behalf of a peer and returns the incarnation that answered. Only known members are contacted, so that a
// peer cannot make this daemon connect to an arbitrary address.
func (n *Node) tryMember(ctx context.Context, address netip.AddrPort) (ident.Incarnation, bool) {
	if address == n.Self.Address {
		return n.Table.Self().Incarnation, true
	}
	if _, known := n.Table.Get(address); !known {
		return 0, false
	}
	reply, err := n.send(ctx, address, n.newExchange(), n.Timeout)
	if err != nil {
		return 0, false
	}
	n.merge(reply)
	return reply.From.Incarnation, true
}

// Status implements proto.FleetHandler.
func (n *Node) Status(_ context.Context, _ *proto.Peer, _ *proto.Status) (*proto.Status, error) {
	if !n.started.Load() {
		return nil, code.NotRunf(code.Stopping, "membership is not running")
	}
	return n.status(), nil
}

func (n *Node) status() *proto.Status {
	return &proto.Status{From: n.Table.Self(), InForce: n.Holder.Revision(), Serial: n.Holder.Serial()}
}
