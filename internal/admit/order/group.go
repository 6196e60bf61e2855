package order

import (
	"cmp"
	"math"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

const (
	// MaxPriorities is the number of priorities that are distinguished; lower ones count as the lowest.
	MaxPriorities = 8
	// groups is the number of groups: of each priority the requests of callers, followed by the nested requests.
	groups = 2 * MaxPriorities
	// window is the time constant of the averages. Bursts last 3 to 7 s.
	window = 2 * time.Second
	// minServedShare is the fraction of the requests of a priority that is served, relative to that of all, below which the priority comes
	// first. The bound is a quarter. Refusals of further attempts are not counted; a caller that comes back counts as another request.
	minServedShare = 0.27
	// minArrivals is the number of recent arrivals from which a priority counts as in use.
	minArrivals = 0.5
	// minRate is the number of requests per second from which a slot may be left free for a priority.
	minRate = 1
	// maxBudget is the longest time left until the objective that is averaged.
	maxBudget = time.Hour
)

// budgetDivisor is by which part of the distance the typical budget of a group falls with an arrival that has less time left. Callers that
// come back have little time left and would otherwise hide the time that new requests have.
const budgetDivisor = 64

// group is the recent history of the requests of one priority.
type group struct {
	arrivals, served, refused decaying // requests
	demand                    decaying // slot time needed by arrivals, in seconds
	budget                    time.Duration
	class                     ident.Class
}

func level(r *Request) int {
	return min(max(r.Priority, 0), MaxPriorities-1)
}

func groupOf(r *Request) int {
	if r.Nested {
		return MaxPriorities + level(r)
	}
	return level(r)
}

func (g *group) arrived(class ident.Class, need, budget time.Duration, now time.Time) {
	g.class = class
	g.arrivals.add(1, now)
	g.demand.add(need.Seconds(), now)
	budget = min(max(budget, 0), maxBudget)
	if budget < g.budget {
		budget = g.budget - (g.budget-budget)/budgetDivisor
	}
	g.budget = budget
}

// historyRefresh is the interval at which the history is summarized, because a summary costs as much as some ten comparisons.
const historyRefresh = 5 * time.Millisecond

// recent summarizes the recent history of the groups.
type recent struct {
	at             time.Time
	starved        [groups]bool    // served much more rarely than all requests together
	demand         [groups]float64 // slots that the requests of the group have needed on average
	demandBefore   [groups]float64 // slots that the requests which come before those of the group have needed on average
	arrivalsBefore [groups]float64 // requests per second that come before those of the group
	// shortestBefore is the shortest budget of the groups that come before the group and have had minRate or more.
	shortestBefore [groups]time.Duration
}

func (q *Queue) history(now time.Time) *recent {
	if q.recent.at.IsZero() || now.Sub(q.recent.at) >= historyRefresh {
		q.recent.at = now
		q.summarize(now)
	}
	return &q.recent
}

func (q *Queue) summarize(now time.Time) {
	var served, refused [groups]float64
	allServed, all, demand, arrivals, shortest := 0.0, 0.0, 0.0, 0.0, maxBudget
	for n := range groups {
		i := (n + MaxPriorities) % groups // nested requests come first
		g := &q.groups[i]
		served[i], refused[i] = g.served.value(now), g.refused.value(now)
		allServed += served[i]
		all += served[i] + refused[i]
		q.recent.demandBefore[i], q.recent.arrivalsBefore[i], q.recent.shortestBefore[i] = demand, arrivals, shortest
		q.recent.demand[i] = g.demand.value(now) / window.Seconds()
		demand += q.recent.demand[i]
		rate := g.arrivals.value(now) / window.Seconds()
		arrivals += rate
		if rate >= minRate {
			shortest = min(shortest, g.budget)
		}
	}
	for i := range groups {
		q.recent.starved[i] = refused[i] >= minArrivals && served[i]*all < minServedShare*allServed*(served[i]+refused[i])
	}
}

// reserveAfter is the time until the next slot is freed, relative to the time that a request coming first has until its objective, from
// which a slot is left free for it. Searches with an objective of 250 ms fail when their nested calls wait 45 ms for each slot; the
// reserve raised their share in time from 0.26 to 0.38 in the test load with servers of 9 slots.
const reserveAfter = 0.13

// reserve returns how many slots a request leaves free: as many as requests that come before it are expected in half of the time until
// the next slot is freed, and at least one if these cannot wait for that long. Reserves for all of that time left slots unused and lost 3
// to 10% of the worth in the test load.
func (q *Queue) reserve(r *Request, slots int, now time.Time) int {
	h, own := q.history(now), groupOf(r)
	if h.starved[own] {
		return 0
	}
	untilFree := q.work.expected(r).Seconds() / float64(max(slots, 1))
	if n := int(math.Round(h.arrivalsBefore[own] * untilFree / 2)); n > 0 {
		return n
	}
	if untilFree > reserveAfter*h.shortestBefore[own].Seconds() {
		return 1
	}
	return 0
}

// decaying is a sum whose terms decay with a time constant.
type decaying struct {
	sum    float64
	at     time.Time
	window time.Duration // window if 0
}

func (d *decaying) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/cmp.Or(d.window, window).Seconds())
}

func (d *decaying) add(term float64, now time.Time) {
	d.sum = d.value(now) + term
	d.at = now
}
