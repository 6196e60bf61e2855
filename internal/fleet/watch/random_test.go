package watch

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

type fault struct {
	kind   string
	daemon int
	wait   time.Duration
}

var schedules = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
	kinds := []string{"kill", "start", "pause", "resume", "split", "heal", "loss", "change", "leave", "down", "up"}
	return fault{
		kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
		daemon: rapid.IntRange(3, 9).Draw(t, "daemon"),
		wait:   time.Duration(rapid.IntRange(10, 12_000).Draw(t, "milliseconds")) * time.Millisecond,
	}
}), 15, 25)

// Guards against combinations of faults after which the daemons disagree, lose a departure, or go back to a lower revision.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range 12 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			schedule := schedules.Example(seed)
			run(t, 10, func(g *WithT, f *fleet) {
				left := make(map[int]bool)
				for _, fault := range schedule {
					f.apply(fault, left)
					time.Sleep(fault.wait)
				}
				f.recover()
				running := f.count(func(*daemon) bool { return true })
				revision := uint64(len(f.platform.changes))
				agree := func() bool {
					digests := f.get(0).table.Digests()
					same := f.count(func(d *daemon) bool { return fmt.Sprint(d.table.Digests()) == fmt.Sprint(digests) })
					return same == running && f.allKnow(running)() && f.inForce(revision)()
				}
				g.Expect(until(2*time.Minute, agree)).To(BeNumerically("<=", time.Minute), "%v", schedule)
				for i := range left {
					g.Expect(f.state(i, member.Leaving)()).To(BeTrue(), "daemon %d left: %v", i, schedule)
				}
			})
		})
	}
}

func (f *fleet) apply(fault fault, left map[int]bool) {
	d := f.get(fault.daemon)
	running := d != nil && d.paused == nil
	switch kind := fault.kind; {
	case kind == "kill" && running:
		f.kill(fault.daemon)
		delete(left, fault.daemon)
	case kind == "start" && d == nil:
		f.start(fault.daemon)
	case kind == "pause" && running:
		f.pause(fault.daemon)
	case kind == "resume" && d != nil && !running:
		f.resume(fault.daemon)
	case kind == "split":
		f.split(func(i int) bool { return i >= fault.daemon })
	case kind == "heal":
		f.split(nil)
	case kind == "loss":
		f.setLoss(0.2)
	case kind == "change":
		f.platform.change()
	case kind == "leave" && running && d.node.Leave(context.Background()) == nil:
		left[fault.daemon] = true
	case kind == "down", kind == "up":
		f.platform.setDown(kind == "down")
	}
}

func (f *fleet) setLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = share
}

func (f *fleet) recover() {
	f.platform.setDown(false)
	f.setLoss(0)
	f.split(nil)
	for i := range 10 {
		if d := f.get(i); d != nil && d.paused != nil {
			f.resume(i)
		}
	}
}
