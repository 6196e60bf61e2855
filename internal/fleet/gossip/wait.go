package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

const (
	statusParallel = 64                     // concurrent status requests
	statusInterval = 500 * time.Millisecond // between rounds of Wait
)

// LaggingMember is a member whose revision in force is below the required one or unknown.
type LaggingMember struct {
	Record  member.Record
	InForce uint64 // 0 when the member did not answer
	Err     error  // of the status request, or nil
}

// LaggingMembers asks every known member that is not gone for its revision in force. It returns those that are below the given
// revision or did not answer, sorted by address.
func (n *Node) LaggingMembers(ctx context.Context, revision uint64) []LaggingMember {
	var mu sync.Mutex
	var lagging []LaggingMember
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for _, r := range n.Table.All() {
		if r.State == member.Gone {
			continue
		}
		group.Go(func() error {
			inForce, err := n.askStatus(ctx, r)
			if err == nil && inForce >= revision {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			lagging = append(lagging, LaggingMember{Record: r, InForce: inForce, Err: err})
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(lagging, func(a, b LaggingMember) int { return a.Record.Address.Compare(b.Record.Address) })
	return lagging
}

func (n *Node) askStatus(ctx context.Context, r member.Record) (uint64, error) {
	if r.Address == n.Self.Address {
		return n.Holder.Revision(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, n.Timeout)
	defer cancel()
	reply, err := n.Client.Status(ctx, r.Address, n.status())
	if err != nil {
		return 0, err
	}
	return reply.InForce, nil
}

// Wait returns when every known member that is not gone has the revision in force. When ctx ends first, it returns the lagging
// members of the last complete round, if any, because an interrupted round would also list members that had no time to answer.
func (n *Node) Wait(ctx context.Context, revision uint64) ([]LaggingMember, error) {
	n.init()
	var last []LaggingMember
	for {
		lagging := n.LaggingMembers(ctx, revision)
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
