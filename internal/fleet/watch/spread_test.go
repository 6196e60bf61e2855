package watch

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// spreadBound is the target of invariant 9: 3 s with the platform up.
const spreadBound = 3 * time.Second

// coldMembers adds a fleet of this size that starts cold, for measurements that take too long for every run.
var coldMembers = flag.Int("cold-members", 0, "also start a fleet of this size at once")

// Guards against news that stop spreading, and against reads and traffic that grow with the fleet: changes are in force
// everywhere within the bound after the first poller saw them, and the head is read within the budget of the fleet, also
// when the platform fails and every observation goes stale at once. The smaller fleets start at once and knowing nobody.
func TestFleetOfEachSize(t *testing.T) {
	t.Parallel()
	sizes := []int{13, 100, 1000}
	if *coldMembers > 0 {
		sizes = append(sizes, *coldMembers)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { testFleetOfSize(t, n, n == 1000) })
		})
	}
}

func testFleetOfSize(t *testing.T, n int, warm bool) {
	g := NewWithT(t)
	f := newFleet(7)
	begun := time.Now()
	f.platform.change()
	f.startAll(t, n, warm)
	met := until(time.Minute, f.allKnow(n))
	g.Expect(met).To(BeNumerically("<", 30*time.Second))
	g.Expect(until(time.Minute, f.inForce(1))).To(BeNumerically("<", 20*time.Second))
	time.Sleep(time.Second)
	start := f.traffic()
	time.Sleep(2 * time.Second)
	rest := float64(f.traffic()-start) / 2 / float64(n)
	begin := time.Now()
	start = f.traffic()
	revision := f.platform.change()
	g.Expect(until(10*time.Second, f.inForce(revision))).To(BeNumerically("<", 10*time.Second))
	time.Sleep(500 * time.Millisecond)
	change := float64(f.traffic()-start)/float64(n) - rest*time.Since(begin).Seconds()
	g.Expect(f.spread(revision)).To(BeNumerically("<=", spreadBound))
	f.platform.setDown(true)
	time.Sleep(3500 * time.Millisecond)
	g.Expect(f.platform.mostHeads(begun, time.Second)).To(BeNumerically("<=", config.DefaultHeadReads))
	g.Expect(f.lowered).To(Equal(0))
	counts := f.platform.counts()
	t.Logf("members=%d met=%v spread=%v rest=%.0f B/s and daemon change=%.0f B and daemon head-reads=%.1f/s most in 1 s=%d %+v",
		n, met, f.spread(revision), rest, change, float64(counts.heads)/time.Since(begun).Seconds(),
		f.platform.mostHeads(begun, time.Second), counts)
}

// traffic is the estimated bytes that were sent so far. Each byte is sent by one daemon and received by another.
func (f *fleet) traffic() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2 * f.bytes
}

// spread is the time from the first read of the revision until the last daemon had it in force.
func (f *fleet) spread(revision uint64) time.Duration {
	seen := f.platform.firstSeen(revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied[revision].Sub(seen)
}
