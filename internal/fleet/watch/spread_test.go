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

// spreadBound is the time within which a change must be in force everywhere while the platform is up (invariant 9).
const spreadBound = 3 * time.Second

// coldMembers is the size of an additional fleet that starts without known members, for measurements too long for every run.
var coldMembers = flag.Int("cold-members", 0, "also test a fleet of this size that starts at once without known members")

// Guards against updates that stop spreading, and against reads and traffic that grow with the fleet. Changes must be in force everywhere
// within spreadBound after the first poller read them. The head must be read within the fleet's budget, also when the platform fails
// and every head observation becomes stale at once. Except for the fleet of 1000, the daemons start at once without known members.
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
	testStart := time.Now()
	f.platform.change()
	f.startAll(t, n, warm)
	discovery := until(time.Minute, f.allKnow(n))
	g.Expect(discovery).To(BeNumerically("<", 30*time.Second))
	g.Expect(until(time.Minute, f.inForce(1))).To(BeNumerically("<", 20*time.Second))
	time.Sleep(time.Second)
	start := f.traffic()
	time.Sleep(2 * time.Second)
	idleRate := float64(f.traffic()-start) / 2 / float64(n)
	changeStart := time.Now()
	start = f.traffic()
	revision := f.platform.change()
	g.Expect(until(10*time.Second, f.inForce(revision))).To(BeNumerically("<", 10*time.Second))
	time.Sleep(500 * time.Millisecond)
	change := float64(f.traffic()-start)/float64(n) - idleRate*time.Since(changeStart).Seconds()
	g.Expect(f.spread(revision)).To(BeNumerically("<=", spreadBound))
	f.platform.setDown(true)
	time.Sleep(3500 * time.Millisecond)
	g.Expect(f.platform.mostHeads(testStart, time.Second)).To(BeNumerically("<=", config.DefaultHeadReads))
	g.Expect(f.lowered).To(Equal(0))
	counts := f.platform.counts()
	t.Logf("members=%d met=%v spread=%v rest=%.0f B/s and daemon change=%.0f B and daemon head-reads=%.1f/s most in 1 s=%d %+v",
		n, discovery, f.spread(revision), idleRate, change, float64(counts.heads)/time.Since(testStart).Seconds(),
		f.platform.mostHeads(testStart, time.Second), counts)
}

// traffic returns the estimated bytes sent and received by all daemons so far. Each byte is sent by one daemon and received by
// another.
func (f *fleet) traffic() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2 * f.bytes
}

// spread returns the time from the first head read of the revision until the last daemon had it in force.
func (f *fleet) spread(revision uint64) time.Duration {
	seen := f.platform.firstSeen(revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied[revision].Sub(seen)
}
