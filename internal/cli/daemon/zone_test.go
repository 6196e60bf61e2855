package daemon_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

const (
	utilization    = 0.6
	zoneServers    = 3
	slowFactor     = 10 // 50 ms for a request, so that a low request rate keeps the slots busy
	slotsPerServer = 12
)

// Guards against lookups that fail or wait while a zone leaves and returns at a utilization of 60%: 99.9% must be answered, and
// the p99 latency during the change must be at most twice that of the steady state.
func TestZoneChangeKeepsTailLatency(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, zoneServers, "stock")
		for _, n := range s.nodes {
			n.server.SetFaults(sample.Faults{SlowFactor: slowFactor})
		}
		rate := utilization * zoneServers * slotsPerServer / (slowFactor * sample.DefaultServiceTime.Seconds())
		lookups := func(duration time.Duration) <-chan *load.Result {
			plan := s.plan(rate, duration)
			plan.Kinds = []load.Kind{{Name: "lookup", Weight: 1, Method: http.MethodGet, Service: "stock", Path: "/jars/1"}}
			return s.load(plan)
		}
		<-lookups(20 * time.Second) // warm-up
		steady := <-lookups(10 * time.Second)
		during := lookups(16 * time.Second)
		time.Sleep(time.Second)
		_, err := s.writer("anna").Zone(t.Context(), "zone-a", config.ZoneOut, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(7 * time.Second)
		_, err = s.writer("anna").Zone(t.Context(), "zone-a", config.ZoneIn, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		result := <-during
		s.Expect(answered(steady, "lookup")).To(BeNumerically(">=", 0.999), "steady %v", steady.Rows[0].Outcomes)
		s.Expect(answered(result, "lookup")).To(BeNumerically(">=", 0.999), "during the change %v", result.Rows[0].Outcomes)
		before, changing := steady.Rows[0].Quantile(0.99), result.Rows[0].Quantile(0.99)
		t.Logf("p99 %s steady, %s during the change", before, changing)
		s.Expect(changing).To(BeNumerically("<=", 2*before))
	})
}
