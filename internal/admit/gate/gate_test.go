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

// Guards against a loss of throughput under overload, and against checks that wait behind other calls. The design requires, at an
// offered load of twice the capacity, a goodput of at least 90% of the capacity, and 99% of checks answered within their timeout.
func TestOverload(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.warm()
		random := rand.New(rand.NewPCG(5, 6))
		r.backend.set(func() {
			r.backend.serve = func(*http.Request) time.Duration {
				return serviceTime/2 + time.Duration(random.Int64N(int64(serviceTime)))
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
		const testDuration = 10 * time.Second
		capacity := float64(r.service.Slots) * testDuration.Seconds() / serviceTime.Seconds()
		arrivals := rand.New(rand.NewPCG(7, 8))
		offered := make(map[ident.Class][]*stream)
		for start := time.Now(); time.Since(start) < testDuration; {
			class := classes[arrivals.IntN(len(classes))]
			offered[class] = append(offered[class], r.call(&proto.Peer{}, r.head(class, timeouts[class])))
			time.Sleep(time.Duration(arrivals.ExpFloat64() / (2 * capacity) * float64(testDuration)))
		}
		r.calls.Wait()
		inTime := make(map[ident.Class]int)
		total := 0
		for class, streams := range offered {
			for _, s := range streams {
				if _, last := s.frames(); last != nil {
					if _, answered := last.(*proto.Answer); answered {
						inTime[class]++
						total++
					}
				}
			}
		}
		checksInTime := float64(inTime[ident.Check]) / float64(len(offered[ident.Check]))
		r.t.Logf("goodput %.3f of capacity, checks in time %.4f, %v of each class", float64(total)/capacity, checksInTime, inTime)
		r.Expect(float64(total)).To(BeNumerically(">=", 0.9*capacity))
		r.Expect(checksInTime).To(BeNumerically(">=", 0.99))
		const sharedWeights = lookupWeight + writeWeight + uploadWeight
		shared := capacity - float64(len(offered[ident.Check]))
		for class := ident.Lookup; class <= ident.Upload; class++ {
			share := shared * float64(weights[class]) / sharedWeights
			r.Expect(len(offered[class])).To(BeNumerically(">=", share), "offered load of class %s must be at least its share", class)
			r.Expect(inTime[class]).To(BeNumerically(">=", share/2), "%s", class)
		}
		r.Expect(r.backend.peakConcurrency()).To(BeNumerically("<=", r.service.Slots))
	})
}

// Guards against a new server that gets more concurrent requests than its warm-up limit, for any offered load.
func TestWarmUpLimitsConcurrency(t *testing.T) {
	inBubble(t, func(r *rig) {
		time.Sleep(serviceTime / 2)                             // so that no second of the test ends at a tick of the limiter
		r.call(&proto.Peer{}, r.head(ident.Check, time.Second)) // so that the full reserve is kept
		for second := range 6 {
			r.backend.set(func() { r.backend.peak = 0 })
			for range 100 {
				for range 15 {
					r.lookup(time.Second)
				}
				time.Sleep(serviceTime)
			}
			r.Expect(r.backend.peakConcurrency()).To(BeNumerically("<=", min(r.service.Slots, 1<<second)), "second %d", second)
		}
		r.Expect(r.backend.peakConcurrency()).To(Equal(r.service.Slots-r.service.CheckReserve), "lookups use all unreserved slots")
	})
}

// Guards against running a request after its deadline, when the daemon or the router was paused or the request was queued for too long.
func TestExpiredRequestsDoNotRun(t *testing.T) {
	inBubble(t, func(r *rig) {
		peer := &proto.Peer{}
		r.call(peer, r.head(ident.Lookup, time.Second)) // sets the minimum transit time of the connection
		r.calls.Wait()
		stale := r.head(ident.Lookup, 50*time.Millisecond)
		time.Sleep(60 * time.Millisecond) // simulated transit time
		s := r.call(peer, stale)
		r.calls.Wait()
		r.Expect(s.refusal()).To(Equal(notRun(code.StaleTransit)))
		ran := r.backend.total()

		// The daemon is paused between granting a slot and running the request: sending the Ack takes longer than the deadline.
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
		r.Expect(r.running.Load()).To(BeZero(), "all slots are free")

		// The deadline of the second call passes in the queue, while the server is busy with the first call.
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return time.Second } })
		r.lookup(5 * time.Second)
		synctest.Wait()
		waiting := r.lookup(100 * time.Millisecond)
		r.calls.Wait()
		r.Expect(waiting.refusal()).To(Equal(notRun(code.DeadlineExceeded)))
		r.Expect(r.backend.total()).To(Equal(ran + 1))
	})
}
