package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// Guards against followers whose waits end at the same time, so that a short silence of the source takes the reads of all of them.
func TestFollowersTakeTurns(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(followZones)
	zones := map[int]string{}
	for i := range followSize {
		members := &member.Table{}
		members.SetSelf(f.record(i))
		for other := range followSize {
			if other != i {
				members.Apply(f.record(other))
			}
		}
		current := computeRole(members)
		g.Expect(current.followers).To(Equal(followZones * followersPerZone))
		if current.follower {
			g.Expect(zones).NotTo(HaveKey(current.rank))
			zones[current.rank] = members.Self().Zone
		}
	}
	g.Expect(zones).To(HaveLen(followZones * followersPerZone))
	for rank := 1; rank < len(zones); rank++ {
		g.Expect(zones[rank]).NotTo(Equal(zones[rank-1]), "successive turns in one zone")
	}
}

// Guards against waits that do not follow the turns, and against a source that is read in a busy loop.
func TestTurns(t *testing.T) {
	reasons := map[string]followReason{}
	for reason := notFollowing; reason <= noReadKnown; reason++ {
		reasons[reason.String()] = reason
	}
	var current turn
	datadriven.RunTest(t, "testdata/turns", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "reset":
			current = turn{}
		case "wait":
			var reason string
			role := role{follower: d.HasArg("rank")}
			d.ScanArgs(t, "reason", &reason)
			d.MaybeScanArgs(t, "rank", &role.rank)
			d.MaybeScanArgs(t, "followers", &role.followers)
			return fmt.Sprintln(current.wait(reasons[reason], role))
		case "answered":
			var revision uint64
			d.ScanArgs(t, "revision", &revision)
			return describePause(d, current.answered(revision, duration(d, "took")))
		case "failed":
			return describePause(d, current.failed(duration(d, "took")))
		}
		return ""
	})
}

// describePause compares a pause with the argument pause, from which it may vary at random.
func describePause(d *datadriven.TestData, pause time.Duration) string {
	nominal := float64(duration(d, "pause"))
	if float64(pause) >= nominal*(1-jitterShare) && float64(pause) <= nominal*(1+jitterShare) {
		return "as expected\n"
	}
	return fmt.Sprintln(pause)
}
