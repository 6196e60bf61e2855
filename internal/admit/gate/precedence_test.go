package gate

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// crowd counts the calls of a test load by priority.
type crowd struct {
	mu                  sync.Mutex // guards inTime and late until the calls have ended
	total, inTime, late [4]int
}

// send starts a call with the given precedence, which counts its response.
func (c *crowd) send(r *rig, priority int, objective, timeout time.Duration, change func(*proto.Head)) *stream {
	head := r.head(ident.Lookup, timeout)
	head.Priority, head.Objective = priority, objective
	change(head)
	c.total[priority]++
	s := newStream(r.t.Context())
	sent := time.Now()
	r.calls.Go(func() {
		_ = r.Call(&proto.Peer{}, head, s)
		c.mu.Lock()
		defer c.mu.Unlock()
		if _, last := s.frames(); last != nil {
			if _, answered := last.(*proto.Answer); answered && time.Since(sent) <= objective {
				c.inTime[priority]++
			} else if answered {
				c.late[priority]++
			}
		}
		s.cancel()
	})
	synctest.Wait()
	return s
}

func unchanged(*proto.Head) {}

func (r *rig) enablePrecedence(enabled bool) {
	r.configure(func(c *config.Config) { c.Precedence = enabled })
}

// burst offers a gate with 10 slots of 100 ms twice its capacity for 5 s: 50 requests per second each of priorities 0 to 3, of which
// priority 0 has a short objective and every tenth request is a nested one.
func burst(t *testing.T, enabled bool) (result *crowd, nestedFailed int) {
	result = &crowd{}
	inBubble(t, func(r *rig) {
		r.service.Slots, r.service.ReportsLoad, r.service.Checks = 10, true, nil
		r.enablePrecedence(enabled)
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return 100 * time.Millisecond } })
		r.warm()
		var nested []*stream
		for n := range 5 * 200 {
			objective := 400 * time.Millisecond
			if n%4 == 0 {
				objective = 200 * time.Millisecond
			}
			s := result.send(r, n%4, objective, 2*time.Second, func(head *proto.Head) {
				if n%10 == 9 {
					head.Depth = 1
				}
			})
			if n%10 == 9 {
				nested = append(nested, s)
			}
			time.Sleep(5 * time.Millisecond)
		}
		r.calls.Wait()
		for _, s := range nested {
			if s.refusal() != nil {
				nestedFailed++
			}
		}
	})
	return result, nestedFailed
}

// Guards against requests of higher priority and nested requests that are refused in a crowd because lower ones hold the slots.
func TestBurstWithPrecedence(t *testing.T) {
	today, nestedToday := burst(t, false)
	ordered, nestedOrdered := burst(t, true)
	t.Logf("today: in time %v, late %v, of %v; nested failed %d", today.inTime, today.late, today.total, nestedToday)
	t.Logf("by precedence: in time %v, late %v; nested failed %d", ordered.inTime, ordered.late, nestedOrdered)
	inBubble(t, func(r *rig) {
		r.Expect(ordered.inTime[0]).To(BeNumerically(">=", 230), "priority 0 needs half of the capacity and gets nearly all of it")
		r.Expect(ordered.inTime[0]).To(BeNumerically(">", today.inTime[0]))
		r.Expect(nestedOrdered).To(BeNumerically("<=", 1))
		sum := func(counts [4]int) int { return counts[0] + counts[1] + counts[2] + counts[3] }
		r.Expect(sum(ordered.inTime)).To(BeNumerically(">=", sum(today.inTime)*95/100))
		served, total := sum(ordered.inTime)+sum(ordered.late), sum(ordered.total)
		for priority, n := range ordered.total {
			share := float64(ordered.inTime[priority]+ordered.late[priority]) / float64(n)
			r.Expect(share).To(BeNumerically(">=", float64(served)/float64(total)/4), "priority %d is not starved", priority)
		}
	})
}

// Guards against requests that wait for a slot although the configuration has been replaced by one without precedence, and against a
// queue that is forgotten.
func TestPrecedenceIsSwitchedOff(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.Slots = 1
		r.enablePrecedence(true)
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return 100 * time.Millisecond } })
		var c crowd
		for range 3 {
			c.send(r, 1, time.Second, 2*time.Second, unchanged)
		}
		r.enablePrecedence(false)
		c.send(r, 1, time.Second, 2*time.Second, unchanged)
		r.calls.Wait()
		r.Expect(c.inTime[1]).To(Equal(4))
		r.Expect(r.queued.Load()).To(BeZero())
	})
}

// Guards against a queued request that keeps its place after its caller has left, and against a slot that is lost with it.
func TestCancelledWhileOrdered(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.Slots = 1
		r.enablePrecedence(true)
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return 100 * time.Millisecond } })
		var c crowd
		c.send(r, 1, time.Second, 2*time.Second, unchanged)
		left := c.send(r, 0, time.Second, 2*time.Second, unchanged)
		c.send(r, 1, time.Second, 2*time.Second, unchanged)
		left.cancel()
		r.calls.Wait()
		r.Expect(c.inTime[1]).To(Equal(2))
		r.Expect(r.queued.Load()).To(BeZero())
		r.Expect(r.running.Load()).To(BeZero())
	})
}

// Guards against a refusal without the reason and without the time after which there is likely to be room, and against one of a request
// that ran.
func TestRefusalByPrecedence(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.Slots = 1
		r.enablePrecedence(true)
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return 100 * time.Millisecond } })
		var c crowd
		for range 4 {
			c.send(r, 1, time.Second, 2*time.Second, unchanged)
		}
		r.calls.Wait()
		for range 5 {
			c.send(r, 1, time.Second, 2*time.Second, unchanged)
		}
		refused := c.send(r, 2, 150*time.Millisecond, 2*time.Second, unchanged)
		ack, _ := refused.frames()
		r.Expect(refused.refusal()).To(Equal([]any{code.LowPrecedence, code.NotRun}))
		r.Expect(ack.RetryAfter).To(BeNumerically("~", 400*time.Millisecond, 200*time.Millisecond))
		r.Expect(ack.Detail).To(ContainSubstring("decided by objective"))
		r.Expect(r.RefusedByPriority()[2]).To(BeEquivalentTo(1))
		r.calls.Wait()
	})
}

// coldInstance is a server that may get no request at the moment, because it is cold.
type coldInstance struct{}

func (coldInstance) Identity() string      { return "" }
func (coldInstance) Refusing() *code.Error { return nil }
func (coldInstance) Take(time.Time) bool   { return false }
func (coldInstance) Pace() int             { return 100 }

// Guards against a queue that grows without bound while slots are free and the rate of a cold server is used up.
func TestQueueOfAColdServerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.Instance = coldInstance{}
		r.service.Queue = 5
		r.enablePrecedence(true)
		var c crowd
		for range 20 {
			c.send(r, 1, time.Second, 2*time.Second, unchanged)
		}
		r.Expect(r.queued.Load()).To(BeEquivalentTo(5))
		r.calls.Wait()
		r.Expect(r.backend.total()).To(BeZero())
	})
}

// Guards against a request that is refused after 40 ms although the queue moves and it can be in time, and against one that waits behind a
// server that frees no slot, whose router could use another server.
func TestWaitsWhileTheQueueMoves(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.service.Slots, r.service.ReportsLoad = 1, true
		r.enablePrecedence(true)
		served := 100 * time.Millisecond
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return served } })
		var c crowd
		for range 4 {
			c.send(r, 1, time.Second, 2*time.Second, unchanged)
		}
		r.calls.Wait()
		r.Expect(c.inTime[1]).To(Equal(4))
		r.backend.set(func() { served = 2 * time.Second })
		c.send(r, 1, time.Second, 3*time.Second, unchanged)
		behind := c.send(r, 1, time.Second, 3*time.Second, unchanged)
		time.Sleep(500 * time.Millisecond)
		r.Expect(behind.refusal()).To(Equal([]any{code.Overloaded, code.NotRun}))
	})
}
