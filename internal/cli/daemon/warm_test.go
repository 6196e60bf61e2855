package daemon_test

import (
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
	coldTime      = 6 * time.Second
	coldDetection = time.Second // section 7 of the design: a server that becomes cold is detected within 1 s
)

// slowLayout has requests so long that a third of the load overloads a cold server.
var slowLayout = layout{folder: folder, services: []string{"stock", "orders"}, perService: 3, serviceTime: 20 * time.Millisecond}

// Guards against the overload of a server that has just started, with its daemon or beside one that kept running.
func TestStartedServerIsNotOverloaded(t *testing.T) {
	for name, withDaemon := range map[string]bool{"with-daemon": true, "alone": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := slowLayout.start(t)
				time.Sleep(10 * time.Second)
				n, done := s.nodes[0], s.load(s.plan(200, 25*time.Second, s.nodes[0]))
				time.Sleep(3 * time.Second)
				s.killServer(n)
				if withDaemon {
					s.killDaemon(n)
				}
				time.Sleep(3 * time.Second)
				s.startServer(n, coldTime)
				if withDaemon {
					s.startDaemon(n)
				}
				s.expectNoOverload(n, done, 0)
			})
		})
	}
}

// Guards against the overload of a server that becomes cold without notice, once this can have been detected.
func TestServerThatTurnsColdIsNotOverloaded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := slowLayout.start(t)
		time.Sleep(10 * time.Second)
		n, done := s.nodes[0], s.load(s.plan(200, 20*time.Second))
		time.Sleep(3 * time.Second)
		n.server.SetFaults(sample.Faults{ColdPeriod: coldTime})
		s.expectNoOverload(n, done, coldDetection)
	})
}

// Guards against the overload of a cold server whose zone returns to service.
func TestReturnedServerIsNotOverloaded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := slowLayout.start(t)
		time.Sleep(10 * time.Second)
		n, done := s.nodes[0], s.load(s.plan(200, 25*time.Second))
		_, err := s.writer("anna").Zone(t.Context(), n.zone, config.ZoneOut, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Second)
		n.server.SetFaults(sample.Faults{ColdPeriod: coldTime})
		_, err = s.writer("anna").Zone(t.Context(), n.zone, config.ZoneIn, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		s.expectNoOverload(n, done, 0)
	})
}

// expectNoOverload checks that a server that is cold from now on receives no more than it can run after the grace period, that
// other servers take the load, and that the server takes its share again once it is warm.
func (s *system) expectNoOverload(n *node, done <-chan *load.Result, grace time.Duration) {
	s.t.Helper()
	time.Sleep(grace)
	before := n.server.Counts()
	time.Sleep(coldTime - grace)
	cold := n.server.Counts()
	s.Expect(cold.Overruns).To(Equal(before.Overruns), "overruns of a cold server")
	s.Expect(cold.Total).To(BeNumerically(">", before.Total), "a cold server gets some work")
	result := <-done
	warm := n.server.Counts()
	s.expectTruthfulOutcomes(result)
	s.Expect(warm.Overruns).To(Equal(before.Overruns), "overruns after the cold time")
	s.Expect(warm.Total-cold.Total).To(BeNumerically(">", cold.Total-before.Total), "a warm server gets more work")
	s.Expect(answered(result, "lookup")).To(BeNumerically(">=", 0.99))
}
