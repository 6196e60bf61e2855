package gate

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// rollout is a fake of the roll-out of the service.
type rollout struct {
	mu       sync.Mutex
	refusing *code.Error
	begun    *code.Error // refuses only the last check
	received int
	running  int
	results  []rolloutResult
	ignored  int
}

type rolloutResult struct {
	route  string
	failed bool
	took   time.Duration
}

func (r *rollout) Refusing() *code.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusing
}

func (r *rollout) Received() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received++
}

func (r *rollout) Begin() (RolloutRun, *code.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun != nil || r.refusing != nil {
		return nil, code.NotRunf(code.OutOfService, "the phase has changed")
	}
	r.running++
	return r, nil
}

func (r *rollout) End(route string, failed bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.results = append(r.results, rolloutResult{route, failed, took})
}

func (r *rollout) Ignore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.ignored++
}

func (r *rollout) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

var errOutOfService = code.NotRunf(code.OutOfService, "release r1 is replaced by r2")

// Guards against a response that the verdict does not see, or sees under another result.
func TestRolloutCountsResponses(t *testing.T) {
	f := &rollout{}
	inBubbleWith(t, func(r *rig) { r.Rollout = f }, func(r *rig) {
		r.lookup(time.Second)
		r.calls.Wait()
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return time.Minute } })
		r.lookup(50 * time.Millisecond)
		r.calls.Wait()
		time.Sleep(2 * disconnectDelay) // until the slot of the failed request is free
		cancelled := r.lookup(time.Second)
		time.Sleep(30 * time.Millisecond)
		cancelled.cancel()
		r.calls.Wait()
		r.Expect(f.results).To(Equal([]rolloutResult{
			{"lookup", false, serviceTime}, {"lookup", true, 50 * time.Millisecond}, {"lookup", false, 30 * time.Millisecond},
		}))
		second := r.head(ident.Lookup, 20*time.Millisecond)
		second.ID.Attempt = 2
		r.call(&proto.Peer{}, second)
		r.calls.Wait()
		r.Expect(f.received).To(Equal(3), "requests, without second attempts")
		r.Expect(f.running).To(BeZero())
	})
}

// Guards against requests that reach an old server after the switch: new ones, queued ones, and those that hold a slot already.
func TestRolloutRefusesQueuedRequests(t *testing.T) {
	f := &rollout{}
	inBubbleWith(t, func(r *rig) { r.Rollout = f }, func(r *rig) {
		r.warm()
		r.backend.set(func() { r.backend.serve = func(*http.Request) time.Duration { return 300 * time.Millisecond } })
		var streams []*stream
		for range r.service.Slots + 4 {
			streams = append(streams, r.call(&proto.Peer{}, r.head(ident.Write, time.Second)))
		}
		time.Sleep(10 * time.Millisecond)
		running := 0
		f.set(func() { running = f.running })
		r.Expect(running).To(BeNumerically(">", 0))
		f.set(func() { f.refusing = errOutOfService })
		r.Expect(r.Report().Refusing).To(Equal(code.OutOfService))
		r.Expect(r.InService()).To(BeTrue(), "apart from the roll-out")
		streams = append(streams, r.lookup(time.Second))
		r.calls.Wait()
		refused := 0
		for _, s := range streams {
			if s.refusal() != nil {
				r.Expect(s.refusal()).To(Equal([]any{code.OutOfService, code.NotRun}))
				refused++
			}
		}
		r.Expect(refused).To(Equal(len(streams)-running), "all but those that ran")
		f.set(func() { f.refusing = nil })
		f.set(func() { f.begun = errOutOfService })
		r.Expect(r.lookup(time.Second).refusalAfter(r)).To(Equal([]any{code.OutOfService, code.NotRun}))
		f.set(func() { f.begun = nil })
		r.backend.set(func() { r.backend.serve = nil })
		for range 3 * r.service.Slots {
			r.Expect(r.lookup(time.Second).refusalAfter(r)).To(BeNil(), "the slots of refused requests are free again")
		}
	})
}

// refusalAfter returns the refusal of the call after all calls have ended.
func (s *stream) refusalAfter(r *rig) []any {
	r.calls.Wait()
	return s.refusal()
}
