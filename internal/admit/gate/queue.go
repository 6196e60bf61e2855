package gate

import (
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// waiter is a queued call. The gate's lock guards it until ready is closed.
type waiter struct {
	id       ident.AttemptID
	class    ident.Class
	arrived  time.Time
	deadline time.Time
	ready    chan struct{} // closed when the call got a slot or was refused
	refused  *code.Error   // set before ready is closed; nil means that the call holds a slot
}

// admit gives the call a slot, queues it, or refuses it.
func (g *Gate) admit(c *call, service *config.Service) (*waiter, *code.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping.Load() {
		return nil, code.NotRunf(code.Stopping, "daemon %s is stopping", g.Address)
	}
	// A queued call of the same or a higher class goes first, unless a share of its class holds it back.
	if g.fits(c.head.Class, service) && !g.ahead(c.head.Class, service) {
		g.take(c.head.Class)
		g.calls++
		return nil, nil
	}
	if refused := g.hopeless(c); refused != nil {
		return nil, refused
	}
	if refused := g.makeRoom(c.head.Class, service); refused != nil {
		return nil, refused
	}
	w := &waiter{
		id: c.head.ID, class: c.head.Class, arrived: time.Now(), deadline: c.deadline, ready: make(chan struct{}),
	}
	at := g.position(w.class)
	g.queue = slices.Insert(g.queue, at, w)
	g.queued.Store(int64(len(g.queue)))
	g.calls++
	return w, nil
}

// fits reports whether a slot is free for the class: checks may use all of the limit, other classes all but the
// reserve, and uploads only their share. One slot stays usable for each class whatever the limit is.
func (g *Gate) fits(class ident.Class, service *config.Service) bool {
	allowed := g.Limit.Current()
	running := int(g.running.Load())
	if running >= allowed {
		return false
	}
	if class == ident.Check {
		return true
	}
	reserve := min(service.CheckReserve, allowed-1)
	if running-g.byClass[ident.Check] >= allowed-reserve {
		return false
	}
	share := max(1, int(service.UploadShare*float64(allowed)))
	return class != ident.Upload || g.byClass[ident.Upload] < share
}

func (g *Gate) ahead(class ident.Class, service *config.Service) bool {
	for _, w := range g.queue[:g.position(class)] {
		if g.fits(w.class, service) {
			return true
		}
	}
	return false
}

// position is where a new entry of the class goes.
func (g *Gate) position(class ident.Class) int {
	for i, w := range g.queue {
		if w.class > class {
			return i
		}
	}
	return len(g.queue)
}

// hopeless refuses a call that cannot finish before its deadline: by the time that the server has spent on requests
// lately, for those ahead in the queue and then for its own class.
func (g *Gate) hopeless(c *call) *code.Error {
	wait := g.turns(g.position(c.head.Class) + 1)
	need := wait + g.Limit.Typical(c.head.Class)
	if left := time.Until(c.deadline); need > left {
		return code.NotRunf(code.QueueDeadline, "needs %s in the queue and at the server, has %s", need, left)
	}
	return nil
}

// makeRoom refuses the call when the queue is full, unless the last entry is of a lower class and gives way.
func (g *Gate) makeRoom(class ident.Class, service *config.Service) *code.Error {
	if len(g.queue) < service.Queue {
		return nil
	}
	if last := len(g.queue) - 1; last >= 0 && g.queue[last].class > class {
		g.resolve(last, g.full())
		return nil
	}
	return g.full()
}

func (g *Gate) full() *code.Error {
	if g.Limit.Warming() {
		return code.NotRunf(code.WarmingUp, "the server warms up: limit %d, %d queued", g.Limit.Current(), len(g.queue))
	}
	return code.NotRunf(code.Overloaded, "limit %d reached, %d queued", g.Limit.Current(), len(g.queue))
}

// resolve takes the entry out of the queue, with a slot or with the reason for its refusal.
func (g *Gate) resolve(at int, refused *code.Error) {
	w := g.queue[at]
	g.queue = slices.Delete(g.queue, at, at+1)
	g.queued.Store(int64(len(g.queue)))
	w.refused = refused
	close(w.ready)
}

func (g *Gate) flush(refused *code.Error) {
	for len(g.queue) > 0 {
		g.resolve(0, refused)
	}
}

// dispatch gives free slots to the queue.
func (g *Gate) dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatchLocked()
}

func (g *Gate) dispatchLocked() {
	if len(g.queue) == 0 {
		return
	}
	service, refused := g.refusing()
	if refused != nil {
		g.flush(refused)
		return
	}
	for at := 0; at < len(g.queue); {
		w := g.queue[at]
		left := time.Until(w.deadline)
		switch {
		case left <= 0 || left < g.Limit.Typical(w.class):
			g.resolve(at, code.NotRunf(code.QueueDeadline, "only %s are left after the queue", left))
		case g.fits(w.class, service):
			g.take(w.class)
			g.resolve(at, nil)
		default:
			at++
		}
	}
}

func (g *Gate) take(class ident.Class) {
	g.byClass[class]++
	g.running.Add(1)
}

// release returns a slot and gives it to the queue.
func (g *Gate) release(class ident.Class) {
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
	at := slices.Index(g.queue, w)
	if at < 0 {
		return false
	}
	g.resolve(at, code.NotRunf(code.Cancelled, "the wait ended"))
	return true
}

// leave notes the end of an admitted or queued call.
func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls--
	if g.calls == 0 && g.idle != nil {
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
