package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

const (
	statusParallel = 64                     // status requests at a time
	statusInterval = 500 * time.Millisecond // between rounds of Wait
)

// LaggingMember is a member that does not have a revision in force.
type LaggingMember struct {
	Record  member.Record
	InForce uint64 // 0 when it did not answer
	Err     error  // why it did not answer
}

// LaggingMembers asks every known member that is not gone for its revision and returns those below the revision, by address.
func (n *Node) LaggingMembers(ctx context.Context, revision uint64) []LaggingMember {
	var mu sync.Mutex
	var behind []LaggingMember
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
			behind = append(behind, LaggingMember{Record: r, InForce: inForce, Err: err})
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(behind, func(a, b LaggingMember) int { return a.Record.Address.Compare(b.Record.Address) })
	return behind
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

// Wait returns when every known member has the revision in force, or when ctx ends with those that had not in the last
// complete round. A round that ctx cuts short would list members that had no time to answer.
func (n *Node) Wait(ctx context.Context, revision uint64) ([]LaggingMember, error) {
	n.init()
	var last []LaggingMember
	for {
		behind := n.LaggingMembers(ctx, revision)
		if len(behind) == 0 {
			return nil, nil
		}
		if ctx.Err() != nil && last != nil {
			return last, ctx.Err()
		}
		last = behind
		if !sleep(ctx, Jitter(statusInterval, jitterShare)) {
			return last, ctx.Err()
		}
	}
}
