package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

func notRun(c code.Code) []any { return []any{c, code.NotRun} }

// Guards against work lost to overload, and against checks that wait behind other work. Figures of the design page at an
// offered load of twice the capacity: goodput at least 90% of it, checks in time in 99 of 100.
func TestOverload(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.warm()
		random := rand.New(rand.NewPCG(5, 6))
		r.backend.set(func() {
			r.backend.serve = func(*http.Request) time.Duration {
				return service/2 + time.Duration(random.Int64N(int64(service)))
			}
		})
		classes := []ident.Class{
			ident.Check, ident.Lookup, ident.Lookup, ident.Lookup, ident.Lookup,
			ident.Lookup, ident.Write, ident.Write, ident.Write, ident.Upload,
		}
		timeouts := map[ident.Class]time.Duration{
			ident.Check: 50 * time.Millisecond, ident.Lookup: 100 * time.Millisecond,
			ident.Write: 200 * time.Millisecond, ident.Upload: 400 * time.Millisecond,
		}
		const lasts = 10 * time.Second
		capacity := float64(r.service.Slots) * lasts.Seconds() / service.Seconds()
		arrivals := rand.New(rand.NewPCG(7, 8))
		offered := make(map[ident.Class][]*stream)
		for begun := time.Now(); time.Since(begun) < lasts; {
			class := classes[arrivals.IntN(len(classes))]
			offered[class] = append(offered[class], r.call(&proto.Peer{}, r.head(class, timeouts[class])))
			time.Sleep(time.Duration(arrivals.ExpFloat64() / (2 * capacity) * float64(lasts)))
		}
		r.calls.Wait()
		good := make(map[ident.Class]int)
		total := 0
		for class, streams := range offered {
			for _, s := range streams {
				if _, last := s.frames(); last != nil {
					if _, answered := last.(*proto.Answer); answered {
						good[class]++
						total++
					}
				}
			}
		}
		checks := float64(good[ident.Check]) / float64(len(offered[ident.Check]))
		r.t.Logf("goodput %.3f of capacity, checks in time %.4f, %v of each class", float64(total)/capacity, checks, good)
		r.Expect(float64(total)).To(BeNumerically(">=", 0.9*capacity))
		r.Expect(checks).To(BeNumerically(">=", 0.99))
		r.Expect(r.backend.highest()).To(BeNumerically("<=", r.service.Slots))
	})
}

// Guards against a new server that gets more requests at once than the warm-up allows, whatever is offered.
func TestServerSeesWarmUpOnly(t *testing.T) {
	inBubble(t, func(r *rig) {
		for second := range 6 {
			r.backend.set(func() { r.backend.peak = 0 })
			for range 100 {
				for range 15 {
					r.get(time.Second)
				}
				time.Sleep(service)
			}
			r.Expect(r.backend.highest()).To(BeNumerically("<=", min(r.service.Slots, 1<<second)), "second %d", second)
		}
		r.Expect(r.backend.highest()).To(Equal(r.service.Slots-r.service.CheckReserve), "of lookups")
	})
}

// Guards against new work after a decision or a sign of the server to leave, against work in flight that it cuts, and
// against a return at full load.
func TestOutAndLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		begin, end func(r *rig)
		code       code.Code
		warm       bool // the server may take its full load at once when it returns
	}{
		"zone out": {func(r *rig) {
			r.configure(func(c *config.Config) { c.Zones = map[string]config.ZoneState{"a": config.ZoneOut} })
		}, func(r *rig) { r.configure(func(*config.Config) {}) }, code.ZoneOut, false},
		"server leaving": {func(r *rig) {
			r.configure(func(c *config.Config) {
				c.Servers = map[netip.AddrPort]config.ServerState{address: config.ServerLeaving}
			})
		}, func(r *rig) { r.configure(func(*config.Config) {}) }, code.ServerLeaving, false},
		"server draining": {
			func(r *rig) { r.backend.set(func() { r.backend.draining = true }) },
			func(r *rig) { r.backend.set(func() { r.backend.draining = false }) }, code.ServerLeaving, false,
		},
		"isolated": {
			func(r *rig) { r.isolated.Store(true) },
			func(r *rig) { r.isolated.Store(false) }, code.Isolated, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.warm()
				r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return 30 * service } })
				var held, waiting []*stream
				for range r.service.Slots - r.service.CheckReserve {
					held = append(held, r.get(5*time.Second))
				}
				synctest.Wait()
				for range 3 {
					waiting = append(waiting, r.get(5*time.Second))
				}
				synctest.Wait()
				before := r.backend.total()
				c.begin(r)
				late := r.get(5 * time.Second)
				synctest.Wait()
				if name == "zone out" || name == "server leaving" {
					r.Expect(r.queued.Load()).To(BeZero(), "a decision reaches the queue at once")
				}
				time.Sleep(2 * observeEvery)
				for _, s := range append(waiting, late) {
					r.Expect(s.refusal()).To(Equal(notRun(c.code)))
				}
				r.Expect(r.Report().Refusing).To(Equal(c.code))
				time.Sleep(3 * time.Second)
				r.Expect(r.backend.total()).To(Equal(before))
				for _, s := range held {
					_, last := s.frames()
					r.Expect(last).To(BeAssignableToTypeOf(&proto.Answer{}), "in flight")
				}
				c.end(r)
				r.backend.set(func() { r.backend.peak = 0 })
				for range r.service.Slots {
					r.get(5 * time.Second)
				}
				synctest.Wait()
				if c.warm {
					r.Expect(r.backend.highest()).To(BeNumerically(">", 1))
				} else {
					r.Expect(r.backend.highest()).To(Equal(1))
				}
			})
		})
	}
}

// Guards against a stop that cuts work in flight, or that lets new work in.
func TestDrain(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.backend.serve = func(*http.Request) time.Duration { return time.Second }
		held := r.get(5 * time.Second)
		synctest.Wait()
		waiting := r.get(5 * time.Second)
		synctest.Wait()
		short, cancel := context.WithTimeout(r.t.Context(), 100*time.Millisecond)
		defer cancel()
		r.Expect(r.Drain(short)).To(MatchError(context.DeadlineExceeded))
		r.Expect(r.Drain(r.t.Context())).To(Succeed())
		_, last := held.frames()
		r.Expect(last).To(BeAssignableToTypeOf(&proto.Answer{}))
		r.Expect(waiting.refusal()).To(Equal(notRun(code.Stopping)))
		late := r.get(time.Second)
		r.calls.Wait()
		r.Expect(late.refusal()).To(Equal(notRun(code.Stopping)))
	})
}

// Guards against a late run: after a pause of the daemon, of the router, or a long queue, the deadline has passed.
func TestLateHeadsDoNotRun(t *testing.T) {
	inBubble(t, func(r *rig) {
		peer := &proto.Peer{}
		r.call(peer, r.head(ident.Lookup, time.Second)) // sets the smallest transit time
		r.calls.Wait()
		stale := r.head(ident.Lookup, 50*time.Millisecond)
		time.Sleep(60 * time.Millisecond) // in transit
		s := r.call(peer, stale)
		r.calls.Wait()
		r.Expect(s.refusal()).To(Equal(notRun(code.StaleTransit)))
		ran := r.backend.total()

		// The daemon is paused between the grant of a slot and the run: the Ack takes longer than the deadline.
		paused := newStream(r.t.Context())
		paused.pause = 200 * time.Millisecond
		r.Expect(r.Call(peer, r.head(ident.Lookup, 100*time.Millisecond), paused)).To(Succeed())
		r.Expect(paused.refusal()).To(Equal(notRun(code.DeadlineExceeded)))
		for reason, change := range map[code.Code]func(peer *proto.Peer){
			code.Revoked: func(peer *proto.Peer) { peer.Revoke() },
			code.ZoneOut: func(*proto.Peer) {
				r.configure(func(c *config.Config) { c.Zones = map[string]config.ZoneState{"a": config.ZoneOut} })
			},
		} {
			peer := &proto.Peer{}
			paused := newStream(r.t.Context())
			paused.pause = 200 * time.Millisecond
			time.AfterFunc(100*time.Millisecond, func() { change(peer) })
			r.Expect(r.Call(peer, r.head(ident.Lookup, time.Second), paused)).To(Succeed())
			r.Expect(paused.refusal()).To(Equal(notRun(reason)))
			r.configure(func(*config.Config) {})
		}
		r.Expect(r.running.Load()).To(BeZero(), "slots are returned")

		// The queue: the server is busy past the deadline of the second call.
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return time.Second } })
		r.get(5 * time.Second)
		synctest.Wait()
		waiting := r.get(100 * time.Millisecond)
		r.calls.Wait()
		r.Expect(waiting.refusal()).To(Equal(notRun(code.DeadlineExceeded)))
		r.Expect(r.backend.total()).To(Equal(ran + 1))
	})
}

// Guards against an order of the queue that lets checks wait, uploads take all slots, or hopeless entries wait.
func TestClassesAndQueue(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.warm()
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return 100 * time.Millisecond } })
		start := func(class ident.Class, n int, timeout time.Duration) []*stream {
			var streams []*stream
			for range n {
				streams = append(streams, r.call(&proto.Peer{}, r.head(class, timeout)))
				synctest.Wait()
			}
			return streams
		}
		verdict := func(s *stream) proto.Verdict {
			ack, _ := s.frames()
			return ack.Verdict
		}
		uploads := start(ident.Upload, 8, time.Minute)
		r.Expect(verdict(uploads[5])).To(Equal(proto.Admitted))
		r.Expect(verdict(uploads[6])).To(Equal(proto.Queued), "share of the uploads")
		lookups := start(ident.Lookup, 5, time.Minute)
		r.Expect(verdict(lookups[3])).To(Equal(proto.Admitted))
		r.Expect(verdict(lookups[4])).To(Equal(proto.Queued), "reserve of the checks")
		checks := start(ident.Check, 4, time.Minute)
		r.Expect(verdict(checks[1])).To(Equal(proto.Admitted))
		r.Expect(verdict(checks[2])).To(Equal(proto.Queued))
		queue := r.Dump().(Dump).Queue
		for i, class := range []ident.Class{ident.Check, ident.Check, ident.Lookup, ident.Upload, ident.Upload} {
			r.Expect(queue[i].Class).To(Equal(class))
		}
		hopeless := start(ident.Lookup, 1, service+time.Millisecond)
		r.Expect(hopeless[0].refusal()).To(Equal(notRun(code.QueueDeadline)))
		start(ident.Lookup, r.service.Queue-5, time.Minute)
		full := start(ident.Upload, 1, time.Minute)
		r.Expect(full[0].refusal()).To(Equal(notRun(code.Overloaded)))
		start(ident.Check, 1, time.Minute)
		time.Sleep(time.Millisecond)
		r.Expect(uploads[7].refusal()).To(Equal(notRun(code.Overloaded)), "gave way to a check")
	})
}
