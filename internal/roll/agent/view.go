package agent

import (
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// View is what the coordinator part of the same daemon needs of an order.
type View struct {
	Ordered   config.Rollout
	Era       uint64 // of the configuration that this process learned the order from
	State     proto.RolloutState
	Withdrawn bool
	LeasedAt  time.Time      // last round that extended the leases
	Seen      time.Time      // when this process learned of the order
	PeerAt    time.Time      // last round of another daemon
	Peer      netip.AddrPort // which sent it
	FullAt    time.Time      // last round of another daemon that reaches the table
	Full      netip.AddrPort // which sent it
}

// View returns the present order, and false when there is none.
func (a *Agent) View() (View, bool) {
	o := a.current.Load()
	if o == nil {
		return View{}, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return View{
		Ordered: o.ordered, Era: o.era, State: o.state(time.Now()), Withdrawn: o.withdrawn, LeasedAt: o.heard.leased, Seen: o.seen,
		PeerAt: o.heard.peer.at, Peer: o.heard.peer.from, FullAt: o.heard.full.at, Full: o.heard.full.from,
	}, true
}

// ReadRow applies a phase that was read from the table, or written to it. asked is when the access began.
func (a *Agent) ReadRow(ordered config.Rollout, next phase.Phase, asked time.Time) {
	a.Learn(ordered, next, true, "table")
	o := a.current.Load()
	if o == nil || !o.is(ordered.Order, ordered.Target) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.known && o.phase == next {
		o.rowLease = asked.Add(RowLease)
	}
}

// Learn applies a phase of the order that the table or another daemon told, or that this daemon's coordinator has decided.
func (a *Agent) Learn(ordered config.Rollout, next phase.Phase, stored bool, reason string) {
	o := a.current.Load()
	if o == nil {
		return
	}
	o.mu.Lock()
	same := o.ordered.Order == ordered.Order && o.ordered.Target == ordered.Target
	if same {
		o.learn(next, stored, reason)
	}
	completed := same && o.withdrawn && o.phase == phase.Completed
	o.mu.Unlock()
	if completed {
		a.forget(o)
	}
}

// Dump is the state of an Agent.
type Dump struct {
	Ordered      *config.Rollout // nil when no order restricts the service
	State        proto.RolloutState
	Withdrawn    bool
	Release      string
	Refusing     string // reason why the server gets no new requests; empty when it does
	OutOfService bool
	Limit        uint64
	Rate         float64
	Received     uint64
	Admitted     uint64
	Running      uint64
	Responses    uint64 // of the server while it had the target release
	Failures     uint64 // among them
	Coordinator  netip.AddrPort
	RoundAge     time.Duration
}

// Dump returns the state for the state dump.
func (a *Agent) Dump() any {
	return a.Counts()
}

// Counts returns the state for metrics.
func (a *Agent) Counts() Dump {
	o := a.current.Load()
	if o == nil {
		return Dump{}
	}
	release := a.Server.Release()
	o.mu.Lock()
	defer o.mu.Unlock()
	now, ordered := time.Now(), o.ordered
	dump := Dump{
		Ordered: &ordered, State: o.state(now), Withdrawn: o.withdrawn, Release: release, OutOfService: o.outOfService(release, now),
		Limit: o.limit, Rate: o.rate, Received: o.received, Admitted: o.admitted, Running: o.running,
		Coordinator: o.heard.any.from, RoundAge: now.Sub(o.heard.any.at),
	}
	if refused := o.refusing(release, now); refused != nil {
		dump.Refusing = refused.Detail
	}
	dump.Responses, dump.Failures = o.target.Tally.Total()
	return dump
}
