package order

import (
	"cmp"
	"time"
)

// bound returns the probability of being in time that an arriving request needs in order to wait behind others.
func (q *Queue) bound(r *Request, slots int, now time.Time) float64 {
	h, g := q.history(now), groupOf(r)
	if h.demandBefore[g]+h.demand[g] < float64(slots) {
		return probable
	}
	return likely
}

// rank determines the place of a request in the queue.
type rank struct {
	lifted   bool // of a priority that is served too rarely
	nested   bool
	inTime   bool
	priority int
	over     int // by how much its organisation has had more than its share; 0 if it has not
	need     time.Duration
	sequence uint64 // 0 for an arriving request, which comes last among equals
}

func (q *Queue) rank(r *Request, now time.Time) rank {
	k := rank{
		nested: r.Nested, inTime: q.inTime(r, 0, probable, now), priority: level(r), need: q.work.expected(r), sequence: r.sequence,
		over: q.over(r, now),
	}
	k.lifted = k.inTime && q.history(now).starved[groupOf(r)]
	return k
}

// before reports whether a request of rank k comes before one of rank other.
func (k rank) before(other rank) bool {
	return cmp.Or(
		first(k.lifted, other.lifted), first(k.nested, other.nested), first(k.inTime, other.inTime),
		cmp.Compare(k.priority, other.priority), cmp.Compare(k.over, other.over), cmp.Compare(k.need, other.need),
		cmp.Compare(k.sequence-1, other.sequence-1), // 0 becomes the highest number
	) < 0
}

// outranks reports whether a request of rank k comes before one of rank other if both can be in time, whatever their slot time.
func (k rank) outranks(other rank) bool {
	return cmp.Or(
		first(k.lifted, other.lifted), first(k.nested, other.nested), cmp.Compare(k.priority, other.priority), cmp.Compare(k.over, other.over),
	) < 0
}

func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Probabilities of being answered within the objective, relative to that of a request that has just arrived and gets a slot at once. The
// objective may be tight for every request: that of searches is little more than their slot time.
const (
	// likely is the bound for an arriving request that waits behind others. With 0.5 the test load lost 3 to 6% of the worth, because more
	// requests ended late.
	likely = 0.95
	// probable is the bound for an arriving request that waits behind others while all requests of its group can be served, and for one
	// that is waiting already.
	probable = 0.8
)

// inTime reports whether a request that gets a slot after wait can be answered within its objective, with at least the given share of the
// probability that it had at first. A nested request only needs to
// meet its deadline, because its failure wastes the work of the request that made it.
func (q *Queue) inTime(r *Request, wait time.Duration, share float64, now time.Time) bool {
	if r.Nested || r.Objective.IsZero() {
		return true
	}
	left := r.Objective.Sub(now) - wait
	times := q.work.of(r)
	chance := times.chance(left)
	return chance > 0 && chance >= share*times.chance(q.groups[groupOf(r)].budget)
}

// estimateWait estimates when an arriving request would get a slot: after the waiting requests that come before it, on the slots that
// requests which come before it have not needed recently.
func (q *Queue) estimateWait(r *Request, slots int, now time.Time) time.Duration {
	k := q.rank(r, now)
	ahead := q.work.overall // of the running requests, one of which must end first
	for _, w := range q.waiting {
		if q.rank(w, now).before(k) {
			ahead += q.work.expected(w)
		}
	}
	usable := float64(slots)
	if !k.lifted {
		usable = max(usable-q.history(now).demandBefore[groupOf(r)], minUsable*usable)
	}
	return time.Duration(float64(ahead) / max(usable, minUsable))
}

// minUsable is the share of the slots that requests which come first leave to the others at least, because their recent demand may
// end at any time.
const minUsable = 0.1

// retryAfter estimates after which time a refused request would be served in time if it came back.
func (q *Queue) retryAfter(r *Request, d Decision, slots int, now time.Time) time.Duration {
	slack := time.Duration(0)
	if !r.Objective.IsZero() && !r.Nested {
		slack = max(0, r.Objective.Sub(now)-d.Need)
	}
	return max(d.Wait-slack, q.work.overall/time.Duration(max(slots, 1)), minRetryAfter)
}

// Floor returns the priority from which on a request that arrives now would be refused, or 0 if there is none. Requests of priority 0
// are always considered.
func (q *Queue) Floor(slots int, now time.Time) int {
	for priority := 1; priority < MaxPriorities; priority++ {
		g := &q.groups[priority]
		if g.arrivals.value(now) < minArrivals {
			continue
		}
		r := &Request{
			Class: g.class, Priority: priority, Deadline: now.Add(maxBudget), Objective: now.Add(g.budget),
		}
		wait := q.estimateWait(r, slots, now)
		if !q.inTime(r, wait, q.bound(r, slots, now), now) && q.anyNotBehind(r, now) && !q.history(now).starved[priority] {
			return priority
		}
	}
	return 0
}
