package judge

import (
	"slices"

	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

// Parameters of the detection of old servers that are worse than the others. They would mask a bad release.
const (
	// minDaemons is the least number of daemons from which one can differ from the others, and outlierPart the part of them that may: if
	// more are worse, as in a zone whose network is slow, target servers may be worse for the same reason.
	minDaemons  = 4
	outlierPart = 8
	// minOutlier is the least number of responses with which a daemon is compared.
	minOutlier = 15
	// A worse daemon has shares above outlierFactor times the median of all daemons plus outlierExcess.
	outlierFactor = 2
	outlierExcess = 0.1
	// slowOutlier is by how many buckets slow responses are above the median of all: 4 times.
	slowOutlier = 2 * tally.BucketsPerDouble
)

// outliers tells which daemons have far more failures or slow responses than the others.
func outliers(daemons []counts) []bool {
	worse := make([]bool, len(daemons))
	if len(daemons) < minDaemons {
		return worse
	}
	var all counts
	for i := range daemons {
		all.merge(&daemons[i])
	}
	threshold := min(tally.Buckets-1, all.median()+slowOutlier)
	failures, slow := make([]float64, len(daemons)), make([]float64, len(daemons))
	for i := range daemons {
		failures[i] = daemons[i].failures / max(1, daemons[i].responses)
		slow[i] = daemons[i].above(threshold) / max(1, daemons[i].responses)
	}
	found := 0
	for i := range daemons {
		if daemons[i].responses >= minOutlier && (exceeds(failures[i], failures) || exceeds(slow[i], slow)) {
			worse[i] = true
			found++
		}
	}
	if found > max(1, len(daemons)/outlierPart) {
		clear(worse)
	}
	return worse
}

func exceeds(share float64, shares []float64) bool {
	median := slices.Sorted(slices.Values(shares))[len(shares)/2]
	return share > outlierFactor*median+outlierExcess
}

// median returns the bucket of the median duration.
func (c *counts) median() int {
	var sum float64
	for b, n := range c.durations {
		if sum += n; sum >= c.responses/2 {
			return b
		}
	}
	return tally.Buckets - 1
}
