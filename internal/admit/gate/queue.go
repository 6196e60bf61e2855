package gate

import (
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

const (
	// fullReserveFor is how long the full number of reserved slots is kept after a check.
	fullReserveFor = 10 * time.Second
	// checkPriorityShare is the share of the limit above which checks no longer have priority over queued calls of other classes.
	// A higher load of checks could not be served in time even with priority, and would starve the other classes.
	checkPriorityShare = 0.75
)

// admit gives the call a slot, queues it, or refuses it.
func (g *Gate) admit(c *call, service *config.Service) (*waiter, *code.Error) {
	class := c.head.Class
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping.Load() && !c.counted {
		return nil, g.stoppingError()
	}
	if class == ident.Check {
		g.lastCheck = now
	}
	if g.ordersByPrecedence() {
		return g.admitByPrecedence(c, service, now)
	}
	// Queued calls are served first. A slot that is free for the class after that is not needed by any of them.
	g.grant(service, now)
	if g.fits(class, service, now) && !g.holds(class, c.acked, c.deadline, now) && g.allowStart(now) {
		g.takeSlot(class)
		g.enter(c)
		c.granted = now
		return nil, nil
	}
	if refused := g.refuseIfLate(c, service, now); refused != nil {
		return nil, refused
	}
	if refused := g.makeRoom(class, service); refused != nil {
		return nil, refused
	}
	w := &c.waiter
	*w = waiter{
		id: c.head.ID, class: class, arrived: now, deadline: c.deadline, until: c.deadline, buffered: c.acked, ready: make(chan struct{}),
	}
	maxWait := maxQueueWait
	if c.acked {
		maxWait = maxQueueWaitBuffered
	}
	if limit := now.Add(maxWait); service.ReportsLoad && limit.Before(w.until) {
		w.until = limit
	}
	g.queue.push(w)
	g.pollHeld(now)
	g.countQueued()
	g.enter(c)
	return w, nil
}

// fits reports whether a slot is free for the class. Checks may use all slots, other classes all but the reserved ones, and
// uploads only their share of the limit. Each class may use at least one slot, whatever the limit is.
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

// allowStart reports whether a request may start now, and counts it if so. The rate of requests is limited while the server may be
// cold.
func (g *Gate) allowStart(now time.Time) bool {
	return g.Instance == nil || g.Instance.Take(now)
}

// reserve returns the number of slots that are reserved for checks now. Without a recent check this is half of the configured
// reserve, rounded up, which is enough for the first checks of a burst: the others get slots as running calls end, because checks have
// priority and the first one restores the full reserve. A service whose configuration defines no checks reserves slots only after
// a recent check. It can get checks nevertheless, because a call may inherit the class Check from the call that caused it.
func (g *Gate) reserve(service *config.Service, allowed int, now time.Time) int {
	reserve := min(service.CheckReserve, allowed-1)
	switch {
	case service.ReportsLoad && !service.HasChecks:
		return 0
	case !g.lastCheck.IsZero() && now.Sub(g.lastCheck) < fullReserveFor:
		return reserve
	case len(service.Checks) == 0 && service.Class != ident.Check:
		return 0
	}
	return min(reserve, (service.CheckReserve+1)/2)
}

func uploadSlots(service *config.Service, allowed int) int {
	return max(1, int(service.UploadShare*float64(allowed)))
}

// refuseIfLate refuses a call that is not expected to finish before its deadline. The estimate is based on the slot time of the queued
// calls that are scheduled earlier, the number of slots that the class can use, and the recent service time of the class.
func (g *Gate) refuseIfLate(c *call, service *config.Service, now time.Time) *code.Error {
	class := c.head.Class
	allowed := g.Limit.Current()
	slots := allowed
	if class != ident.Check {
		slots = max(1, allowed-max(g.byClass[ident.Check], g.reserve(service, allowed, now)))
	}
	latency := g.Limit.Latency() // of the running calls, one of which must end first
	wait := (g.queue.slotTimeAhead(class) + latency) / time.Duration(slots)
	if class == ident.Upload {
		uploadsAhead := time.Duration(len(g.queue.waiting[class])) * g.queue.expectedSlotTime(class)
		wait = max(wait, (uploadsAhead+latency)/time.Duration(uploadSlots(service, allowed)))
	}
	need := wait + g.Limit.ClassLatency(class)
	if left := c.deadline.Sub(now); need > left {
		return code.NotRunf(code.QueueDeadline, "estimated time in the queue and at the server is %s, but the deadline is in %s", need, left)
	}
	return nil
}

// makeRoom evicts a queued call of another class when the queue is full, or refuses the new call when there is none to evict.
func (g *Gate) makeRoom(class ident.Class, service *config.Service) *code.Error {
	if g.queue.length < service.Queue {
		return nil
	}
	evicted := g.queue.evictionClass(class)
	if evicted == class {
		return g.fullError()
	}
	g.queue.remove(evicted, len(g.queue.waiting[evicted])-1, g.fullError())
	return nil
}

func (g *Gate) fullError() *code.Error {
	if g.Limit.Warming() {
		return code.NotRunf(code.WarmingUp, "the server is warming up: limit %d reached, %d calls queued", g.Limit.Current(), g.queue.length)
	}
	return code.NotRunf(code.Overloaded, "concurrency limit %d reached, %d calls queued", g.Limit.Current(), g.queue.length)
}

func (g *Gate) refuseQueued(refused *code.Error) {
	g.queue.removeRefused(func(*waiter) *code.Error { return refused })
	for r := range g.waiters {
		g.endWait(r, refused, time.Now())
	}
	g.queued.Store(0)
}

// dispatch grants free slots to queued calls, or refuses all of them while the gate refuses new calls.
func (g *Gate) dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatchLocked()
}

func (g *Gate) dispatchLocked() {
	if g.queue.length == 0 && len(g.waiters) == 0 {
		return
	}
	service, refused := g.serviceOrRefusal()
	if refused != nil {
		g.refuseQueued(refused)
		return
	}
	now := time.Now()
	g.grantByPrecedence(service, now)
	g.grant(service, now)
	g.updateFloor(now)
}

// grant refuses the queued calls that can no longer finish before their deadline, and grants the free slots to the others.
func (g *Gate) grant(service *config.Service, now time.Time) {
	if g.queue.length == 0 {
		return
	}
	g.queue.removeRefused(func(w *waiter) *code.Error {
		if left := w.deadline.Sub(now); left <= 0 || left < g.Limit.ClassLatency(w.class) {
			return code.NotRunf(code.QueueDeadline, "the deadline is in %s, too soon to run the request after its wait in the queue", left)
		}
		return nil
	})
	fits := func(class ident.Class) bool { return g.fits(class, service, now) && !g.holdsFirst(class, now) }
	for g.queue.length > 0 {
		bound := max(1, int(checkPriorityShare*float64(g.Limit.Current())))
		class, found := g.queue.next(fits, g.byClass[ident.Check] >= bound)
		if !found || !g.allowStart(now) {
			break
		}
		g.takeSlot(class)
		g.queue.remove(class, 0, nil)
	}
	g.pollHeld(now)
	g.countQueued()
}

func (g *Gate) takeSlot(class ident.Class) {
	g.queue.chargeSlot(class)
	g.byClass[class]++
	g.running.Add(1)
}

// release frees the slot of a call that has run, and grants it to a queued call.
func (c *call) release() {
	g, class := c.gate, c.head.Class
	held := time.Since(c.granted)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.measure(class, held)
	if c.ordered != nil {
		g.order.Released(c.ordered, held, time.Now())
	}
	g.byClass[class]--
	g.running.Add(-1)
	g.dispatchLocked()
}

// releaseUnused frees a slot whose call did not run. Its short slot time is not measured.
func (g *Gate) releaseUnused(class ident.Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byClass[class]--
	g.running.Add(-1)
	g.dispatchLocked()
}

// abandon removes a call from the queue whose wait timed out or was cancelled. It returns false when the call has already been
// granted a slot or refused.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.request != nil {
		if g.waiters[w.request] != w {
			return false
		}
		g.endWait(w.request, code.NotRunf(code.Cancelled, "the call left the queue"), time.Now())
		g.countQueued()
		return true
	}
	at := slices.Index(g.queue.waiting[w.class], w)
	if at < 0 {
		return false
	}
	g.queue.remove(w.class, at, code.NotRunf(code.Cancelled, "the call left the queue"))
	g.countQueued()
	return true
}

// enter includes a call in g.calls until leave. The caller holds g.mu.
func (g *Gate) enter(c *call) {
	if !c.counted {
		c.counted = true
		g.calls.Add(1)
	}
}

// leave removes an ended call from g.calls and wakes Drain after the last one.
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

// retryAfter estimates after which time a refused call would find a free slot. It returns 0 for refusals unrelated to capacity.
func (g *Gate) retryAfter(refused *code.Error) time.Duration {
	if refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	switch refused.Code {
	case code.Overloaded, code.WarmingUp, code.QueueDeadline:
		return g.timeUntilFree(int(g.queued.Load()) + 1)
	}
	return 0
}

// timeUntilFree estimates the time until the given number of slots have been freed.
func (g *Gate) timeUntilFree(slots int) time.Duration {
	return time.Duration(float64(slots) / float64(g.Limit.Current()) * float64(g.Limit.Latency()))
}
