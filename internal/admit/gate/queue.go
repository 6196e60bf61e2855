package gate

import (
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

const (
	// checkMemory is how long the whole reserve stays after a check.
	checkMemory = 10 * time.Second
	// checkShare is the part of the limit above which checks no longer go before waiting calls of other classes. Checks
	// that offer more than this cannot be served in time by going first, and would starve the others.
	checkShare = 0.75
)

// admit gives the call a slot, queues it, or refuses it.
func (g *Gate) admit(c *call, service *config.Service) (*waiter, *code.Error) {
	class := c.head.Class
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping.Load() && !c.counted {
		return nil, g.stops()
	}
	if class == ident.Check {
		g.lastCheck = now
	}
	// After the queue has its turn, a slot that is still free for the class is owed to no one who waits.
	g.grant(service, now)
	if g.fits(class, service, now) && g.mayStart(now) {
		g.take(class)
		g.enter(c)
		c.granted = now
		return nil, nil
	}
	if refused := g.hopeless(c, service, now); refused != nil {
		return nil, refused
	}
	if refused := g.makeRoom(class, service); refused != nil {
		return nil, refused
	}
	w := &c.waiter
	*w = waiter{id: c.head.ID, class: class, arrived: now, deadline: c.deadline, until: c.deadline, ready: make(chan struct{})}
	patience := shortWait
	if c.acked {
		patience = collectedWait
	}
	if short := now.Add(patience); service.ReportsLoad && short.Before(w.until) {
		w.until = short
	}
	g.queue.push(w)
	g.queued.Store(int64(g.queue.length))
	g.enter(c)
	return w, nil
}

// fits reports whether a slot is free for the class: checks may use all of the limit, other classes all but the
// reserve, and uploads only their share. One slot stays usable for each class whatever the limit is.
func (g *Gate) fits(class ident.Class, service *config.Service, now time.Time) bool {
	allowed := g.Limit.Current()
	running := int(g.running.Load())
	if running >= allowed {
		return false
	}
	if class == ident.Check {
		return true
	}
	if running-g.byClass[ident.Check] >= allowed-g.reserve(service, allowed, now) {
		return false
	}
	return class != ident.Upload || g.byClass[ident.Upload] < uploadSlots(service, allowed)
}

// mayStart reports whether the rate of a server that may be cold leaves room for a request, and counts it.
func (g *Gate) mayStart(now time.Time) bool {
	return g.Instance == nil || g.Instance.Take(now)
}

// reserve returns how many slots are kept for checks now. Without a recent check half of them, rounded up, is enough for
// the first of a burst; the others follow as calls in service end, since checks go first and bring back the whole
// reserve. A service that can have no checks by its configuration keeps slots only while checks come, which they can
// with the class of the call that caused them.
func (g *Gate) reserve(service *config.Service, allowed int, now time.Time) int {
	reserve := min(service.CheckReserve, allowed-1)
	switch {
	case service.ReportsLoad && !service.HasChecks:
		return 0
	case !g.lastCheck.IsZero() && now.Sub(g.lastCheck) < checkMemory:
		return reserve
	case len(service.Checks) == 0 && service.Class != ident.Check:
		return 0
	}
	return min(reserve, (service.CheckReserve+1)/2)
}

func uploadSlots(service *config.Service, allowed int) int {
	return max(1, int(service.UploadShare*float64(allowed)))
}

// hopeless refuses a call that cannot finish before its deadline: by the slot time that the schedule grants before it,
// the slots that its class can get, and the time that the server has spent on its class lately.
func (g *Gate) hopeless(c *call, service *config.Service, now time.Time) *code.Error {
	class := c.head.Class
	allowed := g.Limit.Current()
	slots := allowed
	if class != ident.Check {
		slots = max(1, allowed-max(g.byClass[ident.Check], g.reserve(service, allowed, now)))
	}
	turn := g.Limit.Latency() // of the calls in service, one of which must end
	wait := (g.queue.ahead(class) + turn) / time.Duration(slots)
	if class == ident.Upload {
		own := time.Duration(len(g.queue.waiting[class])) * g.queue.expected(class)
		wait = max(wait, (own+turn)/time.Duration(uploadSlots(service, allowed)))
	}
	need := wait + g.Limit.ClassLatency(class)
	if left := c.deadline.Sub(now); need > left {
		return code.NotRunf(code.QueueDeadline, "needs %s in the queue and at the server, has %s", need, left)
	}
	return nil
}

// makeRoom refuses the call when the queue is full, unless an entry of another class gives way.
func (g *Gate) makeRoom(class ident.Class, service *config.Service) *code.Error {
	if g.queue.length < service.Queue {
		return nil
	}
	yields := g.queue.yielding(class)
	if yields == class {
		return g.full()
	}
	g.queue.remove(yields, len(g.queue.waiting[yields])-1, g.full())
	return nil
}

func (g *Gate) full() *code.Error {
	if g.Limit.Warming() {
		return code.NotRunf(code.WarmingUp, "the server warms up: limit %d, %d queued", g.Limit.Current(), g.queue.length)
	}
	return code.NotRunf(code.Overloaded, "limit %d reached, %d queued", g.Limit.Current(), g.queue.length)
}

func (g *Gate) flush(refused *code.Error) {
	g.queue.drop(func(*waiter) *code.Error { return refused })
	g.queued.Store(0)
}

// dispatch gives free slots to the queue.
func (g *Gate) dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatchLocked()
}

func (g *Gate) dispatchLocked() {
	if g.queue.length == 0 {
		return
	}
	service, refused := g.refusing()
	if refused != nil {
		g.flush(refused)
		return
	}
	g.grant(service, time.Now())
}

// grant refuses the entries that have become too late, and gives the free slots to the others.
func (g *Gate) grant(service *config.Service, now time.Time) {
	if g.queue.length == 0 {
		return
	}
	g.queue.drop(func(w *waiter) *code.Error {
		if left := w.deadline.Sub(now); left <= 0 || left < g.Limit.ClassLatency(w.class) {
			return code.NotRunf(code.QueueDeadline, "only %s are left after the queue", left)
		}
		return nil
	})
	fits := func(class ident.Class) bool { return g.fits(class, service, now) }
	for g.queue.length > 0 {
		bound := max(1, int(checkShare*float64(g.Limit.Current())))
		class, found := g.queue.next(fits, g.byClass[ident.Check] >= bound)
		if !found || !g.mayStart(now) {
			break
		}
		g.take(class)
		g.queue.remove(class, 0, nil)
	}
	g.queued.Store(int64(g.queue.length))
}

func (g *Gate) take(class ident.Class) {
	g.queue.charge(class)
	g.byClass[class]++
	g.running.Add(1)
}

// release returns the slot of the call and gives it to the queue.
func (c *call) release() {
	g, class := c.gate, c.head.Class
	held := time.Since(c.granted)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.measure(class, held)
	g.byClass[class]--
	g.running.Add(-1)
	g.dispatchLocked()
}

// unused returns a slot that the call did not use.
func (g *Gate) unused(class ident.Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byClass[class]--
	g.running.Add(-1)
	g.dispatchLocked()
}

// abandon takes a call out of the queue whose wait ended early. It reports false when the call was resolved meanwhile.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := slices.Index(g.queue.waiting[w.class], w)
	if at < 0 {
		return false
	}
	g.queue.remove(w.class, at, code.NotRunf(code.Cancelled, "the wait ended"))
	g.queued.Store(int64(g.queue.length))
	return true
}

func (g *Gate) stops() *code.Error {
	return code.NotRunf(code.Stopping, "daemon %s is stopping", g.Address)
}

// enter counts a call until leave. It is called under the lock.
func (g *Gate) enter(c *call) {
	if !c.counted {
		c.counted = true
		g.calls.Add(1)
	}
}

// leave notes the end of a call.
func (g *Gate) leave(c *call) {
	if !c.counted || g.calls.Add(-1) > 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls.Load() == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// retryAfter estimates when a refused call would find a slot.
func (g *Gate) retryAfter(refused *code.Error) time.Duration {
	switch refused.Code {
	case code.Overloaded, code.WarmingUp, code.QueueDeadline:
		return g.turns(int(g.queued.Load()) + 1)
	}
	return 0
}

// turns estimates how long it takes until so many slots have become free.
func (g *Gate) turns(slots int) time.Duration {
	return time.Duration(float64(slots) / float64(g.Limit.Current()) * float64(g.Limit.Latency()))
}
