package gate

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

const (
	// slowTempo is the ratio of the pace to its floor from which the instance counts as slowed for the moment.
	slowTempo = 1.5
	// tempoPeriod is half of the longest time over which the floor is taken: that of the present period and the one before. An instance that
	// stays slow is not at a slow moment.
	tempoPeriod = 500 * time.Millisecond
)

// tempo follows the pace that the instance of a server reports. The pace changes several times a second, and a run takes as long as the
// pace at its start says. Gate.mu guards it.
type tempo struct {
	pace        int // last one, in percent; 0 before the first
	low, before int // lowest of the present period and of the one before; 0 if none
	periodStart time.Time
	slowSince   time.Time // zero unless the instance is slowed for the moment
	slowEnded   time.Time // when it last ceased to be
}

func (t *tempo) observe(pace int, now time.Time) {
	if pace <= 0 {
		return
	}
	if now.Sub(t.periodStart) >= tempoPeriod {
		t.before, t.low, t.periodStart = t.low, 0, now
	}
	t.pace = pace
	if t.low == 0 || pace < t.low {
		t.low = pace
	}
	switch slow := float64(pace) >= slowTempo*float64(t.floor()); {
	case slow && t.slowSince.IsZero():
		t.slowSince = now
	case !slow && !t.slowSince.IsZero():
		t.slowSince, t.slowEnded = time.Time{}, now
	}
}

func (t *tempo) floor() int {
	if t.before == 0 {
		return t.low
	}
	return min(t.low, t.before)
}

// excess returns how much longer a run takes that starts now rather than after the slow moment, or 0. usual is its time at the floor.
func (t *tempo) excess(usual time.Duration) time.Duration {
	if t.slowSince.IsZero() {
		return 0
	}
	return usual * time.Duration(t.pace-t.floor()) / time.Duration(t.floor())
}

// holdEnd returns until when calls of the class whose body is buffered are not started, or the zero time. Their router selected the server
// before the transfer, by a pace that is no longer true, and the body would have to be sent again to a faster one. A slow moment is
// waited for no longer than the excess, so that at worst a call takes twice the excess.
func (g *Gate) holdEnd(class ident.Class) time.Time {
	excess := g.tempo.excess(g.Limit.ClassLatency(class))
	if excess <= 0 {
		return time.Time{}
	}
	return g.tempo.slowSince.Add(excess)
}

// holds reports whether a call of the class, buffered or not, waits for a faster moment. One whose deadline is too near to run after the
// longest wait does not.
func (g *Gate) holds(class ident.Class, buffered bool, deadline, now time.Time) bool {
	if !buffered {
		return false
	}
	end := g.holdEnd(class)
	if !now.Before(end) {
		return false
	}
	slowRun := g.Limit.ClassLatency(class) + g.tempo.excess(g.Limit.ClassLatency(class))
	return end.Add(slowRun).Before(deadline)
}

// holdsFirst reports whether the first queued call of the class waits for a faster moment.
func (g *Gate) holdsFirst(class ident.Class, now time.Time) bool {
	waiting := g.queue.waiting[class]
	return len(waiting) > 0 && g.holds(class, waiting[0].buffered, waiting[0].deadline, now)
}

// ObservePace records a pace that the server's instance reports. When a slow moment ends, the calls that waited for that get their slots.
func (g *Gate) ObservePace(pace int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	slow := !g.tempo.slowSince.IsZero()
	g.tempo.observe(pace, time.Now())
	if slow && g.tempo.slowSince.IsZero() {
		g.dispatchLocked()
	}
}

// pollHeld asks for the pace while a call waits for a faster moment, because no response may tell it meanwhile.
func (g *Gate) pollHeld(now time.Time) {
	if g.PollHealth == nil {
		return
	}
	for class := range g.queue.waiting {
		if g.holdsFirst(ident.Class(class), now) {
			g.PollHealth()
			return
		}
	}
}

// extend sets a later end of the wait of a queued call that waits for a faster moment, or did so until recently. It reports false when
// the wait is over.
func (g *Gate) extend(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.request != nil || !w.buffered {
		return false
	}
	now, until := time.Now(), g.tempo.slowEnded.Add(maxQueueWaitBuffered)
	if g.holds(w.class, w.buffered, w.deadline, now) {
		until = g.holdEnd(w.class)
	}
	if w.deadline.Before(until) {
		until = w.deadline
	}
	if !now.Before(until) {
		return false
	}
	w.until = until
	return true
}
