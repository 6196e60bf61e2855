package choice

import (
	"testing"
	"time"
)

// BenchmarkPolicy measures the Probing policy in simulated time, so the figures are the same on every machine: the p99 with
// temporary slowdowns of servers relative to the baselines, the worse of two seeds, and the imbalance of work in the steady state.
func BenchmarkPolicy(b *testing.B) {
	b.Run("slowing", func(b *testing.B) {
		var robin, two, best float64
		for b.Loop() {
			for _, seed := range []uint64{1, 2} {
				probing := runWithSlowdowns(seed, samePolicy(Probing{})).p99()
				ratio := func(baseline time.Duration) float64 { return float64(probing) / float64(baseline) }
				robin = max(robin, ratio(runWithSlowdowns(seed, samePolicy(RoundRobin{})).p99()))
				two = max(two, ratio(runWithSlowdowns(seed, samePolicy(RandomTwo{})).p99()))
				best = max(best, ratio(runWithSlowdowns(seed, perfect).p99()))
			}
		}
		b.ReportMetric(robin, "ratio-to-round-robin")
		b.ReportMetric(two, "ratio-to-random-two")
		b.ReportMetric(best, "ratio-to-perfect")
	})
	b.Run("steady", func(b *testing.B) {
		var spread float64
		for b.Loop() {
			q := newSimulation(1, samePolicy(Probing{}))
			q.run()
			spread = q.imbalance()
		}
		b.ReportMetric(spread, "max-over-average")
	})
}
