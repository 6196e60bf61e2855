package limit

import (
	"slices"
	"time"
)

// Parameters of the floor.
const (
	// floorAnswers and floorPeriod make a mean that random service times move little: exponential ones by an eighth.
	// Before the first such mean one of firstAnswers stands in for it, so that a warm-up has a floor.
	floorAnswers   = 64
	initialAnswers = 16
	floorPeriod    = time.Second
	// floorQuantile is the part of the floorMeans latest means that lie below the floor. The lowest of many means is below
	// the usual latency by chance alone; a higher rank would forget the floor sooner while the server is slow.
	floorQuantile = 0.05
	floorMeans    = 60
	// floorAge is when a mean no longer counts.
	floorAge = 2 * time.Minute
	// minFloor keeps the resolution of clocks and of the scheduler out of the ratios of very fast servers.
	minFloor = 200 * time.Microsecond
	// learnRatio is the mean over the floor above which it is not learned: the time may be that of a queue inside the
	// server. It is below normalRatio, at which the limit no longer rises, so a limit that latency bounds teaches nothing.
	learnRatio = 1.4
)

// floor is a low quantile of the mean latencies of the last periods, without those that are far above it. When all means
// are, a probe at a lower limit tells whether the server has become slower or is saturated.
type floor struct {
	periodStart time.Time
	answers     int
	total       time.Duration
	means       []floorMean // oldest first; at most floorMeans
	estimate    time.Duration
	learned     time.Time   // when a mean last counted
	skipped     bool        // the last mean did not count
	raisedMeans []floorMean // of the last probes, oldest first; at most probeMeans-1
}

type floorMean struct {
	at   time.Time
	mean time.Duration
}

func (f *floor) add(latency time.Duration, now time.Time) {
	if f.answers == 0 && now.Sub(f.periodStart) > floorPeriod {
		f.periodStart = now
	}
	f.answers++
	f.total += max(latency, minFloor)
	if now.Sub(f.periodStart) < floorPeriod || f.answers < initialAnswers {
		return
	}
	mean := f.total / time.Duration(f.answers)
	if f.answers < floorAnswers {
		if len(f.means) == 0 {
			f.estimate = mean
		}
		return
	}
	f.periodStart = now
	f.answers = 0
	f.total = 0
	// The floor of a class that is too rare for a probe is forgotten by its age.
	f.skipped = len(f.means) > 0 && f.exceededBy(mean, learnRatio) && now.Sub(f.learned) < floorAge
	if !f.skipped {
		f.learn(mean, now)
	}
}

func (f *floor) exceededBy(mean time.Duration, ratio float64) bool {
	return float64(mean) > ratio*float64(f.estimate)
}

func (f *floor) learn(mean time.Duration, now time.Time) {
	f.learned = now
	f.means = append(f.means, floorMean{at: now, mean: mean})
	for len(f.means) > floorMeans || now.Sub(f.means[0].at) > floorAge {
		f.means = f.means[1:]
	}
	sorted := make([]time.Duration, 0, len(f.means))
	for _, m := range f.means {
		sorted = append(sorted, m.mean)
	}
	slices.Sort(sorted)
	f.estimate = sorted[int(floorQuantile*float64(len(sorted)))]
}

// learnProbe takes the mean of a probe. It replaces the floor when it is the last of probeMeans that are all above it.
func (f *floor) learnProbe(mean time.Duration, now time.Time) {
	f.skipped = false
	if !f.exceededBy(mean, raisedRatio) {
		f.raisedMeans = nil
		f.learn(mean, now)
		return
	}
	f.raisedMeans = append(f.raisedMeans, floorMean{at: now, mean: mean})
	if len(f.raisedMeans) < probesToRaise {
		return
	}
	f.means = f.raisedMeans[:probesToRaise-1]
	f.raisedMeans = nil
	f.learn(mean, now)
}

func (f *floor) value() time.Duration {
	return f.estimate
}
