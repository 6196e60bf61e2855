package agent

import (
	"context"
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

var _ proto.RolloutHandler = (*Agent)(nil)

// heard is when rounds of other coordinators were received.
type heard struct {
	any received // of any coordinator, including this daemon
	// leased is the last round of a coordinator that reached most daemons. A part of the fleet that is cut off from the others must not
	// go on by its own rounds, because the others may complete or roll back without it.
	leased time.Time
	peer   received // of another daemon
	full   received // of another daemon that reaches the table
}

type received struct {
	from netip.AddrPort
	at   time.Time
}

// Rollout implements proto.RolloutHandler.
func (a *Agent) Rollout(_ context.Context, _ *proto.Peer, round *proto.RolloutRound) (*proto.RolloutEvidence, error) {
	if round.Service != a.Service {
		return nil, code.NotRunf(code.WrongServer, "this daemon's server runs service %s, not %s", a.Service, round.Service)
	}
	o := a.current.Load()
	if o == nil {
		return a.baseEvidence(), nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if round.State.Order == o.ordered.Order && round.State.Target == o.ordered.Target {
		o.apply(round, now)
	}
	return o.evidence(round.WantTally, now), nil
}

func (o *order) apply(round *proto.RolloutRound, now time.Time) {
	o.recordRound(round, now)
	state := &round.State
	if first := now.Add(-state.Elapsed); first.Before(o.first) {
		o.first = first
	}
	o.granted = max(o.granted, state.Granted)
	if !state.Known || o.withdrawn {
		return
	}
	o.learn(state.Phase, state.Stored, "round")
	if o.phase != state.Phase {
		return // the round of a coordinator that has missed a phase
	}
	if round.Announce {
		o.announced = now
	}
	if round.Baseline != nil {
		o.baseline = round.Baseline
	}
	if round.Receiver == o.agent.Incarnation && o.phase == phase.Trial {
		o.refill(now)
		o.limit = max(o.limit, round.Limit)
		o.rate, o.grantedAt = round.Rate, now
	}
}

func (o *order) recordRound(round *proto.RolloutRound, now time.Time) {
	if !round.Coordinator.IsValid() {
		return
	}
	from := received{round.Coordinator, now}
	o.heard.any = from
	if !round.Minority {
		o.heard.leased = now
	}
	if round.Coordinator == o.agent.Address {
		return
	}
	o.heard.peer = from
	if !round.Yielding {
		o.heard.full = from
	}
}

// baseEvidence is what the daemon knows without an order.
func (a *Agent) baseEvidence() *proto.RolloutEvidence {
	evidence := &proto.RolloutEvidence{Incarnation: a.Incarnation, Ready: a.Ready == nil || a.Ready()}
	if a.Server != nil {
		evidence.Release, evidence.Slots = a.Server.Release(), a.Server.Slots()
	}
	return evidence
}

func (o *order) evidence(withTally bool, now time.Time) *proto.RolloutEvidence {
	evidence := o.agent.baseEvidence()
	evidence.State = o.state(now)
	evidence.Closed = o.closed(evidence.Release, now)
	evidence.Received, evidence.Admitted, evidence.Limit, evidence.Running = o.received, o.admitted, o.limit, o.running
	if withTally && len(o.old.Tally.Routes) > 0 {
		evidence.Old = o.old.Tally.Clone()
	}
	if withTally && len(o.target.Tally.Routes) > 0 {
		evidence.New = o.target.Tally.Clone()
	}
	return evidence
}

func (o *order) state(now time.Time) proto.RolloutState {
	state := proto.RolloutState{
		Order: o.ordered.Order, Target: o.ordered.Target, Known: o.known, Elapsed: now.Sub(o.first), Granted: o.granted,
	}
	if o.known {
		state.Phase, state.Stored = o.phase, o.stored
	}
	return state
}
