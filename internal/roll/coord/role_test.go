package coord

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

// Guards against work where no order is configured, and against a coordinator that goes on after the end of an order.
func TestNoOrderNeedsNoMessage(t *testing.T) {
	inFleet(t, 2, 2, func(f *fleet) {
		f.configure(nil)
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			f.Expect(n.coordinator.Counts().Rounds).To(BeZero())
			f.Expect(n.agent.Refusing()).To(BeNil())
		}
		f.Expect(f.row()).To(BeEmpty())
	})
}

// Guards against two permanent coordinators, none, and a successor that waits longer than 1 s for each predecessor.
func TestCoordinatorIsReplaced(t *testing.T) {
	for name, disturb := range map[string]struct{ begin, end func(n *node) }{
		"killed":            {(*node).kill, func(*node) {}},
		"paused":            {(*node).pause, (*node).resume},
		"cut":               {func(n *node) { n.cut.Store(true) }, func(n *node) { n.cut.Store(false) }},
		"store unreachable": {func(n *node) { n.storeDown.Store(true) }, func(n *node) { n.storeDown.Store(false) }},
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 3, 3, func(f *fleet) {
				ordered := order(1)
				ordered.Duration = time.Minute
				f.configure(ordered)
				time.Sleep(600 * time.Millisecond)
				f.Expect(f.active()).To(HaveLen(1))
				f.Expect(f.row()).To(Equal("trial"))
				first := f.active()[0]
				disturb.begin(first)
				time.Sleep(4 * time.Second)
				var others []*node
				for _, n := range f.active() {
					if n != first {
						others = append(others, n)
					}
				}
				f.Expect(others).To(HaveLen(1), "successor")
				time.Sleep(5 * time.Second)
				disturb.end(first)
				time.Sleep(2 * time.Second)
				f.Expect(f.active()).To(HaveLen(1), "after the end of the disturbance")
			})
		})
	}
}

// Guards against a fleet without rounds, and one in which every daemon sends rounds, while no daemon reaches the table.
func TestRoundsGoOnWithoutTable(t *testing.T) {
	inFleet(t, 3, 3, func(f *fleet) {
		ordered := order(1)
		ordered.Duration = time.Minute
		f.configure(ordered)
		time.Sleep(time.Second)
		f.platform.Faults.Inject(fake.Down{})
		for range 30 {
			time.Sleep(time.Second)
			f.Expect(len(f.active())).To(BeNumerically("<=", 2))
		}
		f.Expect(f.active()).NotTo(BeEmpty())
		f.platform.Faults.Clear()
		time.Sleep(7 * time.Second)
		f.Expect(f.active()).To(HaveLen(1))
	})
}

// Guards against a withdrawn order whose target returns to service.
func TestWithdrawnOrderEndsAsRolledBack(t *testing.T) {
	inFleet(t, 2, 2, func(f *fleet) {
		f.configure(order(1))
		time.Sleep(2 * time.Second)
		f.configure(nil)
		time.Sleep(2 * time.Second)
		f.Expect(f.row()).To(Equal("rolled-back"))
		for _, n := range f.nodes {
			f.Expect(n.agent.Refusing() != nil).To(Equal(n.release == newRelease), n.release)
			f.Expect(n.coordinator.finishedNow()).To(BeTrue())
		}
		f.configure(&config.Rollout{Service: "stock", Target: "r3", Duration: 15 * time.Second, Order: 2})
		time.Sleep(2 * time.Second)
		for _, n := range f.nodes {
			f.Expect(n.agent.Refusing() != nil).To(Equal(n.release == newRelease), "release %s under another order", n.release)
		}
	})
}

func (c *Coordinator) finishedNow() bool {
	view, found := c.Agent.View()
	return !found || c.finished(view)
}
