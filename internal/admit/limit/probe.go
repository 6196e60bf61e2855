package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Parameters of the probe. Like the min-RTT probe of BBR it lowers the limit for a short time to see the latency without
// a queue inside the server; it takes at most one part in probeRest+1 of the time, and only while the latency is above its floor.
const (
	// probeEvery is the least time between two probes, and how long the floor must have been without a new mean. The
	// rest after a probe is also at least probeRest times its length.
	probeEvery = 10 * time.Second
	probeRest  = 20
	// probeShare is the part of the limit that stays. The limit is at most highRatio times what the server can run.
	probeShare = 1 / highRatio
	// probeAnswers end a probe, and after probeLeast firstAnswers do. With fewer than these of a class at its end it tells
	// nothing about the class.
	probeAnswers = 64
	probeLeast   = time.Second
	probeMost    = 3 * time.Second
	// raisedRatio is the mean over the floor that makes a probe one of a slower server, and probeMeans is how many of
	// them in a row raise the floor: one may have met a short slow time.
	raisedRatio = 1.25
	probeMeans  = 3
)

// floorProbe is a short time at a lower limit. Its zero value is no probe.
type floorProbe struct {
	begun   time.Time
	from    time.Time // requests that begin from then on count: earlier ones met the queue of the higher limit
	answers [ident.Classes]int
	spent   [ident.Classes]time.Duration
	cause   Cause // of the limit before
}

func (p *floorProbe) running() bool {
	return !p.begun.IsZero()
}

func (p *floorProbe) add(t *Ticket, latency time.Duration) {
	if t.since.Before(p.from) {
		return
	}
	p.answers[t.class]++
	p.spent[t.class] += max(latency, leastFloor)
}

func (p *floorProbe) done(now time.Time) bool {
	total := 0
	for _, n := range p.answers {
		total += n
	}
	lasted := now.Sub(p.from)
	return total >= probeAnswers || total >= firstAnswers && lasted >= probeLeast || lasted >= probeMost
}

// probeFloor begins a probe when a class has had no new floor for some time although it is answered, and ends the probe
// that runs. It reports whether one runs.
func (l *Limiter) probeFloor(now time.Time) bool {
	if !l.probe.running() {
		if l.warm > 0 || l.adaptive() == 1 || now.Before(l.probeNext) || !l.floorStale(now) {
			return false
		}
		l.probe = floorProbe{begun: now, from: now.Add(min(l.Latency(), probeMost)), cause: l.cause}
		l.publish(FloorProbe, now)
		return true
	}
	if !l.probe.done(now) {
		return true
	}
	ended := l.probe
	l.probe = floorProbe{}
	l.probeNext = now.Add(max(probeEvery, probeRest*now.Sub(ended.begun)))
	l.window = window{last: l.window.last}
	for class := range l.floors {
		f := &l.floors[class]
		before := f.least
		if ended.answers[class] >= firstAnswers {
			f.learnProbe(ended.spent[class]/time.Duration(ended.answers[class]), now)
		}
		f.skipped = false // a class without enough answers asks for the next probe by its next mean
		if before > 0 && float64(f.least) > raisedRatio*float64(before) {
			l.Log.Info("latency-floor-raised", "class", ident.Class(class).String(), "floor", f.least, "before", before)
		}
	}
	l.publish(ended.cause, now)
	return false
}

func (l *Limiter) floorStale(now time.Time) bool {
	for class := range l.floors {
		if f := &l.floors[class]; f.skipped && now.Sub(f.learned) >= probeEvery {
			return true
		}
	}
	return false
}
