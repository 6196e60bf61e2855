// Package order decides which of the requests that compete for the slots of a server get one, wait or are refused. It has no goroutines
// and no clock; the code that uses it passes the time and holds a lock.
package order

import (
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Request is a request that needs a slot.
type Request struct {
	Class        ident.Class
	Priority     int     // 0 is the highest
	Nested       bool    // made by a running request, whose work is lost if this one fails
	Repeated     bool    // a further attempt, after another server has refused the request
	Organisation string  // empty if unknown
	Weight       float64 // size of the organisation's share, relative to those of others; 1 when 0
	Arrived      time.Time
	Objective    time.Time // a later response is worth little; zero without an objective
	Deadline     time.Time

	sequence uint64 // order of arrival in the queue
}

// Reason is what decided that a request gets no slot.
type Reason int

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment -output=names.go

// Reasons.
const (
	None      Reason = iota // none
	Deadline                // deadline: the request cannot be answered by its deadline
	Objective               // objective: it cannot be answered within its objective, and others that can are waiting
	Full                    // queue-full: the queue is full of requests that come first
	Evicted                 // evicted: a request that comes first took its place in a full queue
	Stalled                 // stalled: no slot became free for too long
)

// Server is the state of the server when a request arrives.
type Server struct {
	Slots    int // that may be in use at once
	Free     int // that the request may use as far as its class is concerned
	Capacity int // maximum length of the queue
}

// Decision is the decision on an arriving request: it is refused, or it gets a slot if Run is set, or else it may be added to the queue.
type Decision struct {
	Reason     Reason // None unless it is refused
	Run        bool
	Wait       time.Duration // estimated time until it gets a slot
	Need       time.Duration // expected slot time
	RetryAfter time.Duration // time after which such a request will probably be served in time; 0 if it is not refused
	Evict      *Request      // waiting request whose place it takes; nil if the queue has room
}

const (
	// lateReserve is the share of the slots that requests which can no longer be in time leave free. They are worth a tenth of those
	// that may arrive next; with a reserve of an eighth the test load lost up to 4% of the worth.
	lateReserve = 0.5
	// overReserve is the share of the slots that requests of an organisation leave free for each half of its share that it has had more,
	// up to maxOver halves. Without it, the heavy organisation's requests take every slot that is free for a moment, so that those of
	// others wait more often: their share in time fell by 0.05 at a utilization of 1 instead of 0.02.
	overReserve = 0.125
	maxOver     = 6
	// A server counts as stalled after stallFactor times the mean slot time without a freed slot. Noise on an instance slows a server for
	// 150 ms at a time, after which minStall leaves time for the first responses.
	stallFactor = 2
	minStall    = 250 * time.Millisecond
	// minRetryAfter is the shortest Retry-After: an earlier return would find the same queue.
	minRetryAfter = 20 * time.Millisecond
)

// Queue holds the waiting requests of one server and the history on which decisions are based. The zero value is empty.
type Queue struct {
	waiting  []*Request // in order of arrival
	sequence uint64
	groups   [groups]group
	shares   [MaxPriorities]shares
	work     work
	recent   recent
	progress time.Time // when a slot was last granted or freed
}

// Waiting returns the waiting requests in order of arrival. The caller does not change it.
func (q *Queue) Waiting() []*Request {
	return q.waiting
}

// Arrive decides on an arriving request, after all waiting requests that may get a slot have got one.
func (q *Queue) Arrive(r *Request, server Server, now time.Time) Decision {
	q.arrived(r, now)
	d := Decision{Need: q.work.expected(r)}
	d.Run = q.MayUse(r, server.Slots, server.Free, now)
	if !d.Run {
		d.Wait = q.estimateWait(r, server.Slots, now)
	}
	end := now.Add(d.Wait + d.Need)
	late := !q.inTime(r, d.Wait, q.bound(r, server.Slots, now), now)
	switch {
	case end.After(r.Deadline):
		d.Reason = Deadline
	case d.Run:
	case late && q.anyNotBehind(r, now):
		d.Reason = Objective
	case len(q.waiting) >= server.Capacity:
		d.Evict = q.last(r, now)
		if d.Evict == nil {
			d.Reason = Full
		}
	}
	if d.Reason != None {
		d.Run = false
		d.RetryAfter = q.retryAfter(r, d, server.Slots, now)
		q.refused(r, now)
	}
	return d
}

// Add adds a request to the queue.
func (q *Queue) Add(r *Request) {
	q.sequence++
	r.sequence = q.sequence
	q.waiting = append(q.waiting, r)
}

// Remove removes a request that got no slot. It reports false if the request was not waiting.
func (q *Queue) Remove(r *Request, now time.Time) bool {
	at := slices.Index(q.waiting, r)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	q.refused(r, now)
	return true
}

// Next returns the waiting request that gets the next slot and removes it, or returns nil. free is the number of free slots; may reports
// whether the class of a request may use one of them.
func (q *Queue) Next(slots, free int, may func(*Request) bool, now time.Time) *Request {
	if free <= 0 {
		return nil
	}
	best, bestRank := -1, rank{}
	for i, r := range q.waiting {
		if !may(r) || !q.MayUse(r, slots, free, now) {
			continue
		}
		if k := q.rank(r, now); best < 0 || k.before(bestRank) {
			best, bestRank = i, k
		}
	}
	if best < 0 {
		return nil
	}
	r := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return r
}

// AnyMayUse reports whether Next would return a request.
func (q *Queue) AnyMayUse(slots, free int, may func(*Request) bool, now time.Time) bool {
	return slices.ContainsFunc(q.waiting, func(r *Request) bool { return may(r) && q.MayUse(r, slots, free, now) })
}

// MayUse reports whether a request may take one of the free slots, or must leave them to requests that come first and are expected
// before the next slot is freed.
func (q *Queue) MayUse(r *Request, slots, free int, now time.Time) bool {
	reserve := q.reserve(r, slots, now)
	if !q.inTime(r, 0, probable, now) {
		reserve = max(reserve, int(lateReserve*float64(slots)))
	}
	if over := q.over(r, now); over > 0 {
		reserve = max(reserve, int(min(float64(over), maxOver)*overReserve*float64(slots)))
	}
	return free > min(reserve, slots-1)
}

// Stalled reports whether no slot has been granted or freed for so long that waiting requests have a better chance at another server.
func (q *Queue) Stalled(now time.Time) bool {
	return !q.progress.IsZero() && now.Sub(q.progress) > max(minStall, stallFactor*q.work.overall)
}

// Expired returns the first waiting request that can no longer be answered by its deadline, or nil.
func (q *Queue) Expired(now time.Time) *Request {
	for _, r := range q.waiting {
		if now.Add(q.work.expected(r)).After(r.Deadline) {
			return r
		}
	}
	return nil
}

// last returns the waiting request that comes last, or nil if that is the arriving request r itself.
func (q *Queue) last(r *Request, now time.Time) *Request {
	var last *Request
	lastRank := q.rank(r, now)
	for _, w := range q.waiting {
		if k := q.rank(w, now); lastRank.before(k) {
			last, lastRank = w, k
		}
	}
	return last
}

// anyNotBehind reports whether a request is waiting that can be in time and that r would not come before if r could be in time too.
func (q *Queue) anyNotBehind(r *Request, now time.Time) bool {
	k := q.rank(r, now)
	return slices.ContainsFunc(q.waiting, func(w *Request) bool {
		other := q.rank(w, now)
		return other.inTime && !k.outranks(other)
	})
}

func (q *Queue) arrived(r *Request, now time.Time) {
	need := q.work.expected(r)
	budget := maxBudget
	if !r.Objective.IsZero() {
		budget = r.Objective.Sub(now)
	}
	q.groups[groupOf(r)].arrived(r.Class, need, budget, now)
	if !r.Nested {
		q.shares[level(r)].of(r).demand.add(need.Seconds(), now)
	}
}

// Granted records that a request got a slot.
func (q *Queue) Granted(r *Request, now time.Time) {
	q.progress = now
	q.groups[groupOf(r)].served.add(1, now)
	if !r.Nested {
		q.shares[level(r)].of(r).granted.add(q.work.expected(r).Seconds(), now)
	}
}

// Released records that a request has freed its slot after it ran for the given time; 0 if it did not run.
func (q *Queue) Released(r *Request, held time.Duration, now time.Time) {
	q.progress = now
	if held > 0 {
		q.work.add(r, held)
	}
}

func (q *Queue) refused(r *Request, now time.Time) {
	if !r.Repeated {
		q.groups[groupOf(r)].refused.add(1, now)
	}
}
