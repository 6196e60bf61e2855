// Package tally counts the responses of the servers of one release during a roll-out.
package tally

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Parameters of the histograms of durations.
const (
	// Buckets is the number of buckets of a histogram. Bucket i holds durations of at most Bound(i), the last one all longer ones.
	Buckets = 54
	// BucketsPerDouble is the number of buckets in which the bound doubles.
	BucketsPerDouble = 3

	firstBound = 250 * time.Microsecond
)

// MaxRoutes bounds the routes of a tally. Responses of further routes are counted under the empty name.
const MaxRoutes = 64

// Tally holds the counts of one release for one order. It is not safe for concurrent use.
type Tally struct {
	Routes []Route // sorted by name, at most MaxRoutes
	// Steps counts the ratios of the durations of successive responses of one server; see Recorder.
	Steps [Buckets]uint64
}

// Route holds the counts of one route.
type Route struct {
	Name      string // empty: all routes beyond MaxRoutes, and requests without a route
	Responses uint64 // includes failures
	Failures  uint64 // own 5xx responses, truncated responses, runs without a response
	Durations [Buckets]uint64
}

// Add counts a response.
func (t *Tally) Add(route string, failed bool, took time.Duration) {
	r := t.route(route)
	r.Responses++
	if failed {
		r.Failures++
	}
	r.Durations[Bucket(took)]++
}

// Merge adds the counts of another tally.
func (t *Tally) Merge(other *Tally) {
	if other == nil {
		return
	}
	for i := range other.Routes {
		from := &other.Routes[i]
		r := t.route(from.Name)
		r.Responses += from.Responses
		r.Failures += from.Failures
		for b, n := range from.Durations {
			r.Durations[b] += n
		}
	}
	for b, n := range other.Steps {
		t.Steps[b] += n
	}
}

// Clone returns an independent copy; that of nil is empty.
func (t *Tally) Clone() *Tally {
	if t == nil {
		return &Tally{}
	}
	return &Tally{Routes: slices.Clone(t.Routes), Steps: t.Steps}
}

// Since returns the counts that were added since an earlier state of the tally. Counts that have fallen, because a daemon is no longer
// included, are left out.
func (t *Tally) Since(earlier *Tally) *Tally {
	since := t.Clone()
	for i := range earlier.Routes {
		before := &earlier.Routes[i]
		at, found := since.find(before.Name)
		if !found {
			continue
		}
		r := &since.Routes[at]
		r.Responses -= min(r.Responses, before.Responses)
		r.Failures -= min(r.Failures, before.Failures)
		for b, n := range before.Durations {
			r.Durations[b] -= min(r.Durations[b], n)
		}
	}
	for b, n := range earlier.Steps {
		since.Steps[b] -= min(since.Steps[b], n)
	}
	return since
}

// Total returns the responses and the failures of all routes.
func (t *Tally) Total() (responses, failures uint64) {
	for i := range t.Routes {
		responses += t.Routes[i].Responses
		failures += t.Routes[i].Failures
	}
	return responses, failures
}

// route returns the counts of a route, or those of the empty name if the tally is full.
func (t *Tally) route(name string) *Route {
	at, found := t.find(name)
	if found {
		return &t.Routes[at]
	}
	// The last place is kept for the empty name.
	if name != "" && len(t.Routes) >= MaxRoutes-1 {
		if _, rest := t.find(""); !rest || len(t.Routes) >= MaxRoutes {
			return t.route("")
		}
	}
	t.Routes = slices.Insert(t.Routes, at, Route{Name: name})
	return &t.Routes[at]
}

func (t *Tally) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.Routes, name, func(r Route, name string) int { return strings.Compare(r.Name, name) })
}

// Bucket returns the bucket of a duration.
func Bucket(took time.Duration) int {
	if took <= firstBound {
		return 0
	}
	steps := math.Ceil(BucketsPerDouble*math.Log2(float64(took)/float64(firstBound)) - 1e-9)
	return min(int(steps), Buckets-1)
}

// Bound returns the longest duration of a bucket; the last bucket has no bound, and its value is the bound that it would have.
func Bound(bucket int) time.Duration {
	return time.Duration(float64(firstBound) * math.Exp2(float64(bucket)/BucketsPerDouble))
}
