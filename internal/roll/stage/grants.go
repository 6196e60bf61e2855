package stage

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/roll/judge"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
)

// Parameters of the exposure during the trial.
const (
	// usualPart is the part of the allowed exposure that is granted, and latePart that from lateFrom of the duration on, if the release is
	// not known to be good by then. The rest covers limits that two coordinators grant at the same time.
	usualPart = 0.5
	latePart  = 0.85
	lateFrom  = 0.5
	// firstSlack is the part of the granted slack that is available from the start; the other part follows with the time, for faults that
	// appear late.
	firstSlack = 0.5
	// overload is the load of a server in trial, relative to that of full service. A server that bears it can be expected to bear its part
	// of the traffic at the switch, when some target servers may be missing.
	overload = 1.5
	// maxActive is the number of servers in trial at a time.
	maxActive = 2
	// ahead is for how long a limit lasts at the granted rate: two rounds of 250 ms may be lost.
	ahead = 750 * time.Millisecond
	// burst is the least time for which a server gets its rate, so that a fault that appears only under load shows itself. Where that takes
	// more requests than accrue in maxSaving, it gets these.
	burst     = time.Second
	maxSaving = 4 * time.Second
	// A turn of the servers in trial is a third of the trial, within these bounds.
	minTurn = 2 * time.Second
	maxTurn = 5 * time.Second
)

// grants returns the limits of all target daemons.
func (in *Input) grants(wanted phase.Phase) []Grant {
	var grants []Grant
	var targets []*Daemon
	for i := range in.Daemons {
		if in.Daemons[i].Target {
			targets = append(targets, &in.Daemons[i])
		}
	}
	slices.SortFunc(targets, func(a, b *Daemon) int { return a.Address.Compare(b.Address) })
	for _, d := range targets {
		grants = append(grants, Grant{Address: d.Address, Limit: max(d.Limit, d.Admitted)})
	}
	switch {
	case in.Phase == phase.RolledBack || wanted == phase.RolledBack:
	case in.Phase == phase.Trial: // also if switching is wanted: the store may be unavailable
		in.grantTrial(targets, grants)
	default:
		for i := range grants {
			grants[i].Limit = Unlimited
		}
	}
	return grants
}

// grantTrial raises the limits of the servers in trial.
func (in *Input) grantTrial(targets []*Daemon, grants []Grant) {
	received, committed := in.Received, in.Admitted
	for i := range in.Daemons {
		received += in.Daemons[i].Received
	}
	for i := range grants {
		committed += grants[i].Limit
	}
	allowance, accrual := in.allowance(received)
	remaining := max(0, allowance-float64(committed))
	active := in.active(targets)
	if len(active) == 0 {
		return
	}
	rate := overload * in.rate(received) / float64(len(targets))
	// With the rate of one server above what accrues, two servers would share it and neither would get its full load.
	if len(active) > 1 && 2*rate > max(accrual, remaining/in.turn().Seconds()) {
		active = active[:1]
	}
	for _, i := range active {
		g, d := &grants[i], targets[i]
		g.Rate = rate
		unused := float64(g.Limit - min(g.Limit, d.Admitted))
		wanted := math.Ceil(rate*ahead.Seconds()) - unused
		if wanted <= 0 {
			continue
		}
		least := 1.0
		if unused < rate*burst.Seconds()/4 { // it has nearly used up its burst: the next one begins with enough requests
			least = max(1, min(rate*burst.Seconds(), accrual*maxSaving.Seconds()))
		}
		if remaining < least {
			continue
		}
		add := min(math.Floor(remaining), wanted)
		g.Limit += uint64(add)
		remaining -= add
	}
}

// allowance returns how many requests all target servers together may have admitted, and by how many that grows in a second.
func (in *Input) allowance(received uint64) (allowance, accrual float64) {
	part := usualPart
	if in.part() >= lateFrom && in.Finding.Verdict != judge.Good {
		part = latePart
	}
	slack := usualPart * (firstSlack + (1-firstSlack)*min(1, in.part()/goodTrial))
	accrual = part * in.Share * in.rate(received)
	if in.part() < goodTrial {
		accrual += usualPart * (1 - firstSlack) * float64(in.Slack) / (goodTrial * in.Duration.Seconds())
	}
	return part*in.Share*float64(received) + slack*float64(in.Slack), accrual
}

// rate returns the requests per second that the service receives.
func (in *Input) rate(received uint64) float64 {
	if in.Rate > 0 {
		return in.Rate
	}
	return float64(received) / max(in.Elapsed, time.Second).Seconds()
}

func (in *Input) turn() time.Duration {
	return min(maxTurn, max(minTurn, time.Duration(goodTrial*float64(in.Duration))/3))
}

// active returns the indices of the servers in trial, the first one being that of the current turn. The order of the servers depends on
// the order's number, so that the same ones are not always the first.
func (in *Input) active(targets []*Daemon) []int {
	var ready []int
	for i, d := range targets {
		if d.Ready && d.Reachable {
			ready = append(ready, i)
		}
	}
	slices.SortStableFunc(ready, func(a, b int) int { return cmp.Compare(in.rank(targets[a]), in.rank(targets[b])) })
	first := int(in.Elapsed / in.turn())
	var active []int
	for k := range min(maxActive, len(ready)) {
		active = append(active, ready[(first+k)%len(ready)])
	}
	return active
}

// rank returns a pseudo-random number for the daemon and the order.
func (in *Input) rank(d *Daemon) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	hash := uint64(offset)
	bytes, _ := d.Address.MarshalBinary()
	for _, b := range bytes {
		hash = (hash ^ uint64(b)) * prime
	}
	return (hash ^ in.Order) * prime
}
