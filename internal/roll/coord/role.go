package coord

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// score ranks the daemons for an order by rendezvous hashing, so that the orders of a fleet spread over its daemons, and daemons with the
// same members agree without a message.
func score(order uint64, address netip.AddrPort) uint64 {
	ip := address.Addr().As16()
	var key [8 + len(ip) + 2]byte
	binary.BigEndian.PutUint64(key[:], order)
	copy(key[8:], ip[:])
	binary.BigEndian.PutUint16(key[8+len(ip):], address.Port())
	return xxhash.Sum64(key[:])
}

// rank returns the number of daemons before this one in the succession. A member that is leaving may be so because of the roll-out only.
func (s *session) rank() int {
	rank := 0
	for _, r := range s.c.Members.Members(s.c.Service) {
		if (r.State == member.Serving || r.State == member.Leaving) && s.precedes(r.Address) {
			rank++
		}
	}
	return rank
}

func (s *session) precedes(other netip.AddrPort) bool {
	return other != s.c.Address && score(s.ordered.Order, other) > score(s.ordered.Order, s.c.Address)
}

// updateRole decides whether this daemon coordinates. A coordinator that cannot reach the table goes on with its rounds, marked as
// yielding, until another daemon takes over: target servers need rounds to go on, and a verdict must be told.
func (s *session) updateRole(ctx context.Context, now time.Time) {
	view, found := s.c.Agent.View()
	if !found {
		return
	}
	rank := s.rank()
	s.setRank(rank)
	if s.c.Eligible != nil && !s.c.Eligible() {
		s.coordinating = false
		return
	}
	if s.coordinating && !s.lastRound.IsZero() && now.Sub(s.lastRound) > maxPause {
		// Another daemon may have taken over during the pause of this process. Its rounds are received before the next step.
		s.coordinating = false
		s.c.Log.Info("rollout-coordinator-paused", "service", s.c.Service, "order", s.ordered.Order, "for", now.Sub(s.lastRound))
		return
	}
	storeReached := s.row.reachedWithin(now, storeTimeout) && !now.Before(s.steppedDownUntil)
	if s.coordinating {
		s.reconsider(view, now, storeReached)
		return
	}
	if now.Before(s.steppedDownUntil) || !s.mayTakeOver(view, now, rank) {
		return
	}
	if now.Sub(view.PeerAt) < takeOverAfter && s.precedes(view.Peer) && !storeReached {
		// Another daemon sends rounds but cannot reach the table.
		if s.row.idleFor(now, storePoll) {
			s.row.read(ctx, s.ordered)
		}
		return
	}
	s.coordinating, s.yielding, s.minority, s.began = true, !storeReached, true, now
	s.c.counters.takeovers.Add(1)
	s.c.Log.Info("rollout-coordinating", "service", s.c.Service, "order", s.ordered.Order, "rank", rank,
		"silence", sinceOrNone(now, view.FullAt))
}

// mayTakeOver reports whether the predecessors have been silent for long enough.
func (s *session) mayTakeOver(view agent.View, now time.Time, rank int) bool {
	wait := time.Duration(rank) * takeOverAfter
	if now.Sub(view.Seen) < wait {
		return false
	}
	return view.FullAt.IsZero() || now.Sub(view.FullAt) >= max(wait, takeOverAfter)
}

// reconsider ends the role when another daemon has it.
func (s *session) reconsider(view agent.View, now time.Time, storeReached bool) {
	otherFull := now.Sub(view.FullAt) < takeOverAfter
	otherAny := now.Sub(view.PeerAt) < takeOverAfter && s.precedes(view.Peer)
	switch {
	case otherFull && (s.yielding || s.precedes(view.Full)), s.yielding && otherAny && !storeReached:
		s.coordinating = false
		s.c.Log.Info("rollout-left-to-other", "service", s.c.Service, "order", s.ordered.Order, "other", view.Peer.String())
	case storeReached:
		s.yielding = false
	case !s.yielding:
		s.yielding, s.steppedDownUntil = true, now.Add(stepDownFor)
		s.c.counters.stepDowns.Add(1)
		s.c.Log.Info("rollout-stepping-down", "service", s.c.Service, "order", s.ordered.Order, "reason", "table-unreachable")
	}
}

// learnPhase reads the row and asks a peer while this daemon does not know the phase and hears no rounds.
func (s *session) learnPhase(ctx context.Context, now time.Time) {
	view, found := s.c.Agent.View()
	if !found || now.Sub(s.askedAt) < learnInterval {
		return
	}
	if view.State.Known {
		s.setDone(view.State.Phase.Final() && view.State.Stored)
		if s.done {
			return
		}
		if !view.State.Phase.Final() {
			s.extendLease(ctx, view, now)
			return
		}
	}
	s.askedAt = now
	s.row.read(ctx, s.ordered)
	members := s.c.Members.Members(s.c.Service)
	if len(members) == 0 {
		return
	}
	if peer := members[rand.IntN(len(members))].Address; peer != s.c.Address {
		s.c.background.Go(func() { s.ask(ctx, peer) })
	}
}

// extendLease reads the row when rounds do not extend the leases of the own server.
func (s *session) extendLease(ctx context.Context, view agent.View, now time.Time) {
	if !view.LeasedAt.IsZero() && now.Sub(view.LeasedAt) > takeOverAfter {
		s.askedAt = now
		s.row.read(ctx, s.ordered)
	}
}

// ask learns the phase from one other daemon.
func (s *session) ask(ctx context.Context, peer netip.AddrPort) {
	askCtx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	evidence, err := s.c.Client.Rollout(askCtx, peer, &proto.RolloutRound{
		Service: s.c.Service, State: proto.RolloutState{Order: s.ordered.Order, Target: s.ordered.Target},
	})
	if err != nil || !s.matches(&evidence.State) || !evidence.State.Known {
		return
	}
	// Trial is not adopted: a server gets its allowance from a coordinator in any case.
	if evidence.State.Phase != phase.Trial {
		s.c.Agent.Learn(s.ordered, evidence.State.Phase, evidence.State.Stored, "peer")
	}
}

func sinceOrNone(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}
