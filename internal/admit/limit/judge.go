package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// evaluate judges the answers since the last call. Run calls it once per tick.
func (l *Limiter) evaluate(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(now)
	l.fixed.Store(int64(l.told(now)))
	l.latency.Store(int64(l.overall.value()))
	for class := range l.medians {
		l.typical[class].Store(int64(l.medians[class].value()))
	}
	if slots := l.configured(); slots != l.slots {
		l.slots = slots
		l.publish(SlotsChanged, now)
	}
	ratio, known := l.window.close()
	stalled := l.stalled(now)
	if cause := l.cold(ratio, known, stalled, now); cause != CauseNone {
		l.restart(cause, now)
		return
	}
	copy(l.recent[1:], l.recent[:])
	l.recent[0] = tally{}
	if !l.probeFloor(now) && known {
		l.adapt(ratio, now)
	}
	if l.warm > 0 {
		l.warmUp(now)
	}
}

// stalled reports whether several requests of a class wait and the server has answered none of them for longer than a
// cold server would take. Without it a server that stops to answer would show no slow answer. As few as make no window of
// answers are no evidence here either: a single request may take long by its nature.
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

// cold returns why the server must be taken to be cold, or CauseNone. A server in warm-up is not judged again by its
// latency, since its floors are its own first answers.
func (l *Limiter) cold(ratio float64, known, stalled bool, now time.Time) Cause {
	if l.failing() && l.warm != 1 {
		return Failing
	}
	slow := stalled || known && ratio >= coldRatio
	switch {
	case slow:
		if l.slowFrom.IsZero() {
			l.slowFrom = now.Add(-tick) // the window that showed it began earlier
		}
		l.slowLast = now
	case known || now.Sub(l.slowLast) > slowFor:
		l.slowFrom = time.Time{}
	}
	if l.slowFrom.IsZero() || l.warm > 0 || now.Sub(l.slowFrom) < coldAfter {
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

// adapt moves the adaptive limit by the latency over its floor.
func (l *Limiter) adapt(ratio float64, now time.Time) {
	switch {
	case ratio > highRatio:
		l.share = max(minShare, l.share*max(maxFall, highRatio/ratio))
		l.publish(LatencyHigh, now)
	case ratio < normalRatio && l.share < 1:
		l.share = min(1, l.share*riseBy+riseAdd)
		l.publish(LatencyNormal, now)
	}
}

// warmUp doubles the limit after a step with enough normal answers, and halves it after one with many failures or with
// latency that grew under the limit.
func (l *Limiter) warmUp(now time.Time) {
	if now.Sub(l.warmAt) < warmStep {
		return
	}
	total := l.warmOK + l.warmBad
	abnormal := l.warmBad*2 >= total || l.window.last > highRatio || l.slowerThanOthers()
	switch {
	case total == 0 || l.usual > 0 && l.warmOK > 0 && total+l.warmCut < othersAnswers:
		return
	case abnormal && l.warm > 1:
		l.warm /= 2
		l.markWarm(now)
		l.publish(AbnormalAnswers, now)
	case abnormal || l.warmBad*4 > total:
		l.markWarm(now)
	case l.window.last > normalRatio || l.adaptive() < l.warm:
		// The latency grew at this limit, or the adaptive limit kept the requests below it: no evidence for a higher one.
		l.markWarm(now)
	case l.warmOK >= l.warm:
		l.warm *= 2
		if l.warm >= l.slots {
			l.warm = 0
		}
		l.markWarm(now)
		l.publish(NormalAnswers, now)
	}
}
