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
	chaosFaults = 12
	chaosGap    = time.Second // between faults; each lasts longer, so that pairs of them overlap
	chaosLasts  = 2500 * time.Millisecond
	chaosSeeds  = 3 // of each test
)

// Guards against a request that runs twice, a false not-run, a response to another request, and a configuration that
// reverts, while random faults overlap.
func TestTruthUnderRandomFaults(t *testing.T) { playChaos(t, 0) }

// The same with other seeds; each test of this package is a process of its own in CI.
func TestTruthUnderOtherRandomFaults(t *testing.T) { playChaos(t, chaosSeeds) }

func playChaos(t *testing.T, first uint64) {
	for seed := first; seed < first+chaosSeeds; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { chaos(t, seed) })
		})
	}
}

func chaos(t *testing.T, seed uint64) {
	l := layout{folder: folder + "claim = true\n[service photos]\nclass = upload\ntimeout = 5s\n", each: 3}
	l.services = []string{"stock", "orders", "photos"}
	s := l.start(t)
	time.Sleep(5 * time.Second)
	random := rand.New(rand.NewPCG(seed, seed))
	revisions := s.watchRevisions()
	plan := s.plan(150, (chaosFaults+4)*chaosGap)
	plan.Kinds[1].IdempotencyKey = true
	plan.Kinds = append(plan.Kinds,
		load.Kind{Name: "plain-order", Weight: 1, Method: http.MethodPost, Service: "orders", Path: "/plain", Body: 200, Once: true},
		load.Kind{Name: "large-answer", Weight: 1, Method: http.MethodGet, Service: "stock", Path: "/jars/2?size=100000"})
	done := s.load(plan)
	time.Sleep(time.Millisecond) // request ids begin with the start of the load
	plan.Rate, plan.Timeout, plan.Seed = 2, 5*time.Second, 2
	plan.Kinds = []load.Kind{{Name: "photo", Weight: 1, Method: http.MethodPost, Service: "photos", Path: "/new", Body: 1 << 20, Once: true}}
	photos := s.load(plan)
	for range chaosFaults {
		time.Sleep(chaosGap)
		s.fault(random)
	}
	result := <-done
	s.expectTruth(result)
	s.expectTruth(<-photos)
	s.expectSeen(result, load.OK)
	s.Expect(revisions()).To(BeEmpty(), "revisions that fell")
	time.Sleep(healBound)
	head, err := s.writer("check").Show(s.t.Context(), 0)
	s.Expect(err).NotTo(HaveOccurred())
	for _, n := range s.nodes {
		s.Expect(s.revision(n)).To(Equal(head.Revision), n.host)
		s.Expect(s.ready(n)).To(BeTrue(), "%s takes work again", n.host)
	}
	plan = s.plan(50, 5*time.Second)
	after := <-s.load(plan) // nothing of the faults is left
	s.expectTruth(after)
	s.Expect(answered(after, "lookup")).To(BeNumerically(">=", 0.999))
	s.Expect(answered(after, "order")).To(BeNumerically(">=", 0.999))
}

// fault starts a random fault, which ends by itself.
func (s *system) fault(random *rand.Rand) {
	n := s.nodes[random.IntN(len(s.nodes))]
	server := func(faults sample.Faults) {
		n.server.SetFaults(faults)
		s.after(func() { n.server.SetFaults(sample.Faults{}) })
	}
	platform := func(fault fake.Fault) {
		s.platform.Faults.Inject(fault)
		s.after(s.platform.Faults.Clear)
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
		s.after(s.fabric.Unblock)
	case 4:
		s.fabric.Block(func(from, to string) bool {
			return from != "callers" && (zoneOf(from) == n.zone) != (zoneOf(to) == n.zone)
		})
		s.after(s.fabric.Unblock)
	case 5:
		server(sample.Faults{SlowFactor: 10})
	case 6:
		server(sample.Faults{FailFast: true})
	case 7:
		server(sample.Faults{Draining: true})
	case 8:
		server(sample.Faults{ColdPeriod: chaosLasts, Truncate: true})
	case 9:
		platform(fake.Down{})
	case 10:
		platform(fake.LoseResponse{Scope: fake.Scope{Count: 2}})
		s.operate(n)
	case 11:
		platform(fake.Slow{Delay: 500 * time.Millisecond})
	case 12:
		platform(fake.LoseResponse{Scope: fake.Scope{Probability: 0.3}})
	case 13:
		s.restart(n)
	case 14:
		s.leave(n)
	case 15:
		s.fabric.EachPath(func(from, to string) bool { return from == platformHost || to == platformHost }, (*memnet.Path).Silence)
	default:
		s.operate(n)
	}
}

// restart kills the node's daemon, unless it is down already, and starts it again later.
func (s *system) restart(n *node) {
	if n.daemon.Load().Killed() {
		return
	}
	s.killDaemon(n)
	s.after(func() { s.start(n) })
}

// leave takes the node's server out and in again by configuration, also when the platform fails.
func (s *system) leave(n *node) {
	s.running.Go(func() {
		writer := s.writer("anna")
		_, _ = writer.Server(s.t.Context(), n.settings.Daemons, config.ServerLeaving, change.Options{}) // may be refused
		time.Sleep(chaosLasts)
		_, _ = writer.Server(s.t.Context(), n.settings.Daemons, config.ServerIn, change.Options{}) // may be refused
	})
}

func (s *system) after(end func()) {
	s.running.Go(func() {
		time.Sleep(chaosLasts)
		end()
	})
}

// operate takes the node's zone out and in again, as operators do, also when the platform fails.
func (s *system) operate(n *node) {
	s.running.Go(func() {
		writer := s.writer("operator")
		_, _ = writer.Zone(s.t.Context(), n.zone, config.ZoneOut, change.Options{}) // may be refused
		time.Sleep(chaosLasts)
		_, _ = writer.Zone(s.t.Context(), n.zone, config.ZoneIn, change.Options{}) // may be refused
	})
}
