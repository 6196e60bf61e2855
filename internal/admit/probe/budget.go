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
	// usableShare of the budget that routers use up when they honor their interval; the rest lets new routers be answered.
	usableShare = 0.8
	// burstShare is the part of a second's budget that may be answered at once, so that probes that meet are not refused. The
	// tokens are refilled at the rest of the budget, so that no second exceeds the whole.
	burstShare = 0.1
	// minPresence is the shortest time that a router counts as present after a probe.
	minPresence = 5 * time.Second
	// maxMissedIntervals is how many intervals a router may miss before it no longer counts.
	maxMissedIntervals = 3
	// maxRouters bounds the memory; the interval stays at the one for this number when more routers probe.
	maxRouters = 32768
	pruneEvery = time.Second
)

// Budget decides which probes are answered.
type Budget struct {
	Config *config.Holder // the budget is Budgets.Probes

	mu        sync.Mutex
	limiter   *rate.Limiter
	lastProbe map[ident.Incarnation]time.Time // last probe of each router lately present
	prunedAt  time.Time
	answered  uint64
	refused   uint64
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
	b.updateLimiter(perSecond)
	b.recordRouter(router, now, perSecond)
	next := interval(len(b.lastProbe), perSecond)
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
		Routers:   len(b.lastProbe),
		Interval:  interval(len(b.lastProbe), perSecond),
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

func (b *Budget) updateLimiter(perSecond float64) {
	depth := int(max(1, math.Floor(perSecond*burstShare)))
	refill := rate.Limit(perSecond * (1 - burstShare))
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(refill, depth)
		b.lastProbe = make(map[ident.Incarnation]time.Time)
		return
	}
	if b.limiter.Limit() != refill {
		b.limiter.SetLimit(refill)
		b.limiter.SetBurst(depth)
	}
}

func (b *Budget) recordRouter(router ident.Incarnation, now time.Time, perSecond float64) {
	if _, known := b.lastProbe[router]; known || len(b.lastProbe) < maxRouters {
		b.lastProbe[router] = now
	}
	if now.Sub(b.prunedAt) < pruneEvery {
		return
	}
	b.prunedAt = now
	keep := max(minPresence, maxMissedIntervals*interval(len(b.lastProbe), perSecond))
	for known, last := range b.lastProbe {
		if now.Sub(last) > keep {
			delete(b.lastProbe, known)
		}
	}
}

func interval(routers int, perSecond float64) time.Duration {
	return time.Duration(float64(max(1, routers)) / (perSecond * usableShare) * float64(time.Second))
}
