// Package probe bounds the load that probes of routers add to one daemon.
package probe

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// Parameters of the budget.
const (
	// share of the budget that routers use up when they honor their interval; the rest lets new routers be answered.
	share = 0.8
	// burst is the part of a second's budget that may be answered at once, so that probes that meet are not refused. The
	// tokens are refilled at the rest of the budget, so that no second exceeds the whole.
	burst = 0.1
	// minSeen is the shortest time that a router counts as present after a probe.
	minSeen = 5 * time.Second
	// seenIntervals is how many intervals a router may miss before it no longer counts.
	seenIntervals = 3
	// maxRouters bounds the memory; the interval stays at the one for this number when more routers probe.
	maxRouters = 32768
	pruneEvery = time.Second
)

// Budget decides which probes are answered.
type Budget struct {
	Config *config.Holder // the budget is Budgets.Probes

	mu       sync.Mutex
	limiter  *rate.Limiter
	seen     map[ident.Incarnation]time.Time // last probe of each router lately present
	pruned   time.Time
	answered uint64
	refused  uint64
}

// Dump is the state of a budget.
type Dump struct {
	PerSecond float64
	Routers   int
	Interval  time.Duration
	Answered  uint64
	Refused   uint64
}

// Allow reports whether the probe of a router is within the budget, and when the router may probe next. The interval grows
// with the number of routers, so that all of them together stay within the budget.
func (b *Budget) Allow(router ident.Incarnation) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	perSecond := b.perSecond()
	b.pace(perSecond)
	b.note(router, now, perSecond)
	next := interval(len(b.seen), perSecond)
	if b.limiter.AllowN(now, 1) {
		b.answered++
		return true, next
	}
	b.refused++
	return false, next
}

// Dump returns the state of the budget.
func (b *Budget) Dump() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	perSecond := b.perSecond()
	return Dump{
		PerSecond: perSecond,
		Routers:   len(b.seen),
		Interval:  interval(len(b.seen), perSecond),
		Answered:  b.answered,
		Refused:   b.refused,
	}
}

func (b *Budget) perSecond() float64 {
	if c := b.Config.Get(); c != nil && c.Budgets.Probes > 0 {
		return c.Budgets.Probes
	}
	return config.DefaultProbes
}

func (b *Budget) pace(perSecond float64) {
	depth := int(max(1, math.Floor(perSecond*burst)))
	refill := rate.Limit(perSecond * (1 - burst))
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(refill, depth)
		b.seen = make(map[ident.Incarnation]time.Time)
		return
	}
	if b.limiter.Limit() != refill {
		b.limiter.SetLimit(refill)
		b.limiter.SetBurst(depth)
	}
}

func (b *Budget) note(router ident.Incarnation, now time.Time, perSecond float64) {
	if _, known := b.seen[router]; known || len(b.seen) < maxRouters {
		b.seen[router] = now
	}
	if now.Sub(b.pruned) < pruneEvery {
		return
	}
	b.pruned = now
	keep := max(minSeen, seenIntervals*interval(len(b.seen), perSecond))
	for known, last := range b.seen {
		if now.Sub(last) > keep {
			delete(b.seen, known)
		}
	}
}

func interval(routers int, perSecond float64) time.Duration {
	return time.Duration(float64(max(1, routers)) / (perSecond * share) * float64(time.Second))
}
