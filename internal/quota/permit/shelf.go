package permit

import (
	"context"
	"slices"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/quota/bucket"
	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
	"marigoldwinch.example/marigoldwinch/internal/quota/stock"
)

// isolatedRetry is the Retry-After of requests refused without a reply of any owner. Within it, the daemons that do not reply are known.
const isolatedRetry = time.Second

// shelf is the stock of an organisation with the requests that wait for permits.
type shelf struct {
	agent        *Agent
	organisation string
	used         time.Time // latest request; guarded by the lock of the agent

	mu      sync.Mutex
	cap     owner.Cap
	stock   stock.Stock
	waiting []*waiter // in the order of their arrival
	asking  bool      // a goroutine requests permits
	over    time.Time // latest refusal because of the cap
	slack   bucket.Bucket
}

// waiter is a request that waits for a permit.
type waiter struct {
	result chan error // receives nil together with permit, or the refusal
	permit stock.Permit
}

func (s *shelf) take(ctx context.Context, limit owner.Cap) (stock.Permit, error) {
	now := time.Now()
	s.mu.Lock()
	if limit.Revision >= s.cap.Revision {
		s.cap = limit
	}
	s.stock.Record(now)
	if len(s.waiting) == 0 {
		if permit, ok := s.stock.Take(now); ok {
			s.startAsking(now)
			s.mu.Unlock()
			return permit, nil
		}
		if s.stock.Denied(now) > 0 {
			err := s.overCap(now)
			s.mu.Unlock()
			return stock.Permit{}, err
		}
	}
	w := &waiter{result: make(chan error, 1)}
	s.waiting = append(s.waiting, w)
	s.startAsking(now)
	s.mu.Unlock()
	return s.wait(ctx, w)
}

func (s *shelf) wait(ctx context.Context, w *waiter) (stock.Permit, error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return w.permit, err
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.waiting, w)
	if at < 0 { // decided at the same time
		err := <-w.result
		return w.permit, err
	}
	s.waiting = slices.Delete(s.waiting, at, at+1)
	return s.withoutOwner(time.Now())
}

// withoutOwner decides on a request for which no daemon has replied. The daemons together admit at most half of the slack in this way.
func (s *shelf) withoutOwner(now time.Time) (stock.Permit, error) {
	members := len(s.agent.view(now).known)
	s.slack.Set(now, float64(s.agent.Slack)/2/float64(max(members, 1))/s.agent.Window.Seconds(), 1)
	if s.slack.Take(now, 1) == 1 {
		return stock.Permit{}, nil
	}
	s.agent.log("cap-unreachable", s.organisation, "members", members)
	failure := code.NotRunf(code.Isolated, "no daemon that grants permits for organisation %s replied", s.organisation)
	failure.RetryAfter = isolatedRetry
	return stock.Permit{}, failure
}

// overCap returns the refusal of a request while no permit is available. The shelf must be locked.
func (s *shelf) overCap(now time.Time) error {
	if now.Sub(s.over) > s.agent.Window {
		s.agent.log("cap-reached", s.organisation, "rate", s.cap.Rate, "burst", s.cap.Burst,
			"revision", s.cap.Revision, "demand", s.stock.Demand(now))
	}
	s.over = now
	failure := code.NotRunf(code.OverCap, "organisation %s has reached its cap of %g requests per second", s.organisation, s.cap.Rate)
	failure.RetryAfter = s.stock.Denied(now)
	return failure
}

// restore takes back the permit of a request that no server has run.
func (s *shelf) restore(p stock.Permit) {
	if !p.Owner.IsValid() {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stock.Put(now, p, 1)
	s.distribute(now)
}

// distribute gives permits to waiting requests, and refuses the others when no permit is available. The shelf must be locked.
func (s *shelf) distribute(now time.Time) {
	for len(s.waiting) > 0 {
		w := s.waiting[0]
		permit, ok := s.stock.Take(now)
		switch {
		case ok:
			w.permit = permit
			w.result <- nil
		case s.stock.Denied(now) > 0:
			w.result <- s.overCap(now)
		default:
			return
		}
		s.waiting = s.waiting[1:]
	}
}

// startAsking requests permits if some are needed and no request is outstanding. The shelf must be locked.
func (s *shelf) startAsking(now time.Time) {
	if s.asking || s.stock.Wanted(now, len(s.waiting)) == 0 {
		return
	}
	s.asking = true
	go s.askWhileNeeded()
}

// askWhileNeeded requests permits until enough are held or none are available. Requests that got no reply wait for the next round, within
// their own limit.
func (s *shelf) askWhileNeeded() {
	for {
		now := time.Now()
		s.mu.Lock()
		wanted := s.stock.Wanted(now, len(s.waiting))
		if wanted == 0 {
			s.asking = false
			s.mu.Unlock()
			return
		}
		limit := s.cap
		s.mu.Unlock()
		s.agent.ask(s, limit, wanted)
	}
}

// put stores the permits of a reply. wait is the time until the next one, or 0 when all that were wanted are granted.
func (s *shelf) put(granted stock.Permit, count int, wait time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait > 0 {
		s.stock.Deny(now, wait)
	}
	s.stock.Put(now, granted, count)
	s.distribute(now)
}
