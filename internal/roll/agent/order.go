package agent

import (
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

const (
	// trialLease is how long a grant is valid. A daemon that was paused or partitioned may not use a grant from before: the release
	// may have been found to be bad since. It covers three lost rounds.
	trialLease = time.Second
	// leaseMargin is the part of the rollback time within which a target server that hears no rounds stops admitting in phase switching.
	// The rest is left for the verdict.
	leaseMargin = time.Second
	// burstTime is the time for whose rate an unused allowance accumulates: one round.
	burstTime = 250 * time.Millisecond
	// learnTime is how long an old server waits for the phase if its daemon has started with the order: the roll-out may be completed. A
	// round, the row or another daemon tells the phase within this time, unless the daemon is cut off from all of them.
	learnTime = 2 * time.Second
	// announceFor is how long an announcement before the switch lasts without another round.
	announceFor = 2 * time.Second
)

// order is the state of one order. mu guards all fields but the first four.
type order struct {
	agent     *Agent
	seen      time.Time // when this process learned of the order
	inherited bool      // the first configuration of this process had the order
	era       uint64    // of the configuration that this process learned the order from

	mu        sync.Mutex
	ordered   config.Rollout
	first     time.Time // when any daemon saw the order first, as far as known, by this daemon's clock
	known     bool      // phase is known
	stored    bool      // phase is in the table; a phase other than rolled-back is known only so
	phase     phase.Phase
	withdrawn bool
	banned    string // rejected target of an earlier order; empty for none

	// The grant. The limit never decreases, so that rounds may be lost, repeated or sent by two coordinators.
	limit     uint64
	rate      float64 // requests/s; 0: none now
	grantedAt time.Time
	granted   uint64 // sum over all daemons, as the coordinators tell it
	tokens    float64
	refilled  time.Time
	announced time.Time // when a round last told that the switch is near
	switched  time.Time // when phase switching was learned

	heard    heard
	rowLease time.Time // until when the last read of the row, which had this phase, extends the leases

	received, admitted, running uint64
	old, target                 tally.Recorder // responses of the server while it had another release, and the target release
	baseline                    *tally.Tally
	judged                      time.Time
}

func newOrder(a *Agent, ordered config.Rollout) *order {
	now := time.Now()
	return &order{agent: a, seen: now, first: now, ordered: ordered}
}

func (o *order) is(number uint64, target string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ordered.Order == number && o.ordered.Target == target && !o.withdrawn
}

func (o *order) renew(duration time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ordered.Duration = duration
}

// rejected returns the release that stays out of service under a later order with another target.
func (o *order) rejected(target string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.known && o.phase == phase.RolledBack && o.ordered.Target != target:
		return o.ordered.Target
	case o.banned != target:
		return o.banned
	}
	return ""
}

// setPhase replaces the phase. The caller has checked that the change is allowed.
func (o *order) setPhase(next phase.Phase, stored bool, reason string) {
	if o.known && o.phase == next {
		o.stored = o.stored || stored
		return
	}
	before := "unknown"
	if o.known {
		before = o.phase.String()
	}
	o.known, o.phase, o.stored, o.rowLease = true, next, stored, time.Time{}
	if next == phase.Switching {
		o.switched = time.Now()
	}
	o.agent.Log.Info("rollout-phase", "service", o.ordered.Service, "order", o.ordered.Order, "target", o.ordered.Target,
		"phase", next.String(), "before", before, "stored", stored, "elapsed", time.Since(o.first), "admitted", o.admitted, "reason", reason)
}

// learn applies a phase that a round, the table or another daemon told. A phase only moves forward, with one exception: a completed phase
// in the table replaces a roll-back that only daemons know, because the old servers are stopped by then.
func (o *order) learn(next phase.Phase, stored bool, reason string) {
	switch {
	case !o.known, o.phase == next:
	case stored && next == phase.Completed && o.phase == phase.RolledBack && !o.stored:
	case o.phase.Final() || next < o.phase:
		return
	}
	o.setPhase(next, stored, reason)
}

// refusing returns the reason why a server of the release gets no new requests, or nil.
func (o *order) refusing(release string, now time.Time) *code.Error {
	switch {
	case o.known && o.phase == phase.Completed && (release == "" || release == o.ordered.Target):
		return nil
	case release == "":
		return o.refusal("the release of the server is not known yet")
	case release == o.banned:
		return o.refusal("release %s was rolled back", release)
	case release != o.ordered.Target:
		return o.refusingOld(release, now)
	case !o.known:
		return o.refusal("the phase of the roll-out of %s is not known yet", release)
	}
	return o.refusingTarget(now)
}

func (o *order) refusingOld(release string, now time.Time) *code.Error {
	if !o.known {
		if o.inherited && now.Sub(o.seen) < learnTime {
			return o.refusal("the phase of the roll-out of %s is not known yet", o.ordered.Target)
		}
		return nil
	}
	switch o.phase {
	case phase.Completed:
		return o.refusal("release %s is replaced by %s", release, o.ordered.Target)
	case phase.Switching, phase.Trial:
		if o.phase == phase.Switching && now.Sub(o.switched) >= o.handover() {
			return o.refusal("release %s is replaced by %s", release, o.ordered.Target)
		}
		if !o.heard.leased.IsZero() && !o.leased(OldLease, now) {
			return o.refusal("no round of the roll-out of %s was received for %s", o.ordered.Target, now.Sub(o.heard.leased))
		}
	case phase.RolledBack:
	}
	return nil
}

// The time from the switch until old servers refuse requests, as a part of the duration and at most. The target servers have had few
// requests and admit more step by step, so that they could not carry the whole load at once.
const (
	handoverPart = 0.1
	maxHandover  = 2 * time.Second
)

func (o *order) handover() time.Duration {
	return min(time.Duration(handoverPart*float64(o.ordered.Duration)), maxHandover)
}

// closed reports whether a server of the release takes no new requests for the rest of the phase.
func (o *order) closed(release string, now time.Time) bool {
	return o.known && o.phase >= phase.Switching && release != o.ordered.Target && now.Sub(o.switched) >= o.handover() &&
		o.refusing(release, now) != nil
}

// leased reports whether a round was received within the time, or the phase was read from the table recently.
func (o *order) leased(within time.Duration, now time.Time) bool {
	return now.Sub(o.heard.leased) <= within || now.Before(o.rowLease)
}

func (o *order) refusingTarget(now time.Time) *code.Error {
	target := o.ordered.Target
	switch o.phase {
	case phase.RolledBack:
		return o.refusal("release %s was rolled back", target)
	case phase.Switching:
		if !o.leased(o.agent.rollbackTime()-leaseMargin, now) {
			return o.refusal("no round of the roll-out of %s was received for %s", target, now.Sub(o.heard.leased))
		}
	case phase.Trial:
		o.refill(now)
		switch {
		case !o.inTrial(now):
			return o.refusal("release %s is not in trial on this server", target)
		case o.admitted >= o.limit:
			return o.refusal("the server has admitted its %d requests of the trial of release %s", o.limit, target)
		case o.tokens < 1:
			return o.refusal("the trial of release %s is limited to %.1f requests/s on this server", target, o.rate)
		}
	case phase.Completed:
	}
	return nil
}

func (o *order) refusal(format string, args ...any) *code.Error {
	return code.NotRunf(code.OutOfService, format, args...)
}

func (o *order) inTrial(now time.Time) bool {
	return o.rate > 0 && now.Sub(o.grantedAt) <= trialLease
}

func (o *order) refill(now time.Time) {
	burst := max(1, o.rate*burstTime.Seconds())
	o.tokens = min(burst, o.tokens+o.rate*now.Sub(o.refilled).Seconds())
	o.refilled = now
}

func (o *order) outOfService(release string, now time.Time) bool {
	if release == o.ordered.Target && o.known && o.phase == phase.Trial {
		return !o.inTrial(now) && now.Sub(o.announced) > announceFor
	}
	return o.refusing(release, now) != nil
}
