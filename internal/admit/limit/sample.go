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
	opened  time.Time
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

// close returns the ratio of the window, when it has enough answers or is old enough.
func (w *window) close(now time.Time) (float64, bool) {
	if w.answers == 0 || w.answers < minSample && (w.answers < leastSample || now.Sub(w.opened) < maxWindow) {
		if w.answers == 0 {
			w.opened = now
		}
		return 0, false
	}
	ratio := float64(w.spent) / float64(w.least)
	*w = window{opened: now, last: ratio}
	return ratio, true
}

// Parameters of the floor.
const (
	// floorAnswers and floorPeriod make a mean that random service times move little: an exponential one by a quarter.
	floorAnswers = 16
	floorPeriod  = time.Second
	floorMeans   = 30
	// floorRank is the part of the means that lie below the floor. The lowest of many means is far below the usual
	// latency by chance alone; a fifth keeps the floor through slow times of up to four fifths of the means.
	floorRank = 0.2
	// floorAge is when a mean no longer counts.
	floorAge = 60 * time.Second
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
	if f.answers < floorAnswers || now.Sub(f.opened) < floorPeriod {
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
