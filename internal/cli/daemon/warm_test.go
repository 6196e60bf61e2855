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
	coldTime     = 6 * time.Second
	coldDetected = time.Second // design, section 7: a server that becomes cold is detected within 1 s
)

// slowShop has requests so long that a cold server is overloaded by a third of the load.
var slowShop = layout{folder: folder, services: []string{"stock", "orders"}, each: 3, own: 20 * time.Millisecond}

// Guards against more work than it can bear for a server that starts, with its daemon or beside a running one.
func TestStartedServerIsNotOverloaded(t *testing.T) {
	for name, withDaemon := range map[string]bool{"with-daemon": true, "alone": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := slowShop.start(t)
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
					s.start(n)
				}
				s.expectBearable(n, done, 0)
			})
		})
	}
}

// Guards against more work than it can bear for a server that turns cold without warning, once that can be known.
func TestServerThatTurnsColdIsNotOverloaded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := slowShop.start(t)
		time.Sleep(10 * time.Second)
		n, done := s.nodes[0], s.load(s.plan(200, 20*time.Second))
		time.Sleep(3 * time.Second)
		n.server.SetFaults(sample.Faults{ColdPeriod: coldTime})
		s.expectBearable(n, done, coldDetected)
	})
}

// Guards against more work than it can bear for a cold server whose zone returns.
func TestReturnedServerIsNotOverloaded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := slowShop.start(t)
		time.Sleep(10 * time.Second)
		n, done := s.nodes[0], s.load(s.plan(200, 25*time.Second))
		_, err := s.writer("anna").Zone(t.Context(), n.zone, config.ZoneOut, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Second)
		n.server.SetFaults(sample.Faults{ColdPeriod: coldTime})
		_, err = s.writer("anna").Zone(t.Context(), n.zone, config.ZoneIn, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		s.expectBearable(n, done, 0)
	})
}

// expectBearable checks that a server that is cold from now on fails no request for having too many after a grace, that
// the others take the load, and that it takes its share again when it is warm.
func (s *system) expectBearable(n *node, done <-chan *load.Result, grace time.Duration) {
	s.t.Helper()
	time.Sleep(grace)
	before := n.server.Counts()
	time.Sleep(coldTime - grace)
	cold := n.server.Counts()
	s.Expect(cold.Overruns).To(Equal(before.Overruns), "overruns of a cold server")
	s.Expect(cold.Total).To(BeNumerically(">", before.Total), "a cold server gets some work")
	result := <-done
	warm := n.server.Counts()
	s.expectTruth(result)
	s.Expect(warm.Overruns).To(Equal(before.Overruns), "overruns after the cold time")
	s.Expect(warm.Total-cold.Total).To(BeNumerically(">", cold.Total-before.Total), "a warm server gets more work")
	s.Expect(answered(result, "lookup")).To(BeNumerically(">=", 0.99))
}
