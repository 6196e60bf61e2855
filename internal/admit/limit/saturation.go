package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

const (
	// lowLoad is the share of the slots in use up to which an answer counts as one under low load.
	lowLoad = 0.7
	// highLoad is the share above which an answer counts as one under high load, on a nearly full server.
	highLoad = 0.8
	// reducedShare is the share of the slots that is used on a server that slows down when it is nearly full.
	reducedShare = 0.75
	// slowdownRatio is the ratio of the latency under high load to that under low load above which the last quarter of the
	// slots costs more throughput than it adds: it allows at most a third more concurrent requests.
	slowdownRatio = 1.3
	// minLowAnswers and minHighAnswers are the minimum numbers of answers under low and under high load for a comparison.
	minLowAnswers  = 8
	minHighAnswers = 16
	// averageWeight is the weight of a new answer in the averages.
	averageWeight = 1.0 / 16
	// reducedFor is how long the share stays reduced before all slots are tried again.
	reducedFor = time.Minute
	// maxNormalPace is the highest reported pace, in percent, at which answers are compared. On a slowed instance the
	// latency would not show the effect of the load.
	maxNormalPace = 120
)

// saturation detects whether a server that reports its slots slows down when it is nearly full.
type saturation struct {
	low          [ident.Classes]average // latency under low load
	high         average                // ratio of the latency under high load to that under low load
	reducedSince time.Time              // when the share was reduced; zero while all slots are used
}

// average is an exponentially weighted moving average. Until it has 1/averageWeight samples it is their mean.
type average struct {
	value float64
	count int
}

func (a *average) add(sample float64) {
	a.count++
	weight := max(averageWeight, 1/float64(a.count))
	a.value += (sample - a.value) * weight
}

// add records the latency of a request that started as one of the running requests, itself included.
func (s *saturation) add(class ident.Class, latency time.Duration, running, slots int) {
	share := float64(running) / float64(max(slots, 1))
	low := &s.low[class]
	switch {
	case share <= lowLoad:
		low.add(float64(latency))
	case share > highLoad && low.count >= minLowAnswers:
		s.high.add(float64(latency) / low.value)
	}
}

// share returns the share of the slots to use now.
func (s *saturation) share(now time.Time) float64 {
	switch {
	case !s.reducedSince.IsZero() && now.Sub(s.reducedSince) < reducedFor:
		return reducedShare
	case !s.reducedSince.IsZero():
		s.reducedSince, s.high = time.Time{}, average{}
	case s.high.count >= minHighAnswers && s.high.value > slowdownRatio:
		s.reducedSince = now
		return reducedShare
	}
	return 1
}

// Reporter holds what a server reports about itself. In a daemon it is a status.Server.
type Reporter interface {
	// Slots returns how many requests the server runs at once, or 0 while unknown.
	Slots() int
	// Pace returns the time that work takes on the server's instance now, in percent of the usual time.
	Pace() int
	// Cold reports whether the server is known to be cold.
	Cold() bool
}

// atNormalPace reports whether the server reports a pace up to maxNormalPace and is not cold.
func (l *Limiter) atNormalPace() bool {
	return l.Reporter != nil && l.Reporter.Pace() <= maxNormalPace && !l.Reporter.Cold()
}

// reportedLimit returns the limit derived from the slots that the server reports, or 0 when the service's servers don't
// report them.
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
	limit := max(1, int(share*float64(slots)))
	if c.Precedence {
		return min(limit, l.foreign.reduce(slots, now))
	}
	return limit
}
