package watch

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a daemon that is killed after it has acknowledged its server's departure and knows nothing of it when it runs again,
// also after several restarts, a planned one among them, and with a store that is down when it starts.
func TestDepartureSurvivesRestart(t *testing.T) {
	run(t, 5, func(g *WithT, f *fleet) {
		f.seeds, f.first = nil, 20*time.Millisecond
		var mu sync.Mutex
		var restored []Departure
		f.departed = func(i int, d Departure) {
			mu.Lock()
			defer mu.Unlock()
			g.Expect(i).To(Equal(3))
			restored = append(restored, d)
		}
		told := func() []Departure {
			mu.Lock()
			defer mu.Unlock()
			return restored
		}
		restart := func() { f.kill(3); f.start(3); time.Sleep(10 * time.Second) }
		restart()
		g.Expect(told()).To(BeEmpty())
		left := Departure{Server: "i-1", Born: time.UnixMilli(1_700_000_000_123)}
		g.Expect(f.get(3).watch.PersistDeparture(context.Background(), left)).To(Succeed())
		writes := f.platform.counts().commits
		g.Expect(f.get(3).watch.PersistDeparture(context.Background(), left)).To(Succeed())
		g.Expect(f.platform.counts().commits).To(Equal(writes), "it is written once")
		restart()
		g.Expect(told()).To(Equal([]Departure{left}))
		g.Expect(f.get(3).watch.Withdraw(context.Background())).To(Succeed())
		restart()
		g.Expect(told()).To(HaveLen(2))
		f.platform.set(func(p *fakePlatform) { p.down = true })
		restart()
		g.Expect(told()).To(HaveLen(2))
		f.platform.set(func(p *fakePlatform) { p.down = false })
		time.Sleep(maxBackoff)
		g.Expect(told()).To(HaveLen(3))
	})
}

// Guards against a departure that is overwritten by the announcement of a daemon that has not read it.
func TestAnnouncementKeepsDeparture(t *testing.T) {
	run(t, 5, func(g *WithT, f *fleet) {
		left := Departure{Server: "i-1"}
		f.departed = func(int, Departure) {}
		g.Expect(f.get(3).watch.PersistDeparture(context.Background(), left)).To(Succeed())
		f.kill(3)
		f.start(3) // peers hand over the members before the table is read
		time.Sleep(DefaultStartSpread + time.Second)
		row, found := f.platform.row(3)
		g.Expect(found).To(BeTrue())
		a, err := decodeAnnouncement(row.Value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.Departure).To(Equal(left))
	})
}

// Guards against an announcement that waits until the dead peers in the table have not answered.
func TestDeadPeersDoNotDelayTheAnnouncement(t *testing.T) {
	run(t, 5, func(g *WithT, f *fleet) {
		for i := range 5 {
			f.kill(i)
		}
		f.seeds, f.first, f.within = nil, 20*time.Millisecond, 200*time.Millisecond
		f.departed = func(int, Departure) {}
		f.start(5)
		announced := until(10*time.Second, func() bool { _, found := f.platform.row(5); return found })
		g.Expect(announced).To(BeNumerically("<", 500*time.Millisecond))
	})
}
