package limit

import (
	"slices"
	"time"
)

// tally counts the answers of one tick.
type tally struct {
	normal int
	failed int
}

// window compares the latencies of a short time with their floors.
type window struct {
	answers int
	spent   time.Duration // sum of the latencies that have a floor
	least   time.Duration // sum of their floors
	last    float64       // spent over least of the last closed window; 0 when unknown
}

func (w *window) add(latency, least time.Duration) {
	if least <= 0 {
		return
	}
	w.answers++
	w.spent += latency
	w.least += least
}

// close returns the ratio of the window, when it has enough answers; otherwise the window goes on.
func (w *window) close() (float64, bool) {
	if w.answers < minSample {
		return 0, false
	}
	ratio := float64(w.spent) / float64(w.least)
	*w = window{last: ratio}
	return ratio, true
}

// Parameters of the floor.
const (
	// floorAnswers and floorPeriod make a mean that random service times move little: exponential ones by an eighth.
	// Before the first such mean one of firstAnswers stands in for it, so that a warm-up has a floor.
	floorAnswers = 64
	firstAnswers = 16
	floorPeriod  = time.Second
	// floorRank is the part of the floorMeans latest means that lie below the floor. The lowest of many means is below
	// the usual latency by chance alone; a higher rank would forget the floor sooner while the server is slow.
	floorRank  = 0.05
	floorMeans = 60
	// floorAge is when a mean no longer counts.
	floorAge = 2 * time.Minute
	// leastFloor keeps the resolution of clocks and of the scheduler out of the ratios of very fast servers.
	leastFloor = 200 * time.Microsecond
)

// floor is a low quantile of the mean latencies of the last periods.
type floor struct {
	opened  time.Time
	answers int
	spent   time.Duration
	means   []floorMean // oldest first; at most floorMeans
	least   time.Duration
}

type floorMean struct {
	at   time.Time
	mean time.Duration
}

func (f *floor) add(latency time.Duration, now time.Time) {
	if f.answers == 0 && now.Sub(f.opened) > floorPeriod {
		f.opened = now
	}
	f.answers++
	f.spent += max(latency, leastFloor)
	if now.Sub(f.opened) < floorPeriod || f.answers < firstAnswers {
		return
	}
	if f.answers < floorAnswers {
		if len(f.means) == 0 {
			f.least = f.spent / time.Duration(f.answers)
		}
		return
	}
	f.means = append(f.means, floorMean{at: now, mean: f.spent / time.Duration(f.answers)})
	f.opened = now
	f.answers = 0
	f.spent = 0
	for len(f.means) > floorMeans || now.Sub(f.means[0].at) > floorAge {
		f.means = f.means[1:]
	}
	sorted := make([]time.Duration, 0, len(f.means))
	for _, m := range f.means {
		sorted = append(sorted, m.mean)
	}
	slices.Sort(sorted)
	f.least = sorted[int(floorRank*float64(len(sorted)))]
}

func (f *floor) value() time.Duration {
	return f.least
}

const medianAnswers = 64

// median keeps the last latencies.
type median struct {
	ring [medianAnswers]time.Duration
	next int
	size int
}

func (m *median) add(latency time.Duration) {
	m.ring[m.next] = latency
	m.next = (m.next + 1) % medianAnswers
	m.size = min(m.size+1, medianAnswers)
}

func (m *median) value() time.Duration {
	if m.size == 0 {
		return 0
	}
	sorted := slices.Clone(m.ring[:m.size])
	slices.Sort(sorted)
	return sorted[m.size/2]
}
