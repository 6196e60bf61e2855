package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// saturated answers like a server that runs only capacity requests at full speed, with random service times.
func saturated(capacity int, service time.Duration) func(running int) (time.Duration, Result) {
	random := rand.New(rand.NewPCG(5, 6))
	return func(running int) (time.Duration, Result) {
		spent := service/2 + time.Duration(random.Int64N(int64(service)))
		return spent * time.Duration(max(capacity, running)) / time.Duration(capacity), Normal
	}
}

// Guards against a limit that climbs again under lasting saturation below the slots, because the floor of the latency
// follows the queue inside the server.
func TestFloorHoldsUnderSaturation(t *testing.T) {
	for _, c := range []struct {
		capacity int
		service  time.Duration
	}{{2, service}, {4, service}, {4, 20 * service}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			inBubble(t, func(g *WithT, r *rig) {
				r.serve = saturated(slots, c.service)
				r.load(10*time.Second, func() bool { return r.Current() == slots })
				r.load(10*time.Second, nil)
				r.serve = saturated(c.capacity, c.service)
				r.load(5*time.Second, nil)
				var means []float64
				for range 3 {
					means = append(means, r.meanLimit(time.Minute))
				}
				t.Logf("mean limit in each minute %.2f", means)
				g.Expect(means).To(HaveEach(BeNumerically("<=", highRatio*float64(c.capacity))))
				g.Expect(means).To(HaveEach(BeNumerically(">=", c.capacity)))
			})
		})
	}
}

// Guards against a server that has become slower for good and never gets its slots back, as after a probe that teaches
// nothing.
func TestFloorFollowsASlowerServer(t *testing.T) {
	for _, slower := range []int{2, 3} {
		inBubble(t, func(g *WithT, r *rig) {
			r.load(10*time.Second, nil)
			normal := r.serve
			r.serve = func(running int) (time.Duration, Result) {
				spent, result := normal(running)
				return time.Duration(slower) * spent, result
			}
			r.load(time.Minute, nil)
			g.Expect(r.meanLimit(10*time.Second)).To(BeNumerically(">=", 0.95*slots), "%d times slower", slower)
			g.Expect(r.Warming()).To(BeFalse())
		})
	}
}

// Guards against a floor that one slow time raises, so that the limit no longer protects the server.
func TestFloorOutlastsSlowTimes(t *testing.T) {
	inBubble(t, func(g *WithT, r *rig) {
		r.load(10*time.Second, nil)
		normal := r.serve
		before := r.Dump().(Dump).Floors[ident.Lookup]
		for range 2 {
			r.serve = func(running int) (time.Duration, Result) {
				spent, result := normal(running)
				return 3 * spent, result
			}
			r.load(25*time.Second, nil)
			g.Expect(r.Dump().(Dump).Floors[ident.Lookup]).To(BeNumerically("<=", raisedRatio*float64(before)))
			r.serve = normal
			r.load(5*time.Second, nil)
		}
		g.Expect(r.Current()).To(Equal(slots))
	})
}
