package watch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// spreadBound is the target of invariant 9: 3 s with the platform up.
const spreadBound = 3 * time.Second

// Guards against news that stop spreading, and against reads and traffic that grow with the fleet: all daemons start at
// once, learn each other, and put changes in force within the bound after the first poller saw them.
func TestFleetOfEachSize(t *testing.T) {
	for _, n := range []int{13, 100, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { fleetOfSize(t, n) })
		})
	}
}

func fleetOfSize(t *testing.T, n int) {
	g := NewWithT(t)
	f := newFleet(7)
	begun := time.Now()
	f.platform.change()
	f.startAll(t, n)
	met := until(time.Minute, f.knows(n))
	g.Expect(met).To(BeNumerically("<", 20*time.Second))
	g.Expect(until(time.Minute, f.inForce(1))).To(BeNumerically("<", 20*time.Second))
	time.Sleep(20 * time.Second)

	start := f.traffic()
	time.Sleep(5 * time.Second)
	rest := f.traffic() - start
	start = f.traffic()
	spread := time.Duration(0)
	const changes = 5
	for range changes {
		revision := f.platform.change()
		g.Expect(until(10*time.Second, f.inForce(revision))).To(BeNumerically("<", 10*time.Second))
		spread = max(spread, f.spread(revision))
		time.Sleep(time.Second)
	}
	g.Expect(spread).To(BeNumerically("<=", spreadBound))
	elapsed := time.Since(begun)
	perDaemon := 1 / float64(n)
	t.Logf("members=%d met=%v spread=%v rest=%.0f B/s and daemon; 5 changes=%.0f B and daemon with about 6 s each at rest",
		n, met, spread, float64(rest)*perDaemon/5, float64(f.traffic()-start)*perDaemon)

	g.Expect(f.platform.mostHeads(begun, time.Second)).To(BeNumerically("<=", 40))
	g.Expect(f.lowered).To(Equal(0))
	t.Logf("head reads/s=%.1f most in 1 s=%d range reads=%d commits=%d fetches=%d", float64(len(f.platform.heads))/elapsed.Seconds(),
		f.platform.mostHeads(begun, time.Second), f.platform.ranges, f.platform.commits, f.platform.outside)

	f.kill(n / 2)
	gone := until(time.Minute, f.state(n/2, member.Gone))
	t.Logf("killed to gone everywhere=%v", gone)
	g.Expect(gone).To(BeNumerically("<=", goneBound))
}

// goneBound is 10 s of suspicion after the failure is noticed: some daemon picks the dead one within 9 s in all but one of
// 8,000 cases, the attempts take 3 s, and the news 3 s.
const goneBound = 25 * time.Second

// traffic is the estimated bytes that were sent so far. Each byte is sent by one daemon and received by another.
func (f *fleet) traffic() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 2 * f.bytes
}

// spread is the time from the first read of the revision until the last daemon had it in force.
func (f *fleet) spread(revision uint64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied[revision].Sub(f.platform.seen[revision])
}
