// Package probe bounds the load that the probes of routers put on one daemon.
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
	// usableShare is the share of the budget that is used when all routers keep to their interval. The rest is for the probes
	// of new routers.
	usableShare = 0.8
	// burstShare is the share of a second's budget that may be answered at once, so that probes that arrive together are not
	// refused. Tokens are refilled at the rate of the rest, so that no second exceeds the budget.
	burstShare = 0.1
	// minPresence is the minimum time for which a router counts as present after a probe.
	minPresence = 5 * time.Second
	// maxMissedIntervals is the number of intervals without a probe after which a router no longer counts as present.
	maxMissedIntervals = 3
	// maxRouters bounds the memory. With more routers the interval stays at the one for this number.
	maxRouters = 32768
	pruneEvery = time.Second
)

// Budget is a rate limit on the probes that a daemon answers.
type Budget struct {
	Config *config.Holder // Budgets.Probes is the number of probes per second

	mu        sync.Mutex
	limiter   *rate.Limiter
	lastProbe map[ident.Incarnation]time.Time // of each router that counts as present
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

// Allow reports whether the probe of a router is within the budget, and the interval after which the router may probe again.
// The interval grows with the number of routers, so that all of them together stay within the budget.
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
