package daemon_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/memnet"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

func answered(result *load.Result, kind string) float64 {
	for i := range result.Rows {
		if row := &result.Rows[i]; row.Kind == kind {
			return float64(row.Outcomes[load.OK]) / float64(row.Total())
		}
	}
	return 0
}

// Guards against new work in a zone that an operator has taken out, and against requests that are cut or fail meanwhile.
func TestZoneOutAndIn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3, "stock", "orders")
		time.Sleep(10 * time.Second)
		done := s.load(s.plan(200, 20*time.Second))
		time.Sleep(5 * time.Second)
		_, err := s.writer("anna").Zone(t.Context(), "zone-a", config.ZoneOut, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		before := s.zoneRuns("zone-a")
		time.Sleep(5 * time.Second)
		s.Expect(s.zoneRuns("zone-a")).To(Equal(before), "new work after 3 s")
		_, err = s.writer("anna").Zone(t.Context(), "zone-a", config.ZoneIn, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		result := <-done
		s.expectTruthfulOutcomes(result)
		s.Expect(s.zoneRuns("zone-a")).To(BeNumerically(">", before), "no work after the return")
		s.Expect(answered(result, "lookup")).To(BeNumerically(">=", 0.999))
	})
}

func (s *system) zoneRuns(zone string) int {
	total := 0
	for _, n := range s.nodes {
		if n.zone == zone {
			total += n.server.Counts().Total
		}
	}
	return total
}

// Guards against a lost response, or a request that runs twice, when all open connections between daemons go silent at once
// while new connections work. The retry budget does not cover that many revoked requests, so some end as not run. A lookup that
// was already running ends with an unknown outcome, since only responses to non-idempotent requests are retained.
func TestAllConnectionsSilent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3, "stock", "orders")
		time.Sleep(10 * time.Second)
		plan := s.plan(200, 10*time.Second)
		plan.Timeout = 5 * time.Second // long enough to resolve every order before its deadline
		done := s.load(plan)
		for range 4 {
			time.Sleep(2 * time.Second)
			s.fabric.EachPath(betweenDaemons, (*memnet.Path).Silence)
		}
		result := <-done
		s.expectTruthfulOutcomes(result)
		for i := range result.Rows {
			row := &result.Rows[i]
			truthful := row.Outcomes[load.OK] + row.Outcomes[load.NotRun]
			if row.Kind == "lookup" {
				truthful += row.Outcomes[load.UnknownOutcome]
			}
			s.Expect(truthful).To(Equal(row.Total()), "%s %v", row.Kind, row.Outcomes)
		}
	})
}

// Guards against requests that fail when the connections of one daemon at a time go silent.
func TestConnectionsOfOneDaemonSilent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3, "stock", "orders")
		time.Sleep(10 * time.Second)
		done := s.load(s.plan(200, 20*time.Second))
		for i := range s.nodes {
			time.Sleep(3 * time.Second)
			host := s.nodes[i].host
			s.fabric.EachPath(func(from, to string) bool { return betweenDaemons(from, to) && to == host }, (*memnet.Path).Silence)
		}
		result := <-done
		s.expectTruthfulOutcomes(result)
		s.Expect(answered(result, "lookup")).To(BeNumerically(">=", 0.999))
		s.Expect(answered(result, "order")).To(BeNumerically(">=", 0.999))
	})
}

// betweenDaemons matches connections between the hosts of two nodes.
func betweenDaemons(from, to string) bool {
	return from != "callers" && from != platformHost && to != platformHost && from != to
}

// Guards against a planned stop that cuts requests in flight.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3, "stock", "orders")
		time.Sleep(10 * time.Second)
		leaving := s.nodes[2]
		done := s.load(s.plan(200, 10*time.Second, leaving))
		time.Sleep(3 * time.Second)
		leaving.stop()
		s.Expect(<-leaving.stopped).To(Succeed())
		result := <-done
		s.expectTruthfulOutcomes(result)
		s.Expect(answered(result, "lookup")).To(Equal(1.0))
		s.Expect(answered(result, "order")).To(Equal(1.0))
	})
}
