package coord

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
)

const (
	rate     = 400 // requests/s
	duration = 15 * time.Second

	beforeOrder = 2 * time.Second // of the load
)

// badRelease fails a share of the requests.
func badRelease(share float64) func(*node) (bool, time.Duration) {
	return func(*node) (bool, time.Duration) {
		return rand.Float64() < share, serviceTime/2 + rand.N(serviceTime)
	}
}

// slowRelease takes several times as long.
func slowRelease(*node) (bool, time.Duration) {
	return false, 8 * (serviceTime/2 + rand.N(serviceTime))
}

// begin starts a load before the order, as in an installation, and gives the order.
func (f *fleet) begin(ordered *config.Rollout) {
	f.configure(nil)
	f.load(rate, 3*duration)
	time.Sleep(beforeOrder)
	f.configure(ordered)
	f.requests.Store(0)
	f.toTarget.Store(0)
	f.afterBad.Store(0)
	f.bad.Store(0)
	f.fiftieth.Store(0)
}

// expectBelowBound checks the exposure to a release that was not completed.
func (f *fleet) expectBelowBound() {
	f.t.Helper()
	f.t.Logf("%d of %d requests at target servers, %d failures, %d refused",
		f.toTarget.Load(), f.requests.Load(), f.bad.Load(), f.refused.Load())
	f.Expect(float64(f.toTarget.Load())).To(BeNumerically("<=", 0.1*float64(f.requests.Load())+50), "exposure")
	f.Expect(f.afterBad.Load()).To(BeZero(), "requests later than 5 s after the 50th bad response")
}

// lose makes the table lose the row, and tells all daemons its new era.
func (f *fleet) lose(era uint64, ordered *config.Rollout) {
	f.Expect(f.platform.Table.Commit(f.ctx, table.Txn{Deletes: []string{rowKey}})).To(Succeed())
	f.revision = epoch.Revision(era, 0)
	f.configure(ordered)
	time.Sleep(2 * storePoll)
}

// Guards against a phase that the table has lost and that nobody writes again, before and after the end of the roll-out.
func TestLostPhaseIsWrittenAgain(t *testing.T) {
	inFleet(t, 5, 5, func(f *fleet) {
		f.begin(order(1))
		time.Sleep(duration / 5)
		f.lose(1, order(1))
		f.Expect(f.row()).To(Equal("trial"))
		time.Sleep(duration + finalRounds)
		f.lose(2, order(1))
		f.expectAll(phase.Completed)
	})
}

// Guards against a good release that is not completed in time, and against requests that are refused or cut by the switch.
func TestGoodReleaseIsCompleted(t *testing.T) {
	inFleet(t, 5, 5, func(f *fleet) {
		f.begin(order(1))
		time.Sleep(duration * 9 / 10)
		f.expectAll(phase.Completed)
		f.Expect(f.refused.Load()).To(BeZero(), "refused requests")
		f.Expect(f.oldAtCompletion.Load()).To(BeZero(), "requests at old servers when completed was written")
		f.configure(nil)
		time.Sleep(time.Second)
		for _, n := range f.nodes {
			f.Expect(n.agent.Refusing()).To(BeNil(), "after a completed order was withdrawn")
		}
	})
}

// Guards against a bad release that stays in traffic or gets more than its share, and against a roll-back that refuses requests.
func TestBadReleaseIsRolledBack(t *testing.T) {
	for name, respond := range map[string]func(*node) (bool, time.Duration){
		"all fail": badRelease(1), "some fail": badRelease(0.4), "slow": slowRelease,
	} {
		t.Run(name, func(t *testing.T) {
			inFleet(t, 5, 5, func(f *fleet) {
				f.respond = respond
				f.begin(order(1))
				time.Sleep(duration)
				f.expectBelowBound()
				f.expectAll(phase.RolledBack)
				f.Expect(f.refused.Load()).To(BeZero(), "refused requests")
			})
		})
	}
}

// Guards against a roll-out that a fault of its coordinator, of the store or of a daemon lets complete with a bad release, or expose more.
func TestFaultsDoNotRaiseExposure(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet){
		"coordinator killed":   func(f *fleet) { f.active()[0].kill() },
		"coordinator paused":   func(f *fleet) { f.pauseFor(f.active()[0], 5*time.Second) },
		"coordinator cut":      func(f *fleet) { f.active()[0].cut.Store(true) },
		"store down":           func(f *fleet) { f.platform.Faults.Inject(fake.Down{}) },
		"responses lost":       func(f *fleet) { f.platform.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Kind: fake.Write}}) },
		"target daemon killed": func(f *fleet) { f.nodes[len(f.nodes)-1].kill() },
		"target daemon paused": func(f *fleet) { f.pauseFor(f.nodes[6], 5*time.Second) },
		"halves partitioned":   func(f *fleet) { f.partitionFor(7*time.Second, 3, 8) },
		"targets partitioned":  func(f *fleet) { f.partitionFor(7*time.Second, 5, 10) },
		"all restart": func(f *fleet) {
			for _, n := range f.all() {
				f.restart(n)
				time.Sleep(300 * time.Millisecond)
			}
		},
	} {
		for _, at := range []time.Duration{600 * time.Millisecond, 3 * time.Second, 11 * time.Second} {
			t.Run(name+" at "+at.String(), func(t *testing.T) {
				inFleet(t, 5, 5, func(f *fleet) {
					f.respond = badRelease(0.4)
					f.begin(order(1))
					start := time.Now()
					time.Sleep(at)
					if len(f.active()) > 0 {
						disturb(f)
					}
					time.Sleep(duration - time.Since(start))
					f.expectBelowBound()
					f.platform.Faults.Clear()
					time.Sleep(duration)
					f.Expect(f.row()).To(Equal("rolled-back"))
					for _, n := range f.all() {
						if n.release == newRelease && !n.killed.Load() && !n.cut.Load() {
							f.Expect(n.agent.Refusing()).NotTo(BeNil())
						}
					}
				})
			})
		}
	}
}

// Guards against allowances that are forgotten when their daemons or the coordinator end: the exposure to a release that is not found to be
// bad, because its faults appear late, must stay below the bound as well.
func TestEndedDaemonsCount(t *testing.T) {
	inFleet(t, 5, 5, func(f *fleet) {
		ordered := order(1)
		ordered.Duration = 40 * time.Second
		f.begin(ordered)
		for second := range 24 {
			time.Sleep(time.Second)
			if active := f.active(); len(active) > 0 && second%3 == 2 {
				f.restart(active[0])
			}
			f.restart(f.all()[rand.IntN(len(f.all()))])
		}
		f.Expect(f.row()).To(Equal("trial"))
		f.expectBelowBound()
		f.Expect(f.toTarget.Load()).To(BeNumerically(">", 50), "the trial goes on")
	})
}

// Guards against a good release that is not completed because one of its coordinators is lost, or the store is out of reach for a third
// of the daemons.
func TestGoodReleaseIsCompletedDespiteFaults(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet){
		"coordinator restarted": func(f *fleet) {
			killed := f.active()[0]
			killed.kill()
			f.running.Go(func() {
				time.Sleep(1500 * time.Millisecond)
				f.restart(killed)
			})
		},
		"coordinator paused": func(f *fleet) { f.pauseFor(f.active()[0], 2*time.Second) },
		"store unreachable for a third": func(f *fleet) {
			first := f.active()[0]
			first.storeDown.Store(true)
			for i, n := range f.nodes {
				if i%4 == 0 {
					n.storeDown.Store(true)
				}
			}
		},
		"response lost": func(f *fleet) {
			f.platform.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Kind: fake.Write, Count: 1}})
		},
		"old daemon paused": func(f *fleet) { f.pauseFor(f.nodes[1], 3*time.Second) },
		"target paused":     func(f *fleet) { f.pauseFor(f.nodes[6], 3*time.Second) },
		"partition":         func(f *fleet) { f.partitionFor(6*time.Second, 4, 8) },
		"old daemon ended":  func(f *fleet) { f.restart(f.nodes[0]) },
		"target restarted":  func(f *fleet) { f.restart(f.nodes[len(f.nodes)-1]) },
	} {
		for _, at := range []time.Duration{700 * time.Millisecond, 5 * time.Second, 10500 * time.Millisecond} {
			t.Run(name+" at "+at.String(), func(t *testing.T) {
				inFleet(t, 5, 5, func(f *fleet) {
					ordered := order(1)
					ordered.Duration = 20 * time.Second
					f.begin(ordered)
					time.Sleep(at)
					if len(f.active()) > 0 {
						disturb(f)
					}
					time.Sleep(20*time.Second - at)
					f.Expect(f.row()).To(Equal("completed"))
					f.Expect(f.oldAtCompletion.Load()).To(BeZero(), "requests at old servers when completed was written")
				})
			})
		}
	}
}

// Guards against an order for a release that no server has, and one without old servers.
func TestOneReleaseOnly(t *testing.T) {
	inFleet(t, 4, 0, func(f *fleet) {
		f.begin(order(1))
		time.Sleep(duration + 2*time.Second)
		f.expectAll(phase.RolledBack)
		f.Expect(f.refused.Load()).To(BeZero())
	})
	inFleet(t, 0, 4, func(f *fleet) {
		f.begin(order(1))
		time.Sleep(duration)
		f.expectAll(phase.Completed)
	})
}

// Guards against a service that goes out of service because most of its daemons are lost, and against a part of the fleet that goes on
// without the others and without the table, which the others could complete the roll-out without.
func TestMinorityNeedsTheTable(t *testing.T) {
	inFleet(t, 3, 3, func(f *fleet) {
		f.begin(order(1))
		time.Sleep(3 * time.Second)
		lone := f.nodes[0]
		for _, n := range f.nodes[1:] {
			n.cut.Store(true)
		}
		for range 7 {
			time.Sleep(time.Second)
			f.Expect(lone.agent.Refusing()).To(BeNil(), "while the row shows the phase")
		}
		f.Expect(f.row()).To(Equal("trial"))
		lone.storeDown.Store(true)
		time.Sleep(2 * time.Second)
		f.Expect(lone.agent.Refusing()).NotTo(BeNil(), "without the row")
		time.Sleep(4 * time.Second)
		f.Expect(f.row()).NotTo(Equal("completed"))
	})
}

// Guards against waiting until the end of the duration for an old daemon that is lost early: its lease has ended long before.
func TestLostOldDaemonIsLeftOut(t *testing.T) {
	inFleet(t, 5, 5, func(f *fleet) {
		f.begin(order(1))
		time.Sleep(2 * time.Second)
		f.nodes[0].cut.Store(true)
		time.Sleep(duration - 2*time.Second)
		f.Expect(f.row()).To(Equal("completed"))
		f.Expect(f.oldAtCompletion.Load()).To(BeZero(), "requests at old servers when completed was written, also at the lost one")
	})
}

func (f *fleet) pauseFor(n *node, length time.Duration) {
	n.pause()
	f.running.Go(func() {
		time.Sleep(length)
		n.resume()
	})
}

// partitionFor cuts the daemons with the indexes from first to before end off from the others.
func (f *fleet) partitionFor(length time.Duration, first, end int) {
	nodes := f.all()[first:end]
	for _, n := range nodes {
		n.side.Store(1)
	}
	f.running.Go(func() {
		time.Sleep(length)
		for _, n := range nodes {
			n.side.Store(0)
		}
	})
}

// restart replaces the process of a daemon, whose server goes on.
func (f *fleet) restart(n *node) {
	n.killed.Store(true)
	n.stop()
	view, found := n.agent.View()
	next := f.start(n.record.Address, n.release)
	if found {
		ordered := view.Ordered
		next.configure(f.revision, &ordered)
	}
}
