package watch

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
)

// Guards against losing an acknowledged departure of the server when the daemon is killed and restarted, also over several restarts,
// after a planned stop, and when the store is down at the start.
func TestDepartureSurvivesRestart(t *testing.T) {
	run(t, 5, func(g *WithT, f *fleet) {
		f.seeds, f.peersFirst = nil, 20*time.Millisecond
		var mu sync.Mutex
		var restored []Departure
		f.onDepartureRestored = func(i int, d Departure) {
			mu.Lock()
			defer mu.Unlock()
			g.Expect(i).To(Equal(3))
			restored = append(restored, d)
		}
		restorations := func() []Departure {
			mu.Lock()
			defer mu.Unlock()
			return restored
		}
		restart := func() { f.kill(3); f.start(3); time.Sleep(10 * time.Second) }
		restart()
		g.Expect(restorations()).To(BeEmpty())
		left := Departure{Server: "i-1", Born: time.UnixMilli(1_700_000_000_123)}
		g.Expect(f.get(3).watch.PersistDeparture(context.Background(), left)).To(Succeed())
		writes := f.platform.counts().commits
		g.Expect(f.get(3).watch.PersistDeparture(context.Background(), left)).To(Succeed())
		g.Expect(f.platform.counts().commits).To(Equal(writes), "the departure is already in the row")
		restart()
		g.Expect(restorations()).To(Equal([]Departure{left}))
		g.Expect(f.get(3).watch.Withdraw(context.Background())).To(Succeed())
		restart()
		g.Expect(restorations()).To(HaveLen(2))
		f.platform.set(func(p *fakePlatform) { p.down = true })
		restart()
		g.Expect(restorations()).To(HaveLen(2))
		f.platform.set(func(p *fakePlatform) { p.down = false })
		time.Sleep(maxBackoff)
		g.Expect(restorations()).To(HaveLen(3))
	})
}

// Guards against a departure that was acknowledged while the store was away, or was lost by it, and is unknown after the next restart.
func TestDepartureInOutageSurvivesRestart(t *testing.T) {
	datadriven.RunTest(t, "testdata/departures", func(t *testing.T, d *datadriven.TestData) string {
		text := "not restored\n"
		var restored atomic.Pointer[string] // nil unless a daemon has restored a departure
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(1)
			f.platform.change()
			f.onDepartureRestored = func(i int, d Departure) {
				text := fmt.Sprintf("daemon %d restored %s\n", i, d.Server)
				restored.Store(&text)
			}
			f.startAll(t, 5, true)
			time.Sleep(10 * time.Second)
			for step := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
				runDepartureStep(g, f, step, &restored)
			}
			if last := restored.Load(); last != nil {
				text = *last
			}
			if _, found := f.platform.row(3); !found {
				text += "no row\n"
			}
		})
		return text
	})
}

func runDepartureStep(g *WithT, f *fleet, step string, restored *atomic.Pointer[string]) {
	const daemon = 3
	switch name, argument, _ := strings.Cut(step, " "); name {
	case "down":
		f.platform.setDown(true)
	case "up":
		f.platform.setDown(false)
	case "leave":
		err := f.get(daemon).watch.PersistDeparture(context.Background(), Departure{Server: argument})
		g.Expect(err).To(HaveOccurred())
	case "depart":
		g.Expect(f.get(daemon).watch.PersistDeparture(context.Background(), Departure{Server: argument})).To(Succeed())
	case "copy":
		f.platform.set(func(p *fakePlatform) { p.copied = maps.Clone(p.rows) })
	case "restore":
		f.platform.set(func(p *fakePlatform) { clear(p.rows); maps.Copy(p.rows, p.copied) })
	case "era":
		era, err := strconv.ParseUint(argument, 10, 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(f.get(0).node.AcceptSet(files.Set{Revision: epoch.Revision(era, 1)})).To(Succeed())
		time.Sleep(DefaultStartSpread + time.Second)
	case "acknowledge":
		g.Expect(f.get(daemon).watch.KeepDeparture(context.Background(), Departure{Server: argument})).To(Succeed())
	case "refuse":
		start := time.Now()
		g.Expect(f.get(daemon).watch.KeepDeparture(context.Background(), Departure{Server: argument})).NotTo(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second), "the server waits 1 s")
	case "cut":
		f.split(func(i int) bool { return i == daemon })
	case "heal":
		f.split(nil)
	case "wait":
		d, err := time.ParseDuration(argument)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(d)
	case "withdraw":
		g.Expect(f.get(daemon).watch.Withdraw(context.Background())).To(Succeed())
	case "restart":
		f.kill(daemon)
		f.start(daemon)
		time.Sleep(10 * time.Second)
	case "restart-all":
		for i := range 5 {
			f.kill(i)
		}
		for i := range 5 {
			f.start(i)
		}
		time.Sleep(10 * time.Second)
	case "restart-others":
		for i := range daemon {
			f.kill(i)
			f.start(i)
			time.Sleep(2 * time.Second)
		}
	case "forget":
		restored.Store(nil)
	default:
		g.Expect(step).To(BeEmpty(), "unknown step")
	}
}

// Guards against a daemon overwriting the departure in its row before it has read it.
func TestAnnouncementKeepsDeparture(t *testing.T) {
	run(t, 5, func(g *WithT, f *fleet) {
		left := Departure{Server: "i-1"}
		f.onDepartureRestored = func(int, Departure) {}
		g.Expect(f.get(3).watch.PersistDeparture(context.Background(), left)).To(Succeed())
		f.kill(3)
		f.start(3) // peers send the members before the table is read
		time.Sleep(DefaultStartSpread + time.Second)
		row, found := f.platform.row(3)
		g.Expect(found).To(BeTrue())
		a, err := decodeAnnouncement(row.Value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(a.Departure).To(Equal(left))
	})
}

// Guards against an announcement that is delayed until the attempts to join dead peers from the table have timed out.
func TestDeadPeersDoNotDelayTheAnnouncement(t *testing.T) {
	run(t, 5, func(g *WithT, f *fleet) {
		for i := range 5 {
			f.kill(i)
		}
		f.seeds, f.peersFirst, f.startSpread = nil, 20*time.Millisecond, 200*time.Millisecond
		f.onDepartureRestored = func(int, Departure) {}
		f.start(5)
		announced := until(10*time.Second, func() bool { _, found := f.platform.row(5); return found })
		g.Expect(announced).To(BeNumerically("<", 500*time.Millisecond))
	})
}
