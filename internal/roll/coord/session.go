package coord

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/roll/judge"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/roll/stage"
	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// session is the work of this daemon for one order. It is used by the goroutine of Run only, except for summary.
type session struct {
	c         *Coordinator
	ordered   config.Rollout
	withdrawn bool
	done      bool   // the final phase is in the table, and this daemon has nothing left to do
	doneEra   uint64 // of the table when done was last true; a later one may have lost the phase
	askedEra  uint64 // of the table at the last start of restore
	row       *row

	coordinating     bool
	yielding         bool
	steppedDownUntil time.Time
	askedAt          time.Time

	began       time.Time // when this daemon began to coordinate
	rounds      int
	members     map[netip.AddrPort]bool // all that the service had during the order
	known       int                     // number of members
	phase       phase.Phase             // in force at the last round
	phaseAt     time.Time               // when a round first found this phase in force
	pairing     judge.Pairing
	minority    bool      // at most half of them replied to the last round
	lastRound   time.Time // zero unless coordinating
	plan        *stage.Plan
	announcedAt time.Time // when a plan first wanted the switch; zero before
	finalAt     time.Time // when the final phase was first told; zero before
	daemons     map[lifetime]*evidence
	current     map[netip.AddrPort]lifetime
	rates       rates
	verdict     judge.Verdict
	baseline    *tally.Tally
	granted     uint64 // sum of all limits that were ever granted, by any coordinator

	mu      sync.Mutex
	summary Dump
}

// lifetime identifies a process of a daemon. Its counts stay valid after its end.
type lifetime struct {
	address     netip.AddrPort
	incarnation ident.Incarnation
}

// evidence is the last reply of a process.
type evidence struct {
	last    *proto.RolloutEvidence // with the last tallies that were received
	aware   bool                   // it knew the order
	replied time.Time
	limit   uint64 // highest that this coordinator may have sent to it
}

func newSession(c *Coordinator, view agent.View) *session {
	return &session{
		c: c, ordered: view.Ordered, withdrawn: view.Withdrawn,
		row: &row{
			store: c.Store, service: c.Service, era: view.Era, statusRow: c.StatusRow, counters: &c.counters, background: &c.background,
		},
		daemons: make(map[lifetime]*evidence), members: make(map[netip.AddrPort]bool), current: make(map[netip.AddrPort]lifetime),
	}
}

func (s *session) is(ordered config.Rollout) bool {
	return s.ordered.Order == ordered.Order && s.ordered.Target == ordered.Target
}

func (s *session) matches(state *proto.RolloutState) bool {
	return s.ordered.Order == state.Order && s.ordered.Target == state.Target
}

// settle applies what the last access to the row has shown.
func (s *session) settle(now time.Time) {
	got, fresh := s.row.take()
	if !fresh {
		return
	}
	if s.done {
		s.doneEra = max(s.doneEra, s.askedEra)
	}
	switch {
	case got.superseded:
		s.coordinating = false
		s.steppedDownUntil = now.Add(stepDownFor) // this daemon's configuration is behind
	case got.found:
		if got.created {
			s.c.Log.Info("rollout-started", "service", s.c.Service, "order", s.ordered.Order, "target", s.ordered.Target,
				"duration", s.ordered.Duration, "phase", got.phase.String())
		}
		s.c.Agent.ReadRow(s.ordered, got.phase, got.asked)
	}
}

// round sends one round to all daemons of the service and decides on the evidence.
func (s *session) round(ctx context.Context) {
	now := time.Now()
	if s.lastRound.IsZero() {
		s.plan = nil // the evidence of the plan is missing or out of date
	}
	s.lastRound = now
	view, found := s.c.Agent.View()
	if !found {
		return
	}
	members := s.c.Members.Members(s.c.Service)
	replies := s.send(ctx, view, members)
	after := time.Now()
	for address, reply := range replies {
		s.record(address, reply, after)
	}
	s.c.counters.rounds.Add(1)
	s.decide(ctx, members, after)
}

func (s *session) send(ctx context.Context, view agent.View, members []member.Record) map[netip.AddrPort]*proto.RolloutEvidence {
	roundCtx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	var mu sync.Mutex
	var sending sync.WaitGroup
	replies := make(map[netip.AddrPort]*proto.RolloutEvidence, len(members))
	s.rounds++
	for _, r := range members {
		if r.Address == s.c.Address {
			continue
		}
		message := s.message(view, r.Address)
		message.WantTally = message.Rate > 0 || view.State.Phase == phase.Switching || s.rounds%tallyRounds == 0
		sending.Go(func() {
			reply, err := s.c.Client.Rollout(roundCtx, r.Address, message)
			if err != nil {
				s.c.counters.lost.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[r.Address] = reply
		})
	}
	sending.Wait()
	for _, r := range members {
		s.members[r.Address] = true
	}
	s.known = len(s.members)
	s.minority = s.isMinority(replies)
	own := s.message(view, s.c.Address)
	own.WantTally = s.rounds%tallyRounds == 0 || view.State.Phase == phase.Switching
	if reply, err := s.c.Agent.Rollout(ctx, nil, own); err == nil {
		replies[s.c.Address] = reply
	}
	return replies
}

// isMinority reports whether the daemons that have replied are not most of those that the service had during the order. Of two halves, the
// one with the first in the succession counts as most. Gone members count too: they may be another part of the fleet that goes on.
func (s *session) isMinority(replies map[netip.AddrPort]*proto.RolloutEvidence) bool {
	reached := len(replies) + 1
	if 2*reached != s.known {
		return 2*reached < s.known
	}
	for address := range s.members {
		if _, replied := replies[address]; !replied && s.precedes(address) {
			first := true
			for other := range replies {
				first = first && score(s.ordered.Order, address) > score(s.ordered.Order, other)
			}
			if first {
				return true
			}
		}
	}
	return false
}

// message returns the round for one daemon. It has a grant only if the daemon's incarnation is known.
func (s *session) message(view agent.View, to netip.AddrPort) *proto.RolloutRound {
	state := view.State
	state.Granted = max(state.Granted, s.granted)
	message := &proto.RolloutRound{
		Service: s.c.Service, State: state, Coordinator: s.c.Address, Yielding: s.yielding, Minority: s.minority,
		Announce: !s.announcedAt.IsZero(),
	}
	held, known := s.current[to]
	if s.plan == nil || !known || !state.Known || state.Phase != phase.Trial {
		return message
	}
	for _, grant := range s.plan.Grants {
		if grant.Address != to || grant.Limit == stage.Unlimited {
			continue
		}
		e := s.daemons[held]
		e.limit = max(e.limit, grant.Limit)
		message.Receiver, message.Limit, message.Rate = held.incarnation, grant.Limit, grant.Rate
		if grant.Rate > 0 {
			message.Baseline = s.baseline
		}
	}
	return message
}

func (s *session) record(address netip.AddrPort, reply *proto.RolloutEvidence, now time.Time) {
	key := lifetime{address, reply.Incarnation}
	s.current[address] = key
	e := s.daemons[key]
	if e == nil {
		e = &evidence{}
		s.daemons[key] = e
	}
	e.replied = now
	aware := s.matches(&reply.State)
	if !aware && e.aware {
		e.last.Ready = reply.Ready // it has a later configuration; its counts stay
		return
	}
	if before := e.last; before != nil {
		reply.Old, reply.New = cmp.Or(reply.Old, before.Old), cmp.Or(reply.New, before.New)
	}
	e.last, e.aware = reply, aware
	if aware {
		s.granted = max(s.granted, reply.State.Granted)
	}
}

// decide plans on the evidence and starts the write that the plan needs.
func (s *session) decide(ctx context.Context, members []member.Record, now time.Time) {
	s.adoptPhases()
	view, found := s.c.Agent.View()
	if !found || !s.is(view.Ordered) {
		return
	}
	in := s.input(view, members, now)
	plan := stage.Next(in)
	s.reportVerdict(in.Finding)
	s.publish(in, plan)
	s.plan = &plan
	s.countGrants(in, plan)
	s.act(ctx, view, plan, now)
	s.finish(members, now)
}

// adoptPhases applies the phases that the daemons know. One that found the release to be bad by its own responses is believed.
func (s *session) adoptPhases() {
	for _, key := range s.current {
		if e := s.daemons[key]; e.aware && e.last.State.Known {
			s.c.Agent.Learn(s.ordered, e.last.State.Phase, e.last.State.Stored, "evidence of "+key.address.String())
		}
	}
}

// act starts what the plan needs: more exposure only with a write of the row, a roll-back of a bad release at once.
func (s *session) act(ctx context.Context, view agent.View, plan stage.Plan, now time.Time) {
	state := view.State
	switch {
	case s.withdrawn, state.Known && state.Phase == phase.RolledBack:
		s.advanceUnlessStored(ctx, view, phase.RolledBack)
	case !state.Known || !state.Stored:
		s.row.advance(ctx, s.ordered, phase.Trial) // learns the phase if there is one
	case plan.Phase == state.Phase:
		s.announcedAt = time.Time{}
		if s.row.idleFor(now, s.pollInterval()) {
			s.row.advance(ctx, s.ordered, state.Phase) // only reads, unless the table has lost the phase
		}
	case plan.Phase == phase.RolledBack:
		if plan.Reason == stage.ReleaseBad {
			s.c.Agent.Learn(s.ordered, phase.RolledBack, false, plan.Reason.String())
		}
		s.row.advance(ctx, s.ordered, phase.RolledBack)
	case s.minority: // another part of the fleet may go on with the present phase
		if s.row.idleFor(now, learnInterval) {
			s.row.read(ctx, s.ordered)
		}
	case state.Phase == phase.Trial && !s.announced(now):
	default:
		s.row.advance(ctx, s.ordered, plan.Phase)
	}
}

// pollInterval is the interval of reads of the row without another reason. They extend the leases of a part of the fleet that is cut off.
func (s *session) pollInterval() time.Duration {
	if s.minority {
		return learnInterval
	}
	return storePoll
}

func (s *session) advanceUnlessStored(ctx context.Context, view agent.View, next phase.Phase) {
	if !view.State.Stored {
		s.row.advance(ctx, s.ordered, next)
	}
}

// announced reports whether routers had the time to learn that the target servers go into service.
func (s *session) announced(now time.Time) bool {
	if s.announcedAt.IsZero() {
		s.announcedAt = now
	}
	return now.Sub(s.announcedAt) >= announceLead
}

// finish ends the session when every daemon has confirmed the final phase, or had the time to.
func (s *session) finish(members []member.Record, now time.Time) {
	view, found := s.c.Agent.View()
	if !found || !view.State.Known || !view.State.Phase.Final() || !view.State.Stored {
		return
	}
	if s.finalAt.IsZero() {
		s.finalAt = now
	}
	confirmed := true
	for _, r := range members {
		e := s.daemons[s.current[r.Address]]
		confirmed = confirmed && e != nil && e.aware && e.last.State.Known && e.last.State.Phase == view.State.Phase && e.last.State.Stored
	}
	s.setDone(confirmed || now.Sub(s.finalAt) > finalRounds)
}

func (s *session) setDone(done bool) {
	s.done, s.doneEra = done, s.c.era()
}

// restores reports whether this daemon is one of those that write a final phase again in an era of the table that may have lost it.
func (s *session) restores() bool {
	return s.done && s.doneEra < s.c.era() && s.rank() < restorers
}

// restore writes the final phase unless the table still has it.
func (s *session) restore(ctx context.Context, view agent.View, now time.Time) {
	if s.row.idleFor(now, storePoll) {
		s.askedEra = s.c.era()
		s.row.advance(ctx, s.ordered, view.State.Phase)
	}
}
