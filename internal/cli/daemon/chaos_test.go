package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

const (
	chaosFaults = 12
	chaosGap    = time.Second // between faults; each lasts longer, so that pairs of them overlap
	chaosLasts  = 2500 * time.Millisecond
)

// Guards against a request that runs twice, a false not-run, a response to another request, and a configuration that
// reverts, while random faults overlap.
func TestTruthUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { chaos(t, seed) })
		})
	}
}

func chaos(t *testing.T, seed uint64) {
	s := newSystem(t, 3, "stock", "orders")
	time.Sleep(5 * time.Second)
	random := rand.New(rand.NewPCG(seed, seed))
	revisions := s.watchRevisions()
	done := s.load(s.plan(150, (chaosFaults+4)*chaosGap))
	for range chaosFaults {
		time.Sleep(chaosGap)
		s.fault(random)
	}
	result := <-done
	s.expectTruth(result)
	s.Expect(revisions()).To(BeEmpty(), "revisions that fell")
	time.Sleep(12 * time.Second) // the bound for a configuration to be in force everywhere
	head, err := s.writer("check").Show(t.Context(), 0)
	s.Expect(err).NotTo(HaveOccurred())
	for _, n := range s.nodes {
		s.Expect(s.revision(n)).To(Equal(head.Revision), n.host)
	}
}

// fault starts a random fault, which ends by itself.
func (s *system) fault(random *rand.Rand) {
	n := s.nodes[random.IntN(len(s.nodes))]
	server := func(faults sample.Faults) {
		n.server.Set(faults)
		s.after(func() { n.server.Set(sample.Faults{}) })
	}
	platform := func(fault fake.Fault) {
		s.platform.Faults.Inject(fault)
		s.after(s.platform.Faults.Clear)
	}
	toNode := func(from, to string) bool { return betweenDaemons(from, to) && (from == n.host || to == n.host) }
	switch random.IntN(12) {
	case 0:
		s.fabric.each(betweenDaemons, (*path).silence)
	case 1:
		s.fabric.each(toNode, (*path).silence)
	case 2:
		s.fabric.each(betweenDaemons, (*path).cut)
	case 3:
		s.fabric.block(toNode)
		s.after(s.fabric.heal)
	case 4:
		s.fabric.block(func(from, to string) bool {
			return from != "callers" && (zoneOf(from) == n.zone) != (zoneOf(to) == n.zone)
		})
		s.after(s.fabric.heal)
	case 5:
		server(sample.Faults{SlowFactor: 10})
	case 6:
		server(sample.Faults{FailFast: true})
	case 7:
		server(sample.Faults{Draining: true})
	case 8:
		server(sample.Faults{Cold: chaosLasts, Truncate: true})
	case 9:
		platform(fake.Down{})
	case 10:
		platform(fake.LoseResponse{Scope: fake.Scope{Count: 2}})
		s.operate(n)
	default:
		s.operate(n)
	}
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

func (f *fabric) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = func(string, string) bool { return false }
}
