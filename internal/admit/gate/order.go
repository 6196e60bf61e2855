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
	// spentDivisor is the part of a new slot time in the running mean: the mean follows a change within some 16 calls.
	spentDivisor = 16
	// leastSpent keeps the schedule moving for calls that take no measurable time.
	leastSpent = 100 * time.Microsecond
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

// order is the queue: a list for each class, and a stride schedule of the classes that share slots. Each grant moves the
// pass of its class by the expected slot time over the weight, and the lowest pass is next. The gate's lock guards it.
type order struct {
	waiting [ident.Classes][]*waiter // by arrival
	length  int                      // of all lists
	pass    [ident.Classes]time.Duration
	clock   time.Duration                // highest pass at which a grant was made; never falls
	spent   [ident.Classes]time.Duration // running mean of the time that a call holds its slot; 0 when unknown
	overall time.Duration                // the same for all classes
}

func (o *order) push(w *waiter) {
	if len(o.waiting[w.class]) == 0 {
		o.resume(w.class)
	}
	o.waiting[w.class] = append(o.waiting[w.class], w)
	o.length++
}

// resume keeps a class from saving up grants while it has nothing waiting or is held back by its own bound.
func (o *order) resume(class ident.Class) {
	o.pass[class] = max(o.pass[class], o.clock)
}

// remove takes an entry out and ends its wait.
func (o *order) remove(class ident.Class, at int, refused *code.Error) {
	w := o.waiting[class][at]
	o.waiting[class] = slices.Delete(o.waiting[class], at, at+1)
	o.length--
	w.refused = refused
	close(w.ready)
}

// charge accounts a slot that the class is given.
func (o *order) charge(class ident.Class) {
	if class == ident.Check {
		return
	}
	if len(o.waiting[class]) == 0 {
		o.resume(class)
	}
	o.clock = max(o.clock, o.pass[class])
	o.pass[class] += o.stride(class)
}

func (o *order) stride(class ident.Class) time.Duration {
	return o.expected(class) / weights[class]
}

// expected is the slot time of the next call of the class.
func (o *order) expected(class ident.Class) time.Duration {
	if o.spent[class] == 0 {
		return max(o.overall, leastSpent)
	}
	return max(o.spent[class], leastSpent)
}

// measure notes how long a call held its slot.
func (o *order) measure(class ident.Class, held time.Duration) {
	if o.overall == 0 {
		o.overall = held
	}
	if o.spent[class] == 0 {
		o.spent[class] = held
	}
	o.overall += (held - o.overall) / spentDivisor
	o.spent[class] += (held - o.spent[class]) / spentDivisor
}

// next returns the class whose first entry gets a free slot: a check, unless checks hold their bound and another class
// waits; else the one with the lowest pass.
func (o *order) next(fits func(ident.Class) bool, checksBounded bool) (ident.Class, bool) {
	best, found := ident.Check, false
	for class := ident.Lookup; class <= ident.Upload; class++ {
		if len(o.waiting[class]) == 0 {
			continue
		}
		if !fits(class) {
			o.resume(class)
			continue
		}
		if !found || o.pass[class] < o.pass[best] {
			best, found = class, true
		}
	}
	if len(o.waiting[ident.Check]) > 0 && (!found || !checksBounded) && fits(ident.Check) {
		return ident.Check, true
	}
	return best, found
}

// ahead returns the slot time that is granted before a new entry of the class: of all checks, and of the entries whose
// pass comes before its own.
func (o *order) ahead(class ident.Class) time.Duration {
	sum := time.Duration(len(o.waiting[ident.Check])) * o.expected(ident.Check)
	if class == ident.Check {
		return sum
	}
	own := len(o.waiting[class])
	turn := o.pass[class]
	if own == 0 {
		turn = max(turn, o.clock)
	}
	turn += time.Duration(own) * o.stride(class)
	for other := ident.Lookup; other <= ident.Upload; other++ {
		n := own
		if other != class {
			n = len(o.waiting[other])
			n = min(n, max(0, int((turn-o.pass[other])/o.stride(other))+1))
		}
		sum += time.Duration(n) * o.expected(other)
	}
	return sum
}

// yielding returns the class that gives up its newest entry for one of class arriving: the one whose list is the longest
// for its weight, counting the new entry. That is the arriving class itself when it has the longest one.
func (o *order) yielding(arriving ident.Class) ident.Class {
	longest := arriving
	length := 0
	if arriving != ident.Check {
		length = len(o.waiting[arriving]) + 1
	}
	for class := ident.Lookup; class <= ident.Upload; class++ {
		n := len(o.waiting[class])
		if n == 0 || class == arriving {
			continue
		}
		if longest == ident.Check || n*int(weights[longest]) > length*int(weights[class]) {
			longest, length = class, n
		}
	}
	return longest
}

// drop removes the entries for which refuse gives a reason.
func (o *order) drop(refuse func(w *waiter) *code.Error) {
	for class := range o.waiting {
		for at := 0; at < len(o.waiting[class]); {
			if refused := refuse(o.waiting[class][at]); refused != nil {
				o.remove(ident.Class(class), at, refused)
				continue
			}
			at++
		}
	}
}
