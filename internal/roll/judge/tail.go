package judge

import (
	"iter"
	"math"

	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

// test compares count of some responses of the target release with the share that is expected from the old release.
type test struct {
	measure   Measure
	of, count uint64
	share     float64 // of the old release on the same routes
	prior     float64 // of the old release on all routes
	weight    float64 // responses from which share is known
	minExcess float64
	minCount  uint64 // that condemns
}

// result is the outcome of a test. It cannot condemn the release if weak.
type result struct {
	Finding
	weak bool
}

// tests yields the comparison of failures and those of durations at each threshold. The responses of the old release on all routes
// complement those of the compared route.
func tests(old, all, target *counts) iter.Seq[result] {
	return func(yield func(result) bool) {
		n := uint64(target.responses)
		if n == 0 {
			return
		}
		failures := test{
			measure: Failures, of: n, count: uint64(target.failures), weight: minOld, share: assumedFailures, prior: assumedFailures,
			minExcess: minFailureExcess, minCount: minCount,
		}
		if old.responses >= minOld {
			failures.weight, failures.share, failures.prior = old.responses, old.failures/old.responses, all.failures/all.responses
		}
		if !yield(failures.result()) || old.responses < minOld {
			return
		}
		durations := test{measure: Durations, of: n, weight: old.responses, minExcess: minSlowExcess, minCount: minCount}
		if old == all {
			durations.minCount = minSlowCount
		}
		for r := range durations.thresholds(old, all, target, slowBuckets, maxTail) {
			if !yield(r) {
				return
			}
		}
		for r := range durations.thresholds(old, all, target, suspectBuckets, maxSuspectTail) {
			r.weak = true
			if !yield(r) {
				return
			}
		}
	}
}

// thresholds yields the comparisons of the responses of the target release above a threshold with those of the old release above a
// threshold that is lower by some buckets, as long as these are a small share.
func (t test) thresholds(old, all, target *counts, lower int, maxShare float64) iter.Seq[result] {
	return func(yield func(result) bool) {
		// The last bucket has no bound, so that nothing is known to be longer than it by some factor.
		var slow float64
		oldSlow, allSlow := old.above(tally.Buckets-1-lower), all.above(tally.Buckets-1-lower)
		for b := tally.Buckets - 2; b >= lower; b-- {
			slow += target.durations[b+1]
			oldSlow += old.durations[b+1-lower]
			allSlow += all.durations[b+1-lower]
			if oldSlow > maxShare*old.responses {
				return
			}
			t.count, t.share, t.prior = uint64(slow), oldSlow/old.responses, allSlow/all.responses
			if !yield(t.result()) {
				return
			}
		}
	}
}

func (t test) result() result {
	// A Beta distribution of the unknown share: its width accounts for the number of responses that it was estimated from.
	weight := min(maxOld, t.weight)
	a := relativeTolerance*(t.share*weight+t.prior*priorWeight) + absoluteTolerance*(weight+priorWeight)
	b := max(1, weight+priorWeight-a)
	f := Finding{Measure: t.measure, Of: t.of, Count: t.count, Expected: float64(t.of) * a / (a + b), Chance: 1}
	if t.count >= suspectCount && f.excess() >= t.minExcess {
		f.Chance = upperTail(a, b, t.of, t.count)
	}
	return result{Finding: f, weak: t.count < t.minCount}
}

// upperTail returns the probability of at least count of n under the Beta-binomial distribution with parameters a and b. The count is above
// the mean.
func upperTail(a, b float64, n, count uint64) float64 {
	size, k := float64(n), float64(count)
	term := math.Exp(logBeta(k+a, size-k+b) - logBeta(a, b) + logChoose(size, k))
	sum := term
	for ; k < size && term > sum*1e-6; k++ {
		term *= (size - k) / (k + 1) * (a + k) / (b + size - k - 1)
		sum += term
	}
	return min(1, sum)
}

func logBeta(a, b float64) float64 {
	return logGamma(a) + logGamma(b) - logGamma(a+b)
}

func logChoose(n, k float64) float64 {
	return logGamma(n+1) - logGamma(k+1) - logGamma(n-k+1)
}

func logGamma(x float64) float64 {
	v, _ := math.Lgamma(x)
	return v
}
