package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Ticket tracks one request from Begin to End. The limiter's lock guards it.
type Ticket struct {
	class      ident.Class
	sent       bool      // sent completely, at once or by Written
	start      time.Time // when the server was sent the end of the request; until Written, when the request began
	waiting    bool      // between Written and End
	ended      bool
	step       uint64
	warmUps    uint64
	running    int  // requests at the server when this one began, itself included
	normalPace bool // the server's instance ran at its normal pace when the request began
}

// Begin records that a request is sent to the server. running is the number of requests at the server, this one included;
// sent means that the request is sent at once and no further part of its body follows.
func (l *Limiter) Begin(t *Ticket, class ident.Class, running int, sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.ensureStarted(now)
	l.foreign.inFlight++
	*t = Ticket{class: class, sent: sent, start: now, step: l.step, warmUps: l.warmUps, running: running, normalPace: l.atNormalPace()}
}

// Written records that the request has been sent completely. The server's latency is measured from here: before, the request
// takes as long as its caller takes to send it.
func (l *Limiter) Written(t *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.ended || t.waiting {
		return
	}
	t.sent = true
	t.start = time.Now()
	t.waiting = true
	if l.waiting[t.class] == 0 {
		l.progress[t.class] = t.start
	}
	l.waiting[t.class]++
}

// End records the server's answer, or the end of a request without one. A Late request passed its deadline without an
// answer: its time counts as the latency of a slow answer, and it is no evidence that the server works normally. Neither is
// an answer to a request that began in an earlier warm-up step. The latency of a request that began before the present
// warm-up is not compared with the floors.
func (l *Limiter) End(t *Ticket, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	l.foreign.inFlight--
	now := time.Now()
	if t.waiting {
		l.waiting[t.class]--
	}
	switch result {
	case Ignored:
		if spent := now.Sub(t.start); t.step == l.step && l.baseline > 0 && spent > l.baseline {
			l.stepAbandoned++
			l.stepLatency += spent
		}
		return
	case Failed:
		l.countFailure()
	case Late:
		l.recordLatency(t, now)
	case Normal:
		if t.normalPace && t.sent && l.atNormalPace() {
			l.saturation.add(t.class, now.Sub(t.start), t.running, l.Reporter.Slots())
		}
		l.recent[0].normal++
		if t.step == l.step {
			l.stepNormal++
			l.stepLatency += now.Sub(t.start)
		}
		l.learn(t, now)
	}
	l.progress[t.class] = now
}

// learn adds the latency of a normal answer to the floor of its class, or to the probe that is running.
func (l *Limiter) learn(t *Ticket, now time.Time) {
	latency := now.Sub(t.start)
	switch {
	case !l.recordLatency(t, now):
	case l.probe.running():
		l.probe.add(t, latency)
	default:
		l.floors[t.class].add(latency, now)
	}
}

// Truncated records that the response body of a request broke off after End.
func (l *Limiter) Truncated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countFailure()
}

func (l *Limiter) countFailure() {
	l.recent[0].failed++
	l.stepFailed++
}

// recordLatency records the latency, and reports whether the request began in or after the latest warm-up, so that it may
// count for a floor.
func (l *Limiter) recordLatency(t *Ticket, now time.Time) bool {
	if !t.sent {
		return false // the time includes the caller's upload
	}
	latency := now.Sub(t.start)
	l.medians[t.class].add(latency)
	l.overall.add(latency)
	if t.warmUps != l.warmUps {
		return false
	}
	l.window.add(latency, l.floors[t.class].value())
	return true
}
