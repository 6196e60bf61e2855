package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	statusParallel = 64                     // concurrent status requests
	statusInterval = 500 * time.Millisecond // between rounds of Wait
)

// Awaited is a configuration that members should have in force, or a later one. What is 0 is not looked at.
type Awaited struct {
	Revision uint64
	Serial   uint64 // that the operators gave it
}

// LaggingMember is a member whose configuration in force is before the awaited one or unknown.
type LaggingMember struct {
	Record  member.Record
	InForce uint64 // revision; 0 when the member did not answer
	Serial  uint64 // in force; 0 also at a member of a version that does not tell it
	Err     error  // of the status request, or nil
}

// LaggingMembers asks every known member that is not gone for its configuration in force. It returns those that are behind the awaited one
// or did not answer, sorted by address.
func (n *Node) LaggingMembers(ctx context.Context, awaited Awaited) []LaggingMember {
	var mu sync.Mutex
	var lagging []LaggingMember
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for _, r := range n.Table.All() {
		if r.State == member.Gone {
			continue
		}
		group.Go(func() error {
			status, err := n.askStatus(ctx, r)
			if err == nil && status.InForce >= awaited.Revision && status.Serial >= awaited.Serial {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			lagging = append(lagging, LaggingMember{Record: r, InForce: status.InForce, Serial: status.Serial, Err: err})
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(lagging, func(a, b LaggingMember) int { return a.Record.Address.Compare(b.Record.Address) })
	return lagging
}

// askStatus returns the status of a member, which is never nil.
func (n *Node) askStatus(ctx context.Context, r member.Record) (*proto.Status, error) {
	if r.Address == n.Self.Address {
		return n.status(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, n.Timeout)
	defer cancel()
	reply, err := n.Client.Status(ctx, r.Address, n.status())
	if err != nil {
		return &proto.Status{}, err
	}
	return reply, nil
}

// Wait returns when every known member that is not gone has the awaited configuration in force. When ctx ends first, it returns the lagging
// members of the last complete round, if any, because an interrupted round would also list members that had no time to answer.
func (n *Node) Wait(ctx context.Context, awaited Awaited) ([]LaggingMember, error) {
	n.init()
	var last []LaggingMember
	for {
		lagging := n.LaggingMembers(ctx, awaited)
		if len(lagging) == 0 {
			return nil, nil
		}
		if ctx.Err() != nil && last != nil {
			return last, ctx.Err()
		}
		last = lagging
		if !clock.Sleep(ctx, Jitter(statusInterval, jitterShare)) {
			return last, ctx.Err()
		}
	}
}
