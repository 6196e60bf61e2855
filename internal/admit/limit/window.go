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

// window compares recent latencies with their floors.
type window struct {
	answers int
	latency time.Duration // sum of the latencies of answers whose class has a floor
	floor   time.Duration // sum of their floors
	last    float64       // ratio of latency to floor in the last closed window; 0 when unknown
}

func (w *window) add(latency, floorLatency time.Duration) {
	if floorLatency <= 0 {
		return
	}
	w.answers++
	w.latency += latency
	w.floor += floorLatency
}

// close returns the ratio of latency to floor and begins a new window. A window with fewer than minSample answers stays
// open, and close returns false.
func (w *window) close() (float64, bool) {
	if w.answers < minSample {
		return 0, false
	}
	ratio := float64(w.latency) / float64(w.floor)
	*w = window{last: ratio}
	return ratio, true
}

const medianAnswers = 64

// median computes the median of the latest latencies.
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
