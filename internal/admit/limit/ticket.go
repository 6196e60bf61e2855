package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Ticket follows one request from Begin to End. The limiter's lock guards it.
type Ticket struct {
	class   ident.Class
	whole   bool      // the server got all of it at once
	since   time.Time // when the server had the whole request; for a whole one at first when it began
	waiting bool      // between Written and End
	ended   bool
	step    uint64
	regime  uint64
	running int  // requests at the server when this one began, with it
	steady  bool // the server's instance worked at its usual pace then
}

// Begin notes that a request goes to the server, as one of so many that run. whole tells that no further part of its body
// follows.
func (l *Limiter) Begin(t *Ticket, class ident.Class, running int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.start(now)
	*t = Ticket{class: class, whole: whole, since: now, step: l.step, regime: l.regime, running: running, steady: l.steady()}
}

// Written notes that the server has the whole request: its own time begins. Until then a request may take as long as its
// caller takes to send it.
func (l *Limiter) Written(t *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.ended || t.waiting {
		return
	}
	t.whole = true
	t.since = time.Now()
	t.waiting = true
	if l.waiting[t.class] == 0 {
		l.progress[t.class] = t.since
	}
	l.waiting[t.class]++
}

// End notes the server's answer, or the end of a request without one. A Late request passed its deadline unanswered: its
// time counts as a slow answer, and it is no evidence of a normal one. Nor is an answer to a request that began under an
// earlier warm-up limit, and the latency of one that began before the present warm-up says nothing about it.
func (l *Limiter) End(t *Ticket, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	now := time.Now()
	if t.waiting {
		l.waiting[t.class]--
	}
	switch result {
	case Ignored:
		if spent := now.Sub(t.since); t.step == l.step && l.usual > 0 && spent > l.usual {
			l.warmCut++
			l.warmSpent += spent
		}
		return
	case Failed:
		l.failed()
	case Late:
		l.sample(t, now)
	case Normal:
		if t.steady && t.whole && l.steady() {
			l.knee.add(t.class, now.Sub(t.since), t.running, l.Reporter.Slots())
		}
		l.recent[0].normal++
		if t.step == l.step {
			l.warmOK++
			l.warmSpent += now.Sub(t.since)
		}
		l.learn(t, now)
	}
	l.progress[t.class] = now
}

// learn takes the latency of a normal answer as evidence for the floor.
func (l *Limiter) learn(t *Ticket, now time.Time) {
	latency := now.Sub(t.since)
	switch {
	case !l.sample(t, now):
	case l.probe.running():
		l.probe.add(t, latency)
	default:
		l.floors[t.class].add(latency, now)
	}
}

// Truncated notes that the response of a request that has ended broke off.
func (l *Limiter) Truncated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed()
}

func (l *Limiter) failed() {
	l.recent[0].failed++
	l.warmBad++
}

// sample notes the latency, and reports whether it is one of the present warm-up or after it.
func (l *Limiter) sample(t *Ticket, now time.Time) bool {
	if !t.whole {
		return false // the time holds that of the caller's body
	}
	latency := now.Sub(t.since)
	l.medians[t.class].add(latency)
	l.overall.add(latency)
	if t.regime != l.regime {
		return false
	}
	l.window.add(latency, l.floors[t.class].value())
	return true
}
