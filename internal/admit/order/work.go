package order

import (
	"cmp"
	"math"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

const (
	// workDivisor gives a new sample 1/16 of the weight in the averages: a few requests take 7 times as long as the others.
	workDivisor = 16
	// The slot times of a kind are counted in buckets whose bounds differ by a factor of 2^(1/bucketsPerOctave), from shortest on.
	buckets          = 64
	bucketsPerOctave = 4
	shortest         = time.Millisecond
	// fadeAfter is the number of samples after which the counts are halved, so that they follow the server's present speed.
	fadeAfter = 512
	// minSamples is the number of samples from which the counts are used.
	minSamples = 16
)

// work tracks how long requests hold their slots, by group and class.
type work struct {
	byKind  [groups][ident.Classes]slotTimes
	overall time.Duration // moving average; 0 if unknown
}

type slotTimes struct {
	average time.Duration // moving average; 0 if unknown
	total   int
	counts  [buckets]int
}

func (w *work) of(r *Request) *slotTimes {
	return &w.byKind[groupOf(r)][r.Class]
}

func (w *work) add(r *Request, held time.Duration) {
	w.overall = moveAverage(w.overall, held)
	w.of(r).add(held)
}

// expected returns the mean slot time of requests like r.
func (w *work) expected(r *Request) time.Duration {
	return cmp.Or(w.of(r).average, w.overall)
}

func moveAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/workDivisor
}

func (s *slotTimes) add(held time.Duration) {
	s.average = moveAverage(s.average, held)
	s.counts[bucketOf(held)]++
	if s.total++; s.total < fadeAfter {
		return
	}
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

func bucketOf(t time.Duration) int {
	if t <= shortest {
		return 0
	}
	return min(buckets-1, 1+int(bucketsPerOctave*math.Log2(float64(t)/float64(shortest))))
}

// chance returns the probability that a request ends within the time left after it gets its slot.
func (s *slotTimes) chance(left time.Duration) float64 {
	switch {
	case left <= 0:
		return 0
	case s.total < minSamples:
		if left < s.average {
			return 0
		}
		return 1
	}
	at, sum := bucketOf(left), 0
	for i := range at {
		sum += s.counts[i]
	}
	return (float64(sum) + float64(s.counts[at])/2) / float64(s.total)
}
