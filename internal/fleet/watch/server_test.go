package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a new process that waits for a check-in of the server beside it though an earlier one had it, after a kill and after a
// planned stop, and against one that takes over the server of another service, or writes its row without need.
func TestServerInTheRowSurvivesRestart(t *testing.T) {
	run(t, 5, func(g *WithT, f *fleet) {
		const daemon = 3
		f.startSpread, f.peersFirst = 200*time.Millisecond, 20*time.Millisecond
		f.onDepartureRestored = func(int, Departure) {}
		var restored atomic.Pointer[string]
		f.onServerRestored = func(_ int, id string) { restored.Store(&id) }
		restart := func() {
			f.kill(daemon)
			restored.Store(nil)
			f.start(daemon)
			time.Sleep(time.Second)
		}
		restart()
		g.Expect(restored.Load()).To(BeNil())
		f.get(daemon).watch.KeepServer("i-1")
		time.Sleep(time.Second)
		restart()
		g.Expect(restored.Load()).To(HaveValue(Equal("i-1")))
		writes := f.platform.counts().commits
		f.get(daemon).watch.KeepServer("i-1")
		time.Sleep(time.Second)
		g.Expect(f.platform.counts().commits).To(Equal(writes), "the row names the server already")
		g.Expect(f.get(daemon).watch.Withdraw(context.Background())).To(Succeed())
		restart()
		g.Expect(restored.Load()).To(HaveValue(Equal("i-1")))
		f.get(daemon).watch.KeepServer("i-2")
		time.Sleep(time.Second)
		restart()
		g.Expect(restored.Load()).To(HaveValue(Equal("i-2")))
		f.service = "another"
		restart()
		g.Expect(restored.Load()).To(BeNil())
	})
}
