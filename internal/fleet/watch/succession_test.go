package watch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// restartBound is the time within which a restarted daemon must be serving for all others, whatever its clock says.
const restartBound = 5 * time.Second

// serving returns how many of the daemons every other one holds as serving.
func serving(f *fleet, daemons ...int) int {
	n := 0
	for _, i := range daemons {
		if f.state(i, member.Serving)() {
			n++
		}
	}
	return n
}

// Guards against a daemon that ends again and again, or stays unknown to others, because its clock was stepped between two of its lives.
func TestRestartAfterAClockStep(t *testing.T) {
	for _, steps := range [][]time.Duration{
		{-time.Minute},
		{-30 * 24 * time.Hour},
		{-time.Minute, -2 * time.Minute, -3 * time.Minute},
		{time.Hour, 0, 24 * time.Hour, -time.Hour},
	} {
		for name, platformDown := range map[string]bool{"": false, ", platform down": true} {
			t.Run(fmt.Sprint(steps, name), func(t *testing.T) {
				run(t, 20, func(g *WithT, f *fleet) {
					f.platform.setDown(platformDown)
					restarted := []int{4, 5, 6, 7, 8, 9, 10}
					for _, step := range steps {
						f.clockStep = step
						for _, i := range restarted {
							f.kill(i)
							f.start(i)
						}
						took := until(time.Minute, func() bool { return serving(f, restarted...) == len(restarted) })
						g.Expect(took).To(BeNumerically("<=", restartBound), "clocks stepped by %s", step)
						time.Sleep(7 * time.Second) // not a multiple of any interval
					}
					time.Sleep(time.Minute)
					g.Expect(serving(f, restarted...)).To(Equal(len(restarted)))
					for i := range 20 {
						g.Expect(f.get(i).ended).NotTo(Receive(), "daemon %d", i)
					}
				})
			})
		}
	}
}

// Guards against two daemons at one address that both go on, or the reachable one of which ends, whichever clock is ahead.
func TestUnreachableDaemonAtTheSameAddressEnds(t *testing.T) {
	for _, step := range []time.Duration{0, -time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			run(t, 20, func(g *WithT, f *fleet) {
				before := f.get(4)
				f.clockStep = step
				successor := f.start(4)
				defer before.done.Wait()
				defer before.cancel()
				ended := func() bool { return len(before.ended) == 1 }
				g.Expect(until(time.Minute, ended)).To(BeNumerically("<=", goneBound))
				g.Expect(<-before.ended).To(HaveOccurred())
				g.Expect(until(time.Minute, f.state(4, member.Serving))).To(BeNumerically("<=", restartBound))
				time.Sleep(time.Minute)
				g.Expect(successor.ended).NotTo(Receive())
				g.Expect(f.state(4, member.Serving)()).To(BeTrue())
			})
		})
	}
}

// Guards against a daemon that was paused until the others held it as gone, and then pushes out its successor.
func TestPausedDaemonYieldsToItsSuccessor(t *testing.T) {
	for _, step := range []time.Duration{0, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			run(t, 20, func(g *WithT, f *fleet) {
				before := f.get(4)
				f.pause(4)
				time.Sleep(goneBound)
				f.clockStep = step
				successor := f.start(4)
				g.Expect(until(time.Minute, f.state(4, member.Serving))).To(BeNumerically("<=", goneBound))
				close(before.paused) // it goes on, but the others reach its successor
				before.paused = nil
				time.Sleep(time.Minute)
				g.Expect(before.ended).To(Receive(HaveOccurred()))
				before.cancel()
				before.done.Wait()
				g.Expect(successor.ended).NotTo(Receive())
				g.Expect(f.state(4, member.Serving)()).To(BeTrue())
			})
		})
	}
}
