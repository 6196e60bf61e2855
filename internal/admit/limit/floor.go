package limit

import (
	"slices"
	"time"
)

// Parameters of the floor.
const (
	// floorAnswers and floorPeriod are the minimum number of answers and the minimum length of a period. The mean of 64
	// answers varies little under random service times: by an eighth when they are exponential. Until the first period is
	// complete, the mean of initialAnswers or more serves as the floor, so that there is one during a warm-up.
	floorAnswers   = 64
	initialAnswers = 16
	floorPeriod    = time.Second
	// floorQuantile is the quantile of the floorMeans latest means that is the floor. The lowest of many means is below
	// the usual latency by chance alone; a higher quantile would lose the floor sooner while the server is slow.
	floorQuantile = 0.05
	floorMeans    = 60
	// floorAge is the age at which a mean is discarded.
	floorAge = 2 * time.Minute
	// minFloor is the minimum latency that is counted. It keeps the resolution of the clock and of the scheduler from
	// distorting the ratios of very fast servers.
	minFloor = 200 * time.Microsecond
	// learnRatio is the ratio of a mean to the floor above which the mean is skipped: it may contain the waiting time in
	// a queue inside the server. It is below normalRatio, at which the limit stops rising, so the means measured while
	// latency holds the limit down don't raise the floor.
	learnRatio = 1.4
)

// floor estimates the latency of a class without queueing. It is a low quantile of the mean latencies of the latest
// periods; means far above the floor are skipped. When they are all skipped, a probe at a lower limit finds out whether
// the server has become slower or is saturated.
type floor struct {
	periodStart time.Time
	answers     int
	total       time.Duration
	means       []floorMean // oldest first; at most floorMeans
	estimate    time.Duration
	learned     time.Time   // when a mean was last added
	skipped     bool        // the last mean was too far above the floor to be added
	raisedMeans []floorMean // means above the floor from the latest probes in a row, oldest first; at most probesToRaise-1
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
	// A class with too few requests for a probe gets a new floor once the old one has reached floorAge.
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

// learnProbe adds the mean latency of a probe, unless it is above the floor by more than raisedRatio. The means of
// probesToRaise such probes in a row replace all earlier means, which raises the floor.
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
