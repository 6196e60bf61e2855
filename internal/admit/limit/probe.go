package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Parameters of the floor probe. Like the min-RTT probe of BBR it lowers the limit for a short time to measure the latency
// without a queue inside the server. It runs only while the latency is above its floor, and for at most 1/(probeRestFactor+1)
// of the time.
const (
	// probeInterval is the minimum time from the end of a probe to the next one, and from the last new mean of the floor to a
	// probe. The pause after a probe is also at least probeRestFactor times the length of the probe.
	probeInterval   = 10 * time.Second
	probeRestFactor = 20
	// probeShare is the share of the limit that remains during a probe. Latency keeps the limit to at most highRatio times
	// the server's capacity, so this share leaves no queue.
	probeShare = 1 / highRatio
	// A probe ends after probeAnswers answers, after minProbeTime with initialAnswers, and after maxProbeTime in any case. Its
	// mean for a class is used only when it has at least initialAnswers of that class.
	probeAnswers = 64
	minProbeTime = time.Second
	maxProbeTime = 3 * time.Second
	// raisedRatio is the ratio of a probe's mean to the floor above which the probe shows a slower server. It takes
	// probesToRaise such probes in a row to raise the floor, since one may coincide with a short slowdown.
	raisedRatio   = 1.25
	probesToRaise = 3
)

// floorProbe measures the latency for a short time at a lower limit. The zero value means that no probe runs.
type floorProbe struct {
	started       time.Time
	countFrom     time.Time // earlier requests are not counted: they may have waited in the queue of the higher limit
	answers       [ident.Classes]int
	total         [ident.Classes]time.Duration
	previousCause Cause // cause of the limit before the probe
}

func (p *floorProbe) running() bool {
	return !p.started.IsZero()
}

func (p *floorProbe) add(t *Ticket, latency time.Duration) {
	if t.start.Before(p.countFrom) {
		return
	}
	p.answers[t.class]++
	p.total[t.class] += max(latency, minFloor)
}

func (p *floorProbe) done(now time.Time) bool {
	total := 0
	for _, n := range p.answers {
		total += n
	}
	elapsed := now.Sub(p.countFrom)
	return total >= probeAnswers || total >= initialAnswers && elapsed >= minProbeTime || elapsed >= maxProbeTime
}

// updateProbe starts a probe when the means of a class have been skipped for probeInterval, and ends a probe that is done.
// It reports whether a probe is running.
func (l *Limiter) updateProbe(now time.Time) bool {
	if !l.probe.running() {
		if l.warmLimit > 0 || l.adaptiveLimit() == 1 || now.Before(l.nextProbe) || !l.floorStale(now) {
			return false
		}
		l.probe = floorProbe{started: now, countFrom: now.Add(min(l.Latency(), maxProbeTime)), previousCause: l.cause}
		l.publish(FloorProbe, now)
		return true
	}
	if !l.probe.done(now) {
		return true
	}
	ended := l.probe
	l.probe = floorProbe{}
	l.nextProbe = now.Add(max(probeInterval, probeRestFactor*now.Sub(ended.started)))
	l.window = window{last: l.window.last}
	for class := range l.floors {
		f := &l.floors[class]
		before := f.estimate
		if ended.answers[class] >= initialAnswers {
			f.learnProbe(ended.total[class]/time.Duration(ended.answers[class]), now)
		}
		f.skipped = false // in a class without enough answers the next skipped mean requests a probe
		if before > 0 && float64(f.estimate) > raisedRatio*float64(before) {
			l.Log.Info("latency-floor-raised", "class", ident.Class(class).String(), "floor", f.estimate, "before", before)
		}
	}
	l.publish(ended.previousCause, now)
	return false
}

func (l *Limiter) floorStale(now time.Time) bool {
	for class := range l.floors {
		if f := &l.floors[class]; f.skipped && now.Sub(f.learned) >= probeInterval {
			return true
		}
	}
	return false
}
