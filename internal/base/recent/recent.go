// Package recent summarizes how long the requests of a kind took recently.
package recent

import (
	"sync/atomic"
	"time"
)

const (
	meanDivisor    = 16 // gives a new sample 1/16 of the weight in the mean
	longestDivisor = 64 // by which part of its distance from a shorter sample the longest time falls
)

// Times are the recent times of a kind of request. The zero value has no samples. Concurrent samples may replace each other, which
// changes the summary little.
type Times struct {
	mean    atomic.Int64 // moving average; 0 without samples
	longest atomic.Int64 // rises to each longer sample and falls slowly with shorter ones
}

// Add adds the time that a request took.
func (t *Times) Add(took time.Duration) {
	sample := max(int64(took), 1)
	mean := t.mean.Load()
	if mean == 0 {
		mean = sample
	}
	t.mean.Store(max(mean+(sample-mean)/meanDivisor, 1))
	longest := t.longest.Load()
	if sample < longest {
		sample = longest - (longest-sample)/longestDivisor
	}
	t.longest.Store(sample)
}

// AddUnfinished adds a request that had not ended after the given time. Shorter times say nothing about how long it takes.
func (t *Times) AddUnfinished(after time.Duration) {
	if int64(after) > t.mean.Load() {
		t.Add(after)
	}
}

// Fits reports whether to begin a request that must end within the given time. An idempotent request may begin unless it takes longer on
// average. Any other request must be sure to end: it may begin only if the recent ones of its kind all ended within that time.
func (t *Times) Fits(within time.Duration, idempotent bool) bool {
	if idempotent {
		return t.mean.Load() <= int64(within)
	}
	longest := t.longest.Load()
	return longest > 0 && longest <= int64(within)
}
