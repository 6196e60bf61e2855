package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/memnet"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

const (
	faultCount    = 12
	faultInterval = time.Second // shorter than faultDuration, so that faults overlap
	faultDuration = 2500 * time.Millisecond
	seedsPerTest  = 3 // run by each test
)

// Guards against a request that runs twice, one that is reported as not run but ran, a response to another request, and a
// configuration that reverts to an earlier revision, while random faults overlap.
func TestOutcomesAreTrueUnderRandomFaults(t *testing.T) { runChaosSeeds(t, 0) }

// Repeats the test with other seeds, as a separate test because CI runs each test of this package in a process of its own.
func TestOutcomesAreTrueUnderOtherRandomFaults(t *testing.T) { runChaosSeeds(t, seedsPerTest) }

func runChaosSeeds(t *testing.T, first uint64) {
	for seed := first; seed < first+seedsPerTest; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { chaos(t, seed) })
		})
	}
}

func chaos(t *testing.T, seed uint64) {
	l := layout{folder: folder + "claim = true\n[service photos]\nclass = upload\ntimeout = 5s\n", perService: 3}
	l.services = []string{"stock", "orders", "photos"}
	s := l.start(t)
	time.Sleep(5 * time.Second)
	random := rand.New(rand.NewPCG(seed, seed))
	revisions := s.watchRevisions()
	plan := s.plan(150, (faultCount+4)*faultInterval)
	plan.Kinds[1].IdempotencyKey = true
	plan.Kinds = append(plan.Kinds,
		load.Kind{Name: "plain-order", Weight: 1, Method: http.MethodPost, Service: "orders", Path: "/plain", Body: 200, Once: true},
		load.Kind{Name: "large-answer", Weight: 1, Method: http.MethodGet, Service: "stock", Path: "/jars/2?size=100000"})
	done := s.load(plan)
	time.Sleep(time.Millisecond) // request IDs contain the start time of their load, which must differ between the two loads
	plan.Rate, plan.Timeout, plan.Seed = 2, 5*time.Second, 2
	plan.Kinds = []load.Kind{{Name: "photo", Weight: 1, Method: http.MethodPost, Service: "photos", Path: "/new", Body: 1 << 20, Once: true}}
	photos := s.load(plan)
	for range faultCount {
		time.Sleep(faultInterval)
		s.injectFault(random)
	}
	result := <-done
	s.expectTruthfulOutcomes(result)
	s.expectTruthfulOutcomes(<-photos)
	s.expectOutcomes(result, load.OK)
	s.Expect(revisions()).To(BeEmpty(), "revisions that decreased")
	time.Sleep(recoveryBound)
	head, err := s.writer("check").Show(s.t.Context(), 0)
	s.Expect(err).NotTo(HaveOccurred())
	for _, n := range s.nodes {
		s.Expect(s.revision(n)).To(Equal(head.Revision), n.host)
		s.Expect(s.ready(n)).To(BeTrue(), "%s admits work again", n.host)
	}
	plan = s.plan(50, 5*time.Second)
	after := <-s.load(plan) // the faults have no lasting effect
	s.expectTruthfulOutcomes(after)
	s.Expect(answered(after, "lookup")).To(BeNumerically(">=", 0.999))
	s.Expect(answered(after, "order")).To(BeNumerically(">=", 0.999))
}

// injectFault starts a random fault, which ends after faultDuration.
func (s *system) injectFault(random *rand.Rand) {
	n := s.nodes[random.IntN(len(s.nodes))]
	server := func(faults sample.Faults) {
		n.server.SetFaults(faults)
		s.afterFault(func() { n.server.SetFaults(sample.Faults{}) })
	}
	platform := func(fault fake.Fault) {
		s.platform.Faults.Inject(fault)
		s.afterFault(s.platform.Faults.Clear)
	}
	toNode := func(from, to string) bool { return betweenDaemons(from, to) && (from == n.host || to == n.host) }
	switch random.IntN(17) {
	case 0:
		s.fabric.EachPath(betweenDaemons, (*memnet.Path).Silence)
	case 1:
		s.fabric.EachPath(toNode, (*memnet.Path).Silence)
	case 2:
		s.fabric.EachPath(betweenDaemons, (*memnet.Path).Cut)
	case 3:
		s.fabric.Block(toNode)
		s.afterFault(s.fabric.Unblock)
	case 4:
		s.fabric.Block(func(from, to string) bool {
			return from != "callers" && (zoneOf(from) == n.zone) != (zoneOf(to) == n.zone)
		})
		s.afterFault(s.fabric.Unblock)
	case 5:
		server(sample.Faults{SlowFactor: 10})
	case 6:
		server(sample.Faults{FailFast: true})
	case 7:
		server(sample.Faults{Draining: true})
	case 8:
		server(sample.Faults{ColdPeriod: faultDuration, Truncate: true})
	case 9:
		platform(fake.Down{})
	case 10:
		platform(fake.LoseResponse{Scope: fake.Scope{Count: 2}})
		s.toggleZone(n)
	case 11:
		platform(fake.Slow{Delay: 500 * time.Millisecond})
	case 12:
		platform(fake.LoseResponse{Scope: fake.Scope{Probability: 0.3}})
	case 13:
		s.restartDaemon(n)
	case 14:
		s.toggleServer(n)
	case 15:
		s.fabric.EachPath(func(from, to string) bool { return from == platformHost || to == platformHost }, (*memnet.Path).Silence)
	default:
		s.toggleZone(n)
	}
}

// restartDaemon kills the node's daemon, unless it is down already, and starts it again after faultDuration.
func (s *system) restartDaemon(n *node) {
	if n.daemonProcess.Load().Killed() {
		return
	}
	s.killDaemon(n)
	s.afterFault(func() { s.startDaemon(n) })
}

// toggleServer takes the node's server out by configuration and back in after faultDuration. The platform may fail meanwhile.
func (s *system) toggleServer(n *node) {
	s.running.Go(func() {
		writer := s.writer("anna")
		_, _ = writer.Server(s.t.Context(), n.settings.Daemons, config.ServerLeaving, change.Options{}) // may be refused
		time.Sleep(faultDuration)
		_, _ = writer.Server(s.t.Context(), n.settings.Daemons, config.ServerIn, change.Options{}) // may be refused
	})
}

func (s *system) afterFault(end func()) {
	s.running.Go(func() {
		time.Sleep(faultDuration)
		end()
	})
}

// toggleZone takes the node's zone out and back in after faultDuration, as operators do. The platform may fail meanwhile.
func (s *system) toggleZone(n *node) {
	s.running.Go(func() {
		writer := s.writer("operator")
		_, _ = writer.Zone(s.t.Context(), n.zone, config.ZoneOut, change.Options{}) // may be refused
		time.Sleep(faultDuration)
		_, _ = writer.Zone(s.t.Context(), n.zone, config.ZoneIn, change.Options{}) // may be refused
	})
}
