package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// evaluate updates the limit from the answers since the last call. Run calls it once per tick.
func (l *Limiter) evaluate(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureStarted(now)
	l.reported.Store(int64(l.reportedLimit(now)))
	l.latency.Store(int64(l.overall.value()))
	for class := range l.medians {
		l.classLatency[class].Store(int64(l.medians[class].value()))
	}
	if slots := l.configuredSlots(); slots != l.slots {
		l.slots = slots
		l.publish(SlotsChanged, now)
	}
	ratio, known := l.window.close()
	stalled := l.stalled(now)
	if cause := l.coldCause(ratio, known, stalled, now); cause != CauseNone {
		l.restart(cause, now)
		return
	}
	copy(l.recent[1:], l.recent[:])
	l.recent[0] = tally{}
	if !l.updateProbe(now) && known {
		l.adapt(ratio, now)
	}
	if l.warmLimit > 0 {
		l.warmUp(now)
	}
}

// stalled reports whether several requests of a class are waiting and the server has answered none of that class for
// longer than a cold server would take. A server that stops answering produces no slow answers, so the latency alone does
// not show it. Fewer requests than a window needs are ignored here too: a single request may be a long one.
func (l *Limiter) stalled(now time.Time) bool {
	for class, waiting := range l.waiting {
		typical := l.ClassLatency(ident.Class(class))
		if waiting < min(minSample, l.Current()) || waiting == 0 || typical == 0 {
			continue
		}
		if now.Sub(l.progress[class]) > max(tick, time.Duration(coldRatio*float64(typical))) {
			return true
		}
	}
	return false
}

// coldCause returns the reason to treat the server as cold, or CauseNone. During a warm-up high latency is no such reason,
// since the floors come from the first answers of the same warm-up.
func (l *Limiter) coldCause(ratio float64, known, stalled bool, now time.Time) Cause {
	if l.failing() && l.warmLimit != 1 {
		return Failing
	}
	slow := stalled || known && ratio >= coldRatio
	switch {
	case slow:
		if l.slowSince.IsZero() {
			l.slowSince = now.Add(-tick) // the first slow window began a tick or more earlier
		}
		l.slowSeen = now
	case known || now.Sub(l.slowSeen) > slowExpiry:
		l.slowSince = time.Time{}
	}
	if l.slowSince.IsZero() || l.warmLimit > 0 || now.Sub(l.slowSince) < coldAfter {
		return CauseNone
	}
	if stalled {
		return Stalled
	}
	return Slowed
}

func (l *Limiter) failing() bool {
	var sum tally
	for _, t := range l.recent {
		sum.failed += t.failed
		sum.normal += t.normal
	}
	return sum.failed >= coldFailures && float64(sum.failed) >= coldShare*float64(sum.failed+sum.normal)
}

// adapt adjusts the adaptive limit by the ratio of the latency to its floor.
func (l *Limiter) adapt(ratio float64, now time.Time) {
	switch {
	case ratio > highRatio:
		l.share = max(minShare, l.share*max(minDecreaseFactor, highRatio/ratio))
		l.publish(LatencyHigh, now)
	case ratio < normalRatio && l.share < 1:
		l.share = min(1, l.share*increaseFactor+increaseStep)
		l.publish(LatencyNormal, now)
	}
}

// warmUp doubles the warm-up limit after a step with enough normal answers. It halves the limit after a step in which at
// least half of the answers failed, the latency was far above its floor, or the server was slower than the service's other
// servers.
func (l *Limiter) warmUp(now time.Time) {
	if now.Sub(l.stepStart) < warmUpStep {
		return
	}
	total := l.stepNormal + l.stepFailed
	abnormal := l.stepFailed*2 >= total || l.window.last > highRatio || l.slowerThanBaseline()
	switch {
	case total == 0 || l.baseline > 0 && l.stepNormal > 0 && total+l.stepAbandoned < baselineAnswers:
		return
	case abnormal && l.warmLimit > 1:
		l.warmLimit /= 2
		l.startStep(now)
		l.publish(AbnormalAnswers, now)
	case abnormal || l.stepFailed*4 > total:
		l.startStep(now)
	case l.window.last > normalRatio || l.adaptiveLimit() < l.warmLimit:
		// The latency grew at this limit, or the adaptive limit kept the requests below it: neither shows that the server
		// can take more.
		l.startStep(now)
	case l.stepNormal >= l.warmLimit:
		l.warmLimit *= 2
		if l.warmLimit >= l.slots {
			l.warmLimit = 0
		}
		l.startStep(now)
		l.publish(NormalAnswers, now)
	}
}
