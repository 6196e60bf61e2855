package limit

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

const (
	slots   = 12
	service = 10 * time.Millisecond
)

// rig loads a limiter with as many requests as it allows. All of it is read while the bubble is blocked or by the one
// goroutine that drives the load.
type rig struct {
	*Limiter
	serve func(running int) (time.Duration, Result) // time and result of a request that starts now
	start time.Time
	peaks []int // highest concurrency in each second
}

func inBubble(t *testing.T, body func(g *WithT, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		holder := &config.Holder{}
		s := config.NewService("stock")
		s.Slots = slots
		g := NewWithT(t)
		g.Expect(holder.Set(&config.Config{Revision: 1, Services: map[string]*config.Service{"stock": s}})).To(Succeed())
		r := &rig{Limiter: &Limiter{Config: holder, Service: "stock", Log: logr.Discard()}, start: time.Now()}
		noise := rand.New(rand.NewPCG(1, 2))
		r.serve = func(int) (time.Duration, Result) {
			return service/2 + time.Duration(noise.Int64N(int64(service))), Normal
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		body(g, r)
		cancel()
	})
}

// request gives the server a whole request.
func (r *rig) request(class ident.Class, spent time.Duration, result Result, ended func()) {
	t := &Ticket{}
	r.Begin(t, class, true)
	r.Written(t)
	time.AfterFunc(spent, func() {
		r.End(t, result)
		ended()
	})
}

// load keeps the server as busy as the limit allows, and returns how long it took until done, or the whole time.
func (r *rig) load(lasts time.Duration, done func() bool) time.Duration {
	begun := time.Now()
	running := 0
	ends := make(chan struct{}, 4*slots)
	timeout := time.After(lasts)
	step := time.NewTicker(time.Millisecond)
	defer step.Stop()
	for {
		for running < r.Current() {
			running++
			second := int(time.Since(r.start) / time.Second)
			for len(r.peaks) <= second {
				r.peaks = append(r.peaks, 0)
			}
			r.peaks[second] = max(r.peaks[second], running)
			spent, result := r.serve(running)
			r.request(ident.Lookup, spent, result, func() { ends <- struct{}{} })
		}
		select {
		case <-ends:
			running--
		case <-step.C:
			if done != nil && done() {
				return time.Since(begun)
			}
		case <-timeout:
			return time.Since(begun)
		}
	}
}

func (r *rig) meanLimit(lasts time.Duration) float64 {
	sum, n := 0, 0
	r.load(lasts, func() bool {
		sum += r.Current()
		n++
		return false
	})
	return float64(sum) / float64(n)
}

// Guards against a server that has just started and gets more than it can handle.
func TestWarmUpAtMostDoublesPerSecond(t *testing.T) {
	inBubble(t, func(g *WithT, r *rig) {
		g.Expect(r.Current()).To(Equal(1))
		g.Expect(r.Warming()).To(BeTrue())
		r.load(8*time.Second, nil)
		for second, peak := range r.peaks {
			g.Expect(peak).To(BeNumerically("<=", min(slots, 1<<second)), "second %d", second)
		}
		g.Expect(r.peaks[7]).To(Equal(slots))
		g.Expect(r.Warming()).To(BeFalse())

		r.Restart(Returned)
		g.Expect(r.Current()).To(Equal(1))
	})
}

// Guards against a warm-up that grows by time alone, or on answers that are no evidence of health.
func TestWarmUpNeedsEvidence(t *testing.T) {
	inBubble(t, func(g *WithT, r *rig) {
		time.Sleep(time.Minute)
		g.Expect(r.Current()).To(Equal(1), "without answers")
		for _, result := range []Result{Failed, Late, Ignored} {
			r.serve = func(int) (time.Duration, Result) { return service, result }
			r.load(5*time.Second, nil)
			g.Expect(r.Current()).To(Equal(1), result.String())
		}
		// Capacity for two: the latency grows with more.
		r.serve = func(running int) (time.Duration, Result) {
			return service * time.Duration(max(2, running*running/2)), Normal
		}
		r.load(20*time.Second, nil)
		g.Expect(r.Current()).To(BeNumerically("<=", 4), "latency grows")
		g.Expect(r.Dump().(Dump).WarmUp).To(BeElementOf(1, 2, 4), "latency grows")
	})
}

// Guards against a warm-up that grows on fewer answers than its limit, or that is lost in an idle time.
func TestWarmUpKeepsItsLimitWithoutTraffic(t *testing.T) {
	inBubble(t, func(g *WithT, r *rig) {
		r.load(5*time.Second, func() bool { return r.Current() == 4 })
		time.Sleep(service)
		for range 3 {
			time.Sleep(2 * warmStep)
			r.request(ident.Lookup, service, Normal, func() {})
		}
		time.Sleep(2 * warmStep)
		g.Expect(r.Current()).To(Equal(4))
		r.request(ident.Lookup, service, Normal, func() {})
		time.Sleep(2 * warmStep)
		g.Expect(r.Current()).To(Equal(8))
	})
}

// Guards against a server that turned cold and keeps getting its full load.
func TestColdTurnIsDetectedWithinOneSecond(t *testing.T) {
	answers := 0
	for name, turned := range map[string]func(int) (time.Duration, Result){
		"fails": func(int) (time.Duration, Result) { return time.Millisecond, Failed },
		"fails half": func(int) (time.Duration, Result) {
			answers++
			return service, []Result{Normal, Failed}[answers%2]
		},
		"is 10x slower": func(int) (time.Duration, Result) { return 10 * service, Normal },
		"is 50x slower": func(int) (time.Duration, Result) { return 50 * service, Normal },
		"hangs":         func(int) (time.Duration, Result) { return time.Hour, Ignored },
		"misses its deadlines": func(int) (time.Duration, Result) {
			return 10 * service, Late
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(g *WithT, r *rig) {
				r.load(10*time.Second, nil)
				g.Expect(r.Current()).To(Equal(slots))
				r.serve = turned
				took := r.load(5*time.Second, func() bool { return r.Current() == 1 && r.Warming() })
				g.Expect(took).To(BeNumerically("<=", time.Second))
			})
		})
	}
}

// Guards against a warm-up after each of the short slow times that are normal, and against a limit that stays low.
func TestShortSlownessLowersTheLimitOnly(t *testing.T) {
	inBubble(t, func(g *WithT, r *rig) {
		r.load(10*time.Second, nil)
		normal := r.serve
		r.serve = func(int) (time.Duration, Result) { return 10 * service, Normal }
		lowest := slots
		r.load(500*time.Millisecond, func() bool {
			lowest = min(lowest, r.Current())
			return false
		})
		r.serve = normal
		r.load(200*time.Millisecond, func() bool {
			lowest = min(lowest, r.Current())
			return false
		})
		g.Expect(r.Warming()).To(BeFalse())
		g.Expect(lowest).To(BeNumerically("<", slots))
		g.Expect(r.Dump().(Dump).Cause).To(BeElementOf(LatencyHigh, LatencyNormal))
		r.load(2*time.Second, nil)
		g.Expect(r.Current()).To(Equal(slots))
	})
}

// Guards against a warm-up that follows from the time since one slow answer instead of from slow answers.
func TestIdleTimeAfterSlownessIsNoEvidence(t *testing.T) {
	inBubble(t, func(g *WithT, r *rig) {
		r.load(10*time.Second, nil)
		time.Sleep(2 * service) // the requests of the load have ended
		for range slots {
			r.request(ident.Lookup, 30*service, Normal, func() {})
		}
		time.Sleep(5 * time.Second)
		g.Expect(r.Warming()).To(BeFalse())
	})
}

// Guards against a warm-up because a caller sends its body slowly, or because one request takes long by its nature.
func TestLongRequestsAreNoEvidence(t *testing.T) {
	inBubble(t, func(g *WithT, r *rig) {
		r.load(10*time.Second, nil)
		time.Sleep(2 * service)
		for range slots {
			r.Begin(&Ticket{}, ident.Lookup, false)
		}
		r.request(ident.Lookup, time.Hour, Normal, func() {})
		time.Sleep(time.Minute)
		g.Expect(r.Current()).To(Equal(slots))
	})
}

// Guards against a limit that random service times lower although the server is not slower than before.
func TestRandomServiceTimesKeepTheSlots(t *testing.T) {
	inBubble(t, func(g *WithT, r *rig) {
		random := rand.New(rand.NewPCG(3, 4))
		r.serve = func(int) (time.Duration, Result) {
			return time.Duration(random.ExpFloat64() * float64(service)), Normal
		}
		r.load(10*time.Second, nil)
		g.Expect(r.meanLimit(30*time.Second)).To(BeNumerically(">=", 0.95*slots), "mean limit")
		g.Expect(r.probeNext).To(BeZero(), "no probe of the floor")
	})
}

// Guards against slots above what the server can run at once: its latency doubles with its concurrency, so more
// requests bring no throughput.
func TestLimitFollowsCapacityBelowTheSlots(t *testing.T) {
	inBubble(t, func(g *WithT, r *rig) {
		r.load(10*time.Second, nil)
		r.serve = func(running int) (time.Duration, Result) {
			return service * time.Duration(max(4, running)) / 4, Normal
		}
		mean := r.meanLimit(5 * time.Second)
		g.Expect(r.Warming()).To(BeFalse(), "the adaptive limit is enough")
		g.Expect(mean).To(BeNumerically("<=", 9), "mean limit")
		g.Expect(r.Current()).To(BeNumerically(">=", 4))
	})
}
