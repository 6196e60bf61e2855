package reach

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pings adds samples every 50 ms, as 5 pings in each 250 ms, for some time. up tells the result of the i-th one.
func pings(r *Reach, from time.Time, d time.Duration, up func(i int) State) time.Time {
	i := 0
	for ; time.Duration(i)*50*time.Millisecond < d; i++ {
		r.Sample(from.Add(time.Duration(i)*50*time.Millisecond), up(i))
	}
	return from.Add(time.Duration(i) * 50 * time.Millisecond)
}

func always(state State) func(int) State {
	return func(int) State { return state }
}

// Guards against an owner that grants the whole rate although it is cut off, and against one that grants it again before the other side
// has found it.
func TestTheShareFallsFastAndRisesSlowly(t *testing.T) {
	g := NewWithT(t)
	var r Reach
	now := pings(&r, start, 2*time.Second, always(Up))
	share, known := r.Share(now, 75)
	g.Expect(known).To(BeTrue())
	g.Expect(share).To(Equal(1.0))

	half := func(i int) State { return []State{Up, Down}[i%2] }
	now = pings(&r, now, 600*time.Millisecond, half)
	share, _ = r.Share(now, 75)
	g.Expect(share).To(BeNumerically("<", 0.7))
	now = pings(&r, now, 5*time.Second, half)
	share, _ = r.Share(now, 75)
	g.Expect(share).To(BeNumerically("~", 0.5, 0.05))

	now = pings(&r, now, 1500*time.Millisecond, always(Up))
	share, _ = r.Share(now, 75)
	g.Expect(share).To(BeNumerically("<", 0.9))
	now = pings(&r, now, 5*time.Second, always(Up))
	share, _ = r.Share(now, 75)
	g.Expect(share).To(BeNumerically(">", 0.9))
}

// Guards against single lost pings, or members that do not run, that lower the cap of an organisation.
func TestLostPingsAndStoppedMembersDoNotLowerTheShare(t *testing.T) {
	g := NewWithT(t)
	var r Reach
	now := start
	for range 20 {
		now = pings(&r, now, time.Second, func(i int) State {
			switch {
			case i == 0:
				return Down
			case i%4 == 1:
				return Refused
			default:
				return Up
			}
		})
		share, _ := r.Share(now, 75)
		g.Expect(share).To(BeNumerically(">=", 0.9))
	}
}

// Guards against a daemon that takes itself for the whole fleet because it reaches nobody.
func TestACutOffDaemonHasTheShareOfOne(t *testing.T) {
	g := NewWithT(t)
	var r Reach
	now := pings(&r, start, time.Second, always(Down))
	share, known := r.Share(now, 75)
	g.Expect(known).To(BeTrue())
	g.Expect(share).To(BeNumerically("~", 1.0/75, 1e-9))
}

// Guards against old results that still count after the daemon has stopped to ping, or after a pause.
func TestResultsExpire(t *testing.T) {
	g := NewWithT(t)
	daemon := netip.MustParseAddrPort("10.1.0.1:9000")
	var r Reach
	r.Record(start, daemon, Down)
	g.Expect(r.State(start.Add(time.Second), daemon, time.Second)).To(Equal(Down))
	g.Expect(r.State(start.Add(time.Second+1), daemon, time.Second)).To(Equal(Unknown))
	now := pings(&r, start, time.Second, always(Down))
	_, known := r.Share(now.Add(2*time.Second), 75)
	g.Expect(known).To(BeFalse())
	r.Reset()
	g.Expect(r.State(start, daemon, time.Second)).To(Equal(Unknown))
}

// Guards against a cap that is cut down because replies to pings are lost on a full link while the other daemons send their requests, and
// against a share that stays high after a partition.
func TestRequestsOfOthersShowThatTheyAreReached(t *testing.T) {
	g := NewWithT(t)
	r := &Reach{}
	now := pings(r, start, 2*time.Second, always(Down))
	share, _ := r.Share(now, 75)
	g.Expect(share).To(BeNumerically("<", 0.05))
	for n := range 70 {
		r.Heard(now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000))
	}
	share, _ = r.Share(now, 75)
	g.Expect(share).To(BeNumerically(">", 0.9))
	now = pings(r, now, heardAge+100*time.Millisecond, always(Down))
	share, _ = r.Share(now, 75)
	g.Expect(share).To(BeNumerically("<", 0.05))
}
