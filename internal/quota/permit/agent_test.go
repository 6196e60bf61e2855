package permit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

func constant(rate float64) func() float64 {
	return func() float64 { return rate }
}

func (f *fleet) anywhere() *process {
	return f.daemons[f.rand(len(f.daemons))]
}

// Guards against an organisation that does not get its cap because its whole traffic arrives at one daemon, or because that daemon moves,
// and against one that gets more.
func TestTrafficAtOneDaemonGetsTheCap(t *testing.T) {
	for _, rate := range []float64{2, 16, 250} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(t, 1, 9, organisation("kiosk", rate))
				time.Sleep(3 * time.Second)
				const seconds = 60
				f.send("kiosk", seconds*time.Second, constant(4*rate), func() *process {
					return f.daemons[time.Now().Unix()/20%9]
				})
				time.Sleep(time.Second) // until the last requests have ended
				ran, refused := float64(f.ran("kiosk")), f.refusals("kiosk")
				t.Logf("rate %g: ran %.3f of the cap, refused %d of %d, %d messages", rate, ran/rate/seconds, refused, f.requests("kiosk"),
					f.messageCount())
				g.Expect(ran / rate / seconds).To(BeNumerically(">=", 0.95))
				_, share := f.worst("kiosk")
				g.Expect(share).To(BeNumerically("<=", 1))
			})
		})
	}
}

// Guards against requests below the cap that are refused because another organisation sends 7.5 times its usual traffic, or because
// traffic is uneven and moves.
func TestAHotOrganisationTakesNothingFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rates := map[string]float64{"hot": 50, "even": 50, "moving": 50, "small": 3}
		var organisations []*config.Organisation
		for name, rate := range rates {
			organisations = append(organisations, organisation(name, rate))
		}
		f := newFleet(t, 2, 15, organisations...)
		time.Sleep(3 * time.Second)
		const duration = 30 * time.Second
		var sending sync.WaitGroup
		sending.Go(func() { f.send("hot", duration, constant(0.6*50*7.5), f.anywhere) })
		sending.Go(func() { f.send("even", duration, constant(0.6*50), f.anywhere) })
		sending.Go(func() { // at regular intervals, because a random sum of so few requests exceeds the cap
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second / 2) {
				p := f.anywhere()
				f.work.Go(func() { f.request(p, "small") })
			}
		})
		sending.Go(func() {
			f.send("moving", duration, constant(0.6*50), func() *process { return f.daemons[time.Now().UnixMilli()/700%15] })
		})
		sending.Wait()
		time.Sleep(time.Second)
		f.mu.Lock()
		t.Logf("sent %v, refused %v, %d messages", f.sent, f.refused, f.messages)
		f.mu.Unlock()
		for name := range rates {
			_, share := f.worst(name)
			g.Expect(share).To(BeNumerically("<=", 1), name)
		}
		for _, name := range []string{"even", "moving", "small"} {
			g.Expect(f.refusals(name)).To(BeZero(), name)
		}
		g.Expect(f.ran("hot")).To(BeNumerically(">=", 0.95*50*30))
	})
}

// Guards against requests below the cap that are refused because all packets of one round to the owner were lost, which runs.
func TestLostPacketsRefuseNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 1, 5, organisation("kiosk", 50))
		time.Sleep(3 * time.Second)
		ranked := f.daemons[0].agent.view(time.Now()).ranked("kiosk")
		owner, router := f.at(ranked[0]), f.at(ranked[len(ranked)-1])
		const rounds = 5
		for range rounds {
			f.mu.Lock()
			f.late = map[link]int{{router, owner}: 1 + maxRepeats}
			f.mu.Unlock()
			f.request(router, "kiosk")
			time.Sleep(3 * time.Second)
		}
		g.Expect(f.requests("kiosk")).To(Equal(rounds))
		g.Expect(f.refusals("kiosk")).To(BeZero())
	})
}

// Guards against a planned stop that waits for the replies of daemons which are silent.
func TestTheStopWaitsForNoPing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(t, 1, 3, organisation("kiosk", 50))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.daemons[0].agent.Run(ctx) }()
		f.send("kiosk", 3*time.Second, constant(50), f.anywhere)
		f.daemons[1].kill(true)
		f.daemons[2].kill(true)
		f.send("kiosk", pingTimeout, constant(50), func() *process { return f.daemons[0] })
		f.daemons[0].kill(true) // so that Run alone ticks its agent
		cancel()
		began := time.Now()
		g.Expect(<-done).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", tickInterval))
	})
}

// Guards against more requests than the bound in any window while daemons are cut off, paused, killed, restarted and lose their owner.
func TestTheBoundHoldsThroughFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

const faultSize = 15

func runFaults(t *testing.T, seed uint64) {
	g := NewWithT(t)
	rates := map[string]float64{"large": 250, "middle": 50, "small": 10, "least": 2, "usual": 50}
	var organisations []*config.Organisation
	for name, rate := range rates {
		organisations = append(organisations, organisation(name, rate))
	}
	f := newFleet(t, seed, faultSize, organisations...)
	time.Sleep(3 * time.Second)
	const duration = 90 * time.Second
	var sending sync.WaitGroup
	for name, rate := range rates {
		surge := func() float64 { // full buckets, then many times the cap
			if name == "usual" || time.Now().UnixMilli()/3500%2 == 0 {
				return 0.6 * rate
			}
			return 5 * rate
		}
		sending.Go(func() { f.send(name, duration, surge, f.anywhere) })
	}
	sending.Go(func() { f.injectFaults(duration) })
	sending.Wait()
	f.mu.Lock()
	t.Logf("sent %v, refused %v, %d messages", f.sent, f.refused, f.messages)
	f.mu.Unlock()
	for name := range rates {
		most, share := f.worst(name)
		t.Logf("%s: at most %d in a window, %.2f of the bound", name, most, share)
		g.Expect(share).To(BeNumerically("<=", 1), name)
	}
}

// injectFaults injects faults one after the other.
func (f *fleet) injectFaults(d time.Duration) {
	for end := time.Now().Add(d - 20*time.Second); time.Now().Before(end); f.daemons[0].sleep(f.between(time.Second, 4*time.Second)) {
		chosen := f.perm(faultSize)[:faultSize/3]
		owner := f.owner()
		switch f.rand(6) {
		case 0: // each from all others
			for side, i := range chosen {
				f.daemons[i].setSide(side + 1)
			}
			f.heal()
		case 1: // two halves
			for _, i := range f.perm(faultSize)[:faultSize/2] {
				f.daemons[i].setSide(1)
			}
			f.heal()
		case 2:
			for _, i := range chosen {
				f.work.Go(func() { f.daemons[i].pause(8 * time.Second) })
			}
			f.daemons[0].sleep(9 * time.Second)
		case 3:
			owner.pause(8 * time.Second)
		case 4:
			owner.kill(f.rand(2) == 0)
			f.daemons[0].sleep(f.between(300*time.Millisecond, 4*time.Second))
			owner.start(uint64(f.rand(1 << 30)))
		case 5:
			owner.setSide(1)
			f.heal()
		}
	}
}

func (f *fleet) heal() {
	f.daemons[0].sleep(12 * time.Second)
	for _, p := range f.daemons {
		p.setSide(0)
	}
}

// owner returns the owner of the organisation with the largest cap.
func (f *fleet) owner() *process {
	p := f.daemons[0]
	p.mu.Lock()
	agent := p.agent
	p.mu.Unlock()
	first := agent.view(time.Now()).ranked("large")[0]
	return f.daemons[first.Addr().As4()[3]-1]
}
