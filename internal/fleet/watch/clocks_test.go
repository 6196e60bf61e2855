package watch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a daemon that finds no member in the table because its clock, or the clocks of the others, are far off.
func TestMembersAreFoundWhateverTheClocks(t *testing.T) {
	for _, steps := range [][2]time.Duration{
		{24 * time.Hour, 0}, {-24 * time.Hour, 0}, {0, 24 * time.Hour}, {0, -24 * time.Hour},
	} {
		t.Run(steps[0].String()+" "+steps[1].String(), func(t *testing.T) {
			run(t, 8, func(g *WithT, f *fleet) {
				f.clockStep = steps[0]
				for i := range 8 {
					f.kill(i)
					f.start(i)
					time.Sleep(10 * time.Second) // until it has announced itself with its new clock
				}
				g.Expect(until(time.Minute, f.allKnow(8))).To(BeNumerically("<", time.Minute))
				f.seeds, f.clockStep = nil, steps[1]
				f.start(8)
				g.Expect(until(time.Minute, func() bool { return f.allKnow(9)() && f.inForce(1)() })).To(BeNumerically("<=", 10*time.Second))
			})
		})
	}
}

// Guards against a sweeper that deletes the rows of live daemons because its clock is ahead, or theirs are behind.
func TestRowsOfLiveDaemonsAreNotSwept(t *testing.T) {
	for _, step := range []time.Duration{24 * time.Hour, -24 * time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			run(t, 6, func(g *WithT, f *fleet) {
				f.clockStep = step
				for i := range 3 {
					f.kill(i)
					f.start(i)
				}
				for range 12 { // two hours, in which some daemon of either clock is a sweeper
					time.Sleep(10 * time.Minute)
					for i := range 6 {
						_, found := f.platform.row(i)
						g.Expect(found).To(BeTrue(), "row %d", i)
					}
				}
			})
		})
	}
}
