package gate

import (
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/admit/order"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// The weights by which the classes other than Check share the slot time that checks leave. Lookups have short deadlines and writes
// complete an order, so both have the same weight. Uploads are rarer and may wait longer, but their weight must be above 0, or they
// would never be served.
const (
	lookupWeight = 4
	writeWeight  = 4
	uploadWeight = 1
)

var weights = [ident.Classes]time.Duration{
	ident.Lookup: lookupWeight, ident.Write: writeWeight, ident.Upload: uploadWeight,
}

const (
	// slotTimeDivisor gives a new sample 1/16 of the weight in the moving average, which so follows a change within about 16 calls.
	slotTimeDivisor = 16
	// minSlotTime is the minimum by which a grant is accounted, so that passes advance for calls that take no measurable time.
	minSlotTime = 100 * time.Microsecond
)

// waiter is a queued call. Gate.mu guards it until ready is closed.
type waiter struct {
	id       ident.AttemptID
	class    ident.Class
	arrived  time.Time
	deadline time.Time
	until    time.Time      // when the wait times out; not after deadline
	buffered bool           // the body has arrived
	ready    chan struct{}  // closed when the call has got a slot or was refused
	refused  *code.Error    // set before ready is closed; nil means that the call holds a slot
	request  *order.Request // set if the call waits in the queue by precedence
}

// classQueue holds the queued calls in a FIFO list for each class. The classes other than Check are served by stride scheduling:
// each grant advances the pass of its class by its stride, the expected slot time divided by the weight, and the class with the
// lowest pass is next. Gate.mu guards it.
type classQueue struct {
	waiting         [ident.Classes][]*waiter // in order of arrival
	length          int                      // sum over all classes
	pass            [ident.Classes]time.Duration
	virtualTime     time.Duration                // highest pass at which a grant was made; never decreases
	slotTime        [ident.Classes]time.Duration // moving average of the time that a call holds its slot; 0 when unknown
	overallSlotTime time.Duration                // the same over all classes
}

func (q *classQueue) push(w *waiter) {
	if len(q.waiting[w.class]) == 0 {
		q.catchUp(w.class)
	}
	q.waiting[w.class] = append(q.waiting[w.class], w)
	q.length++
}

// catchUp raises the pass of a class to the virtual time. Otherwise a class that has no calls queued, or has reached its own limit of
// slots, would accumulate credit and delay the other classes later.
func (q *classQueue) catchUp(class ident.Class) {
	q.pass[class] = max(q.pass[class], q.virtualTime)
}

// remove removes an entry from the queue and ends its wait: with a slot if refused is nil.
func (q *classQueue) remove(class ident.Class, at int, refused *code.Error) {
	w := q.waiting[class][at]
	q.waiting[class] = slices.Delete(q.waiting[class], at, at+1)
	q.length--
	w.refused = refused
	close(w.ready)
}

// chargeSlot advances the pass of a class that is granted a slot.
func (q *classQueue) chargeSlot(class ident.Class) {
	if class == ident.Check {
		return
	}
	if len(q.waiting[class]) == 0 {
		q.catchUp(class)
	}
	q.virtualTime = max(q.virtualTime, q.pass[class])
	q.pass[class] += q.stride(class)
}

func (q *classQueue) stride(class ident.Class) time.Duration {
	return q.expectedSlotTime(class) / weights[class]
}

// expectedSlotTime estimates how long the next call of the class will hold its slot.
func (q *classQueue) expectedSlotTime(class ident.Class) time.Duration {
	if q.slotTime[class] == 0 {
		return max(q.overallSlotTime, minSlotTime)
	}
	return max(q.slotTime[class], minSlotTime)
}

// measure adds the time that a call held its slot to the averages.
func (q *classQueue) measure(class ident.Class, held time.Duration) {
	if q.overallSlotTime == 0 {
		q.overallSlotTime = held
	}
	if q.slotTime[class] == 0 {
		q.slotTime[class] = held
	}
	q.overallSlotTime += (held - q.overallSlotTime) / slotTimeDivisor
	q.slotTime[class] += (held - q.slotTime[class]) / slotTimeDivisor
}

// next returns the class whose first entry gets a free slot. Checks come first, unless checksBounded is set and a call of another
// class can be granted the slot; the other classes follow in the order of their passes.
func (q *classQueue) next(fits func(ident.Class) bool, checksBounded bool) (ident.Class, bool) {
	best, found := ident.Check, false
	for class := ident.Lookup; class <= ident.Upload; class++ {
		if len(q.waiting[class]) == 0 {
			continue
		}
		if !fits(class) {
			q.catchUp(class)
			continue
		}
		if !found || q.pass[class] < q.pass[best] {
			best, found = class, true
		}
	}
	if len(q.waiting[ident.Check]) > 0 && (!found || !checksBounded) && fits(ident.Check) {
		return ident.Check, true
	}
	return best, found
}

// slotTimeAhead estimates the total slot time of the queued calls that are granted a slot before a new call of the class: all
// checks, and the calls of other classes that are scheduled at a lower or equal pass.
func (q *classQueue) slotTimeAhead(class ident.Class) time.Duration {
	sum := time.Duration(len(q.waiting[ident.Check])) * q.expectedSlotTime(ident.Check)
	if class == ident.Check {
		return sum
	}
	queued := len(q.waiting[class])
	entryPass := q.pass[class]
	if queued == 0 {
		entryPass = max(entryPass, q.virtualTime)
	}
	entryPass += time.Duration(queued) * q.stride(class)
	for other := ident.Lookup; other <= ident.Upload; other++ {
		n := queued
		if other != class {
			n = len(q.waiting[other])
			n = min(n, max(0, int((entryPass-q.pass[other])/q.stride(other))+1))
		}
		sum += time.Duration(n) * q.expectedSlotTime(other)
	}
	return sum
}

// evictionClass returns the class whose newest entry is evicted from a full queue for a new call of class arriving: the class with
// the longest list in proportion to its weight, the new call included. If that is arriving itself, the new call must be refused.
// Checks are never evicted for another class.
func (q *classQueue) evictionClass(arriving ident.Class) ident.Class {
	longest := arriving
	length := 0
	if arriving != ident.Check {
		length = len(q.waiting[arriving]) + 1
	}
	for class := ident.Lookup; class <= ident.Upload; class++ {
		n := len(q.waiting[class])
		if n == 0 || class == arriving {
			continue
		}
		if longest == ident.Check || n*int(weights[longest]) > length*int(weights[class]) {
			longest, length = class, n
		}
	}
	return longest
}

// removeRefused removes the entries for which refuse returns an error, and refuses them with it.
func (q *classQueue) removeRefused(refuse func(w *waiter) *code.Error) {
	for class := range q.waiting {
		for at := 0; at < len(q.waiting[class]); {
			if refused := refuse(q.waiting[class][at]); refused != nil {
				q.remove(ident.Class(class), at, refused)
				continue
			}
			at++
		}
	}
}
