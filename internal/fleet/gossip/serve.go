package gossip

import (
	"context"
	"net/netip"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// maxMembers bounds the records of a received message. Our own messages carry at most a sixth of it.
const maxMembers = 4096

// Exchange implements proto.FleetHandler.
func (n *Node) Exchange(ctx context.Context, peer *proto.Peer, ask *proto.Exchange) (*proto.Exchange, error) {
	if !n.started.Load() {
		return nil, code.NotRunf(code.Stopping, "membership is not running")
	}
	if err := check(peer, ask); err != nil {
		return nil, err
	}
	n.counters.served.Add(1)
	n.hearPeer()
	n.merge(ask)
	reply := n.message()
	if held, known := n.Table.Get(ask.From.Address); known && held.Newer(ask.From) {
		reply.Members = append(reply.Members, held)
	}
	if len(ask.Digests) > 0 {
		diff := n.Table.Compare(ask.Digests)
		reply.Members = append(reply.Members, diff.Records...)
		reply.More = diff.More
		if !diff.Equal {
			reply.Digests = n.Table.Digests()
		}
	}
	if ask.WantSince {
		n.revisions.fill(reply, ask.Since)
	}
	if since, want := n.revisions.want(ask.InForce); want {
		reply.WantSince, reply.Since = true, since
	}
	if ask.IndirectTarget.IsValid() {
		reply.TargetReached = n.try(ctx, ask.IndirectTarget)
	}
	return reply, nil
}

func check(peer *proto.Peer, ask *proto.Exchange) error {
	if len(ask.Digests) != 0 && len(ask.Digests) != member.Buckets {
		return code.NotRunf(code.BadRequest, "exchange has %d digests, want %d", len(ask.Digests), member.Buckets)
	}
	if len(ask.Members) > maxMembers {
		return code.NotRunf(code.BadRequest, "exchange has %d members, at most %d are allowed", len(ask.Members), maxMembers)
	}
	if peer != nil && peer.Hello.Address != ask.From.Address {
		return code.NotRunf(code.BadRequest, "exchange from %s came over a connection of %s", ask.From.Address, peer.Hello.Address)
	}
	return nil
}

// try makes the second attempt for a peer. Only known members are tried, so that a peer cannot make this daemon
// connect to any address it likes.
func (n *Node) try(ctx context.Context, address netip.AddrPort) bool {
	if address == n.Self.Address {
		return true
	}
	if _, known := n.Table.Get(address); !known {
		return false
	}
	reply, err := n.send(ctx, address, n.message(), n.Timeout)
	if err != nil {
		return false
	}
	n.merge(reply)
	return true
}

// Status implements proto.FleetHandler.
func (n *Node) Status(_ context.Context, _ *proto.Peer, _ *proto.Status) (*proto.Status, error) {
	if !n.started.Load() {
		return nil, code.NotRunf(code.Stopping, "membership is not running")
	}
	return n.status(), nil
}

func (n *Node) status() *proto.Status {
	return &proto.Status{From: n.Table.Self(), InForce: n.Holder.Revision()}
}
