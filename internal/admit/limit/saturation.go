package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

const (
	// lowLoad is the part of the slots up to which requests count as run on a server with room.
	lowLoad = 0.7
	// highLoad is the part above which they count as run on a nearly full one.
	highLoad = 0.8
	// reducedShare is the part of the slots that is used of a server that slows down when it is nearly full.
	reducedShare = 0.75
	// slowdownRatio is the time on a nearly full server over that on one with room from which the last slots bring less than they
	// cost: the last quarter of the slots brings a third more requests at most.
	slowdownRatio = 1.3
	// minLowAnswers and kneeHigh are the answers of each kind before that is judged.
	minLowAnswers  = 8
	minHighAnswers = 16
	// averageWeight is the weight of a new answer in the averages.
	averageWeight = 1.0 / 16
	// reducedFor is how long the last slots stay unused before they are tried again.
	reducedFor = time.Minute
	// maxNormalPace is the pace, in percent, up to which an answer is compared. A slowed instance would hide the difference.
	maxNormalPace = 120
)

// saturation finds out whether a server that tells its slots slows down when it is nearly full.
type saturation struct {
	low          [ident.Classes]average // time on a server with room
	high         average                // time on a nearly full one over that
	reducedSince time.Time              // when the last slots were given up; zero while all are used
}

type average struct {
	value float64
	count int
}

func (a *average) add(sample float64) {
	a.count++
	weight := max(averageWeight, 1/float64(a.count))
	a.value += (sample - a.value) * weight
}

// add takes the time of an answer that began with so many requests running.
func (k *saturation) add(class ident.Class, latency time.Duration, running, slots int) {
	share := float64(running) / float64(max(slots, 1))
	low := &k.low[class]
	switch {
	case share <= lowLoad:
		low.add(float64(latency))
	case share > highLoad && low.count >= minLowAnswers:
		k.high.add(float64(latency) / low.value)
	}
}

// share returns the part of the slots to use now.
func (k *saturation) share(now time.Time) float64 {
	switch {
	case !k.reducedSince.IsZero() && now.Sub(k.reducedSince) < reducedFor:
		return reducedShare
	case !k.reducedSince.IsZero():
		k.reducedSince, k.high = time.Time{}, average{}
	case k.high.count >= minHighAnswers && k.high.value > slowdownRatio:
		k.reducedSince = now
		return reducedShare
	}
	return 1
}

// Reporter is what a server tells of itself. own.Server is the one of a daemon.
type Reporter interface {
	// Slots returns how many requests the server runs at once, or 0 before it is known.
	Slots() int
	// Pace is the time that work takes at the server now, in percent of the usual.
	Pace() int
	// Cold reports whether the server is known to be cold.
	Cold() bool
}

// atNormalPace reports whether the server's instance works at its usual pace.
func (l *Limiter) atNormalPace() bool {
	return l.Reporter != nil && l.Reporter.Pace() <= maxNormalPace && !l.Reporter.Cold()
}

// reportedLimit returns the limit of a server that tells its slots, or 0.
func (l *Limiter) reportedLimit(now time.Time) int {
	c := l.Config.Get()
	if l.Reporter == nil || c == nil || c.Services[l.Service] == nil || !c.Services[l.Service].ReportsLoad {
		return 0
	}
	slots := l.Reporter.Slots()
	if slots == 0 {
		slots = c.Services[l.Service].Slots
	}
	share := l.saturation.share(now)
	if before := l.slotShare; before != share {
		l.slotShare = share
		l.Log.Info("slots-used-changed", "share", share, "slots", slots, "ratio", l.saturation.high.value)
	}
	return max(1, int(share*float64(slots)))
}
