package gossip

import (
	"context"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=reached -linecomment -output=names.go

// reached tells which daemon peers reach at this daemon's address.
type reached int

// The daemons that peers may reach.
const (
	reachedUnknown reached = iota // unknown
	reachedSelf                   // self
	reachedOther                  // other
)

// successionPatience is how long a daemon that has seen a higher incarnation at its address goes on without an answer of its peers.
const successionPatience = 10 * time.Second

// succession is the question which daemon peers reach at this daemon's address. It is used by silenceLoop alone.
type succession struct {
	since  time.Time    // when it was first asked; zero while no higher incarnation is known
	answer chan reached // gets the result of the present round of questions; nil without one
}

// checkSuccession decides which of two daemons at one address goes on when a record with a higher incarnation has been seen. Incarnations
// follow the clock, and a clock that was stepped back makes a daemon look older than its dead predecessor, so peers tell which of the
// two they reach. That one takes the address over; the other gets an error and ends. The goroutines of asking ask the peers.
func (n *Node) checkSuccession(ctx context.Context, s *succession, asking *sync.WaitGroup) error {
	other := n.Table.Superseded()
	if other == 0 {
		*s = succession{}
		return nil
	}
	if s.answer == nil {
		if s.since.IsZero() {
			s.since = time.Now()
		}
		answer := make(chan reached, 1)
		s.answer = answer
		asking.Go(func() { answer <- n.askWhoIsReached(ctx) })
		return nil
	}
	select {
	case answer := <-s.answer:
		s.answer = nil
		return n.settleSuccession(other, answer, time.Since(s.since))
	default:
		return nil
	}
}

func (n *Node) settleSuccession(other ident.Incarnation, answer reached, asked time.Duration) error {
	switch {
	case answer == reachedSelf:
		n.takeOver(other)
	case answer == reachedOther, asked > successionPatience:
		return code.NotRunf(code.DuplicateID, "address %s is used by incarnation %x; peers reach %s", n.Self.Address, uint64(other), answer)
	}
	return nil
}

// takeOver makes this daemon's record replace those of all incarnations up to other.
func (n *Node) takeOver(other ident.Incarnation) {
	before := n.Table.Self().Incarnation
	taken, changed := n.Table.TakeOver(other)
	if !changed {
		return
	}
	n.Log.Info("address-taken-over", "from", uint64(other), "before", uint64(before), "incarnation", uint64(taken.Incarnation))
	n.rumors.add(taken)
}

// askWhoIsReached asks up to maxHelpers peers which daemon they reach at this daemon's address. Peers that do not agree tell nothing.
func (n *Node) askWhoIsReached(ctx context.Context) reached {
	self := n.Table.Self()
	peers := n.Table.Pick(maxHelpers, self.Address)
	answers := make(chan reached, len(peers))
	for _, peer := range peers {
		go func() { answers <- n.askPeerWhoIsReached(ctx, peer, self) }()
	}
	agreed := reachedUnknown
	for range peers {
		answer := <-answers
		switch {
		case answer == reachedUnknown, answer == agreed:
		case agreed == reachedUnknown:
			agreed = answer
		default:
			return reachedUnknown
		}
	}
	return agreed
}

func (n *Node) askPeerWhoIsReached(ctx context.Context, peer, self member.Record) reached {
	request := n.newExchange()
	request.IndirectTarget = self.Address
	reply, err := n.send(ctx, peer.Address, request, indirectTimeouts*n.Timeout)
	if err != nil || reply.TargetIncarnation == 0 {
		return reachedUnknown
	}
	if reply.TargetIncarnation == self.Incarnation {
		return reachedSelf
	}
	return reachedOther
}
