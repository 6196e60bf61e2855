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
	if w.answers == 0 || w.answers < minSample && now.Sub(w.opened) < maxWindow {
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
	floorAnswers = 8 // the floor is a mean of so many answers, since a single fast one is no measure
	floorBuckets = 6
	floorBucket  = 5 * time.Second
	// leastFloor keeps the resolution of clocks and of the scheduler out of the ratios of very fast servers.
	leastFloor = 200 * time.Microsecond
)

// floor is the lowest mean latency of some consecutive answers in the last floorBuckets times floorBucket.
type floor struct {
	answers int
	spent   time.Duration
	lowest  [floorBuckets]time.Duration // 0 when empty; the first is the present one
	turned  time.Time
}

func (f *floor) add(latency time.Duration, now time.Time) {
	f.answers++
	f.spent += max(latency, leastFloor)
	if f.answers < floorAnswers {
		return
	}
	mean := f.spent / time.Duration(f.answers)
	f.answers = 0
	f.spent = 0
	if f.turned.IsZero() {
		f.turned = now
	}
	for turns := 0; now.Sub(f.turned) >= floorBucket && turns < floorBuckets; turns++ {
		copy(f.lowest[1:], f.lowest[:])
		f.lowest[0] = 0
		f.turned = f.turned.Add(floorBucket)
	}
	if now.Sub(f.turned) >= floorBucket {
		f.turned = now
	}
	if f.lowest[0] == 0 || mean < f.lowest[0] {
		f.lowest[0] = mean
	}
}

func (f *floor) value() time.Duration {
	var least time.Duration
	for _, mean := range f.lowest {
		if mean > 0 && (least == 0 || mean < least) {
			least = mean
		}
	}
	return least
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
