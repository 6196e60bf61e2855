package coord

import (
	"net/netip"
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/roll/judge"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/roll/stage"
	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

// reachableFor is how long a daemon counts as reachable after its last reply: three rounds may be lost.
const reachableFor = time.Second

// A roll-out goes on without a daemon that has not replied for silentFor, when the phase has been switching for silentSwitched: its leases
// by rounds and by reads of the row have ended then, and requests end within the rest.
const (
	silentFor      = agent.OldLease + 3*time.Second
	silentSwitched = agent.RowLease + 2*time.Second
)

// input collects what the plan needs from the evidence.
func (s *session) input(view agent.View, members []member.Record, now time.Time) stage.Input {
	in := stage.Input{
		Order: s.ordered.Order, Elapsed: view.State.Elapsed, Duration: view.Ordered.Duration, Phase: view.State.Phase,
		Share: s.c.Share, Slack: s.c.Slack,
	}
	if s.phaseAt.IsZero() || s.phase != view.State.Phase {
		s.phase, s.phaseAt = view.State.Phase, now
	}
	in.Since = now.Sub(s.phaseAt)
	present := make(map[lifetime]bool, len(members))
	for _, address := range s.participants(members) {
		key := s.current[address]
		if s.isSilent(key, now) || s.hasNoServer(key) {
			continue
		}
		present[key] = true
		in.Daemons = append(in.Daemons, s.daemonInput(address, s.daemons[key], now))
	}
	olds := make(map[netip.AddrPort]*tally.Tally)
	var old, target tally.Tally
	received, limits := uint64(0), uint64(0)
	for key, e := range s.daemons {
		if !e.aware {
			continue
		}
		if e.last.Old != nil {
			old.Merge(e.last.Old)
			if olds[key.address] == nil {
				olds[key.address] = &tally.Tally{}
			}
			olds[key.address].Merge(e.last.Old)
		}
		target.Merge(e.last.New)
		in.Elapsed = max(in.Elapsed, e.last.State.Elapsed)
		received += e.last.Received
		limits += max(e.limit, e.last.Limit)
		if !present[key] {
			in.Received += e.last.Received
			in.Admitted += max(e.last.Admitted, e.last.Limit, e.limit)
		}
	}
	// Limits that an earlier coordinator granted to daemons that this one has not heard count as used.
	if s.granted > limits {
		in.Admitted += s.granted - limits
	}
	s.baseline = &old
	in.Finding = s.pairing.Compare(sources(olds), &target)
	in.Rate = s.rates.add(now, received)
	return in
}

func sources(olds map[netip.AddrPort]*tally.Tally) []judge.Source {
	list := make([]judge.Source, 0, len(olds))
	for address, t := range olds {
		list = append(list, judge.Source{Address: address, Tally: t})
	}
	return list
}

// participants returns the members, and the gone ones whose server had an old release: it may still admit requests, as the last part of
// the fleet that knows it does.
func (s *session) participants(members []member.Record) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(members))
	for _, r := range members {
		addresses = append(addresses, r.Address)
	}
	for address, key := range s.current {
		e := s.daemons[key]
		if !slices.Contains(addresses, address) && e.last.Release != s.ordered.Target && e.last.Release != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// isSilent reports whether a daemon has not replied for silentFor.
func (s *session) isSilent(key lifetime, now time.Time) bool {
	last := s.began
	if e := s.daemons[key]; e != nil && e.replied.After(last) {
		last = e.replied
	}
	return !s.minority && now.Sub(last) > silentFor && s.phase != phase.Trial && now.Sub(s.phaseAt) > silentSwitched
}

// hasNoServer reports whether a daemon has just started and knows of no server yet, so that it admits nothing.
func (s *session) hasNoServer(key lifetime) bool {
	e := s.daemons[key]
	return e != nil && e.last.Release == "" && !e.last.Ready && e.last.Running == 0
}

// daemonInput describes one daemon. One without evidence counts as an old server that may be running requests.
func (s *session) daemonInput(address netip.AddrPort, e *evidence, now time.Time) stage.Daemon {
	if e == nil {
		return stage.Daemon{Address: address}
	}
	d := stage.Daemon{
		Address: address, Target: e.last.Release == s.ordered.Target, Reachable: now.Sub(e.replied) <= reachableFor,
		Ready: e.last.Ready, Slots: e.last.Slots, Limit: e.limit,
	}
	if e.aware {
		d.Known = e.last.State.Phase
		if d.Known == phase.Switching && !d.Target && !e.last.Closed {
			d.Known = phase.Trial // it still takes requests, as in the trial
		}
		d.Received, d.Admitted, d.Running = e.last.Received, e.last.Admitted, e.last.Running
		d.Limit = max(e.limit, e.last.Limit)
	}
	return d
}

// countGrants adds the increases of the plan to the sum of all limits.
func (s *session) countGrants(in stage.Input, plan stage.Plan) {
	limits := make(map[netip.AddrPort]uint64, len(in.Daemons))
	sum := uint64(0)
	for _, e := range s.daemons {
		if e.aware {
			sum += max(e.limit, e.last.Limit)
		}
	}
	s.granted = max(s.granted, sum)
	for i := range in.Daemons {
		limits[in.Daemons[i].Address] = in.Daemons[i].Limit
	}
	for _, grant := range plan.Grants {
		if held := limits[grant.Address]; grant.Limit != stage.Unlimited && grant.Limit > held {
			s.granted += grant.Limit - held
			s.daemons[s.current[grant.Address]].limit = grant.Limit
		}
	}
}

// reportVerdict logs a changed verdict with the figures that determined it.
func (s *session) reportVerdict(f judge.Finding) {
	if f.Verdict == s.verdict {
		return
	}
	s.verdict = f.Verdict
	s.c.Log.Info("rollout-verdict", agent.FindingFields(s.ordered, "all", f)...)
}

func (s *session) publish(in stage.Input, plan stage.Plan) {
	sums := Dump{
		Reason: plan.Reason.String(), Verdict: in.Finding.Verdict.String(), Daemons: len(in.Daemons),
		Received: in.Received, Admitted: in.Admitted,
	}
	for i := range in.Daemons {
		d := &in.Daemons[i]
		sums.Received += d.Received
		sums.Admitted += d.Admitted
		if d.Reachable {
			sums.Reached++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sums.Rank = s.summary.Rank
	s.summary = sums
}

func (s *session) setRank(rank int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.summary.Rank = rank
}

// describe adds the state of the session to a dump.
func (s *session) describe(dump *Dump) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ordered := s.ordered
	dump.Ordered, dump.Rank, dump.Reason, dump.Verdict = &ordered, s.summary.Rank, s.summary.Reason, s.summary.Verdict
	dump.Daemons, dump.Reached = s.summary.Daemons, s.summary.Reached
	dump.Received, dump.Admitted = s.summary.Received, s.summary.Admitted
}

// rateWindow is the time over which the rate of requests is measured.
const rateWindow = 2 * time.Second

// rates measures the rate of a counter over the last rateWindow.
type rates struct {
	samples []rateSample
}

type rateSample struct {
	at    time.Time
	count uint64
}

// add returns the rate, or 0 while it is unknown. A counter that falls, because a daemon has left the evidence, starts anew.
func (r *rates) add(now time.Time, count uint64) float64 {
	if n := len(r.samples); n > 0 && r.samples[n-1].count > count {
		r.samples = r.samples[:0]
	}
	r.samples = append(r.samples, rateSample{now, count})
	for len(r.samples) > 2 && now.Sub(r.samples[1].at) >= rateWindow {
		r.samples = r.samples[1:]
	}
	first := r.samples[0]
	if elapsed := now.Sub(first.at); elapsed > roundInterval {
		return float64(count-first.count) / elapsed.Seconds()
	}
	return 0
}
