package gate

import (
	"math/rand/v2"
	"net/http"
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
		const sharedWeights = lookupWeight + writeWeight + uploadWeight
		shared := capacity - float64(len(offered[ident.Check]))
		for class := ident.Lookup; class <= ident.Upload; class++ {
			share := shared * float64(weights[class]) / sharedWeights
			r.Expect(len(offered[class])).To(BeNumerically(">=", share), "%s offers enough", class)
			r.Expect(good[class]).To(BeNumerically(">=", share/2), "%s", class)
		}
		r.Expect(r.backend.highest()).To(BeNumerically("<=", r.service.Slots))
	})
}

// Guards against a new server that gets more requests at once than the warm-up allows, whatever is offered.
func TestWarmUpLimitsConcurrency(t *testing.T) {
	inBubble(t, func(r *rig) {
		time.Sleep(service / 2)                                 // no second of the test ends at a tick of the limiter
		r.call(&proto.Peer{}, r.head(ident.Check, time.Second)) // the whole reserve is kept
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

// Guards against a late run: after a pause of the daemon, of the router, or a long queue, the deadline has passed.
func TestExpiredRequestsDoNotRun(t *testing.T) {
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
