package gate

import (
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// The weights by which the classes share the slots that checks leave. Lookups are late soon and writes end an order, so
// both get the same; an upload is rarer and may wait longer, but its share must not be 0 since it would then be lost.
const (
	lookupWeight = 4
	writeWeight  = 4
	uploadWeight = 1
)

var weights = [ident.Classes]time.Duration{
	ident.Lookup: lookupWeight, ident.Write: writeWeight, ident.Upload: uploadWeight,
}

const (
	// slotTimeDivisor is the part of a new slot time in the running mean: the mean follows a change within some 16 calls.
	slotTimeDivisor = 16
	// minSlotTime keeps the schedule moving for calls that take no measurable time.
	minSlotTime = 100 * time.Microsecond
)

// waiter is a queued call. The gate's lock guards it until ready is closed.
type waiter struct {
	id       ident.AttemptID
	class    ident.Class
	arrived  time.Time
	deadline time.Time
	until    time.Time     // end of the wait; at most deadline
	ready    chan struct{} // closed when the call got a slot or was refused
	refused  *code.Error   // set before ready is closed; nil means that the call holds a slot
}

// classQueue is the queue: a list for each class, and a stride schedule of the classes that share slots. Each grant moves the
// pass of its class by the expected slot time over the weight, and the lowest pass is next. The gate's lock guards it.
type classQueue struct {
	waiting         [ident.Classes][]*waiter // by arrival
	length          int                      // of all lists
	pass            [ident.Classes]time.Duration
	virtualTime     time.Duration                // highest pass at which a grant was made; never falls
	slotTime        [ident.Classes]time.Duration // running mean of the time that a call holds its slot; 0 when unknown
	overallSlotTime time.Duration                // the same for all classes
}

func (q *classQueue) push(w *waiter) {
	if len(q.waiting[w.class]) == 0 {
		q.catchUp(w.class)
	}
	q.waiting[w.class] = append(q.waiting[w.class], w)
	q.length++
}

// catchUp keeps a class from saving up grants while it has nothing waiting or is held back by its own bound.
func (q *classQueue) catchUp(class ident.Class) {
	q.pass[class] = max(q.pass[class], q.virtualTime)
}

// remove takes an entry out and ends its wait.
func (q *classQueue) remove(class ident.Class, at int, refused *code.Error) {
	w := q.waiting[class][at]
	q.waiting[class] = slices.Delete(q.waiting[class], at, at+1)
	q.length--
	w.refused = refused
	close(w.ready)
}

// chargeSlot accounts a slot that the class is given.
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

// expectedSlotTime is the slot time of the next call of the class.
func (q *classQueue) expectedSlotTime(class ident.Class) time.Duration {
	if q.slotTime[class] == 0 {
		return max(q.overallSlotTime, minSlotTime)
	}
	return max(q.slotTime[class], minSlotTime)
}

// measure notes how long a call held its slot.
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

// next returns the class whose first entry gets a free slot: a check, unless checks hold their bound and another class
// waits; else the one with the lowest pass.
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

// slotTimeAhead returns the slot time that is granted before a new entry of the class: of all checks, and of the entries whose
// pass comes before its own.
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

// evictionClass returns the class that gives up its newest entry for one of class arriving: the one whose list is the longest
// for its weight, counting the new entry. That is the arriving class itself when it has the longest one.
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

// removeRefused removes the entries for which refuse gives a reason.
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
