package tally

import (
	"math"
	"time"
)

// maxStep is the longest time between two responses whose durations are compared. It is short compared with the time for which another
// program on the host makes a server slow.
const maxStep = 50 * time.Millisecond

// Recorder counts the responses of one server. Besides it counts by how much the durations of successive responses differ: a server that is
// slow for some time changes little from one response to the next, while a release that is slow for some of its requests does so all the
// time. The zero value is ready for use; it is not safe for concurrent use.
type Recorder struct {
	Tally Tally
	last  time.Duration // of the last response without failure
	at    time.Time     // of that response
}

// Add counts a response that ended now.
func (r *Recorder) Add(now time.Time, route string, failed bool, took time.Duration) {
	r.Tally.Add(route, failed, took)
	if failed || took <= 0 {
		return
	}
	if r.last > 0 && now.Sub(r.at) <= maxStep {
		r.Tally.Steps[step(max(r.last, took), min(r.last, took))]++
	}
	r.last, r.at = took, now
}

// step returns the bucket of the ratio of two durations: bucket i holds ratios from 2 to the power of i/BucketsPerDouble.
func step(longer, shorter time.Duration) int {
	return min(int(BucketsPerDouble*math.Log2(float64(longer)/float64(shorter))+1e-9), Buckets-1)
}
