package gate

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/admit/order"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// precedence is the state of a gate that the order of requests by precedence needs. Gate.mu guards it.
type precedence struct {
	order   order.Queue
	waiters map[*order.Request]*waiter // of the requests in order
	refused [order.MaxPriorities]uint64
	floorAt time.Time // when the floor was last updated
}

// classPriorities are the priorities of requests whose router states none.
var classPriorities = [ident.Classes]int{ident.Check: 0, ident.Lookup: 1, ident.Write: 1, ident.Upload: 2}

// ordersByPrecedence reports whether the configuration in force enables precedence.
func (g *Gate) ordersByPrecedence() bool {
	c := g.Config.Get()
	return c != nil && c.Precedence
}

// newOrderRequest describes the call to the queue of its gate.
func (c *call) newOrderRequest(now time.Time) *order.Request {
	r := &order.Request{
		Class: c.head.Class, Priority: classPriorities[c.head.Class], Nested: c.head.Depth > 0 || c.head.Dependent,
		Organisation: c.head.Organisation,
		Repeated:     c.head.ID.Attempt > 1, Arrived: now, Deadline: c.deadline,
		Weight: c.gate.Config.Get().RateOf(c.head.Organisation),
	}
	if c.head.Objective != 0 {
		r.Priority = c.head.Priority
		r.Objective = c.deadline.Add(c.head.Objective - c.head.Remaining) // the deadline accounts for the transit time
	}
	return r
}

// admitByPrecedence gives the call a slot, queues it, or refuses it. The caller holds g.mu.
func (g *Gate) admitByPrecedence(c *call, service *config.Service, now time.Time) (*waiter, *code.Error) {
	r := c.newOrderRequest(now)
	c.ordered = r
	g.grantByPrecedence(service, now)
	server := order.Server{Slots: g.Limit.Current(), Free: g.freeSlots(r, service), Capacity: service.Queue}
	if !g.order.MayUse(r, server.Slots, server.Free, now) || !g.allowStart(now) {
		server.Free = 0
	}
	d := g.order.Arrive(r, server, now)
	defer g.updateFloor(now)
	switch {
	case d.Reason != order.None:
		return nil, g.refusal(r, d)
	case d.Run:
		g.startByPrecedence(r, now)
		g.enter(c)
		c.granted = now
		return nil, nil
	case d.Evict != nil:
		evicted := order.Decision{Reason: order.Evicted, RetryAfter: d.RetryAfter}
		g.endWait(d.Evict, g.refusal(d.Evict, evicted), now)
	}
	w := &c.waiter
	*w = waiter{id: c.head.ID, class: c.head.Class, arrived: now, deadline: c.deadline, ready: make(chan struct{}), request: r}
	w.until = c.deadline.Add(-d.Need)
	if g.waiters == nil {
		g.waiters = make(map[*order.Request]*waiter)
	}
	g.waiters[r] = w
	g.order.Add(r)
	g.countQueued()
	g.enter(c)
	return w, nil
}

// freeSlots returns how many slots a request may use: all free ones, or those that the share of uploads leaves to an upload.
func (g *Gate) freeSlots(r *order.Request, service *config.Service) int {
	allowed := g.Limit.Current()
	free := allowed - int(g.running.Load())
	if r.Class == ident.Upload {
		free = min(free, uploadSlots(service, allowed)-g.byClass[ident.Upload])
	}
	return free
}

func (g *Gate) startByPrecedence(r *order.Request, now time.Time) {
	g.byClass[r.Class]++
	g.running.Add(1)
	g.order.Granted(r, now)
}

// grantByPrecedence refuses the queued calls that can no longer be answered by their deadline, and those that wait behind a server that
// makes no progress, and grants the free slots to the others. The caller holds g.mu.
func (g *Gate) grantByPrecedence(service *config.Service, now time.Time) {
	if len(g.waiters) == 0 {
		return
	}
	for r := g.order.Expired(now); r != nil; r = g.order.Expired(now) {
		g.endWait(r, g.refusal(r, order.Decision{Reason: order.Deadline}), now)
	}
	if g.order.Stalled(now) {
		g.refuseStalled(now)
	}
	limit := g.Limit.Current()
	may := func(r *order.Request) bool { return g.freeSlots(r, service) > 0 }
	for len(g.waiters) > 0 {
		free := limit - int(g.running.Load())
		if free <= 0 || !g.order.AnyMayUse(limit, free, may, now) || !g.allowStart(now) {
			break
		}
		r := g.order.Next(limit, free, may, now)
		g.startByPrecedence(r, now)
		g.closeWait(r, nil)
	}
	g.countQueued()
}

func (g *Gate) refuseStalled(now time.Time) {
	for i := len(g.order.Waiting()) - 1; i >= 0; i-- {
		r := g.order.Waiting()[i]
		if now.Sub(r.Arrived) >= maxQueueWait {
			g.endWait(r, g.refusal(r, order.Decision{Reason: order.Stalled}), now)
		}
	}
}

// endWait refuses a queued call.
func (g *Gate) endWait(r *order.Request, refused *code.Error, now time.Time) {
	if g.order.Remove(r, now) {
		g.closeWait(r, refused)
	}
}

func (g *Gate) closeWait(r *order.Request, refused *code.Error) {
	w := g.waiters[r]
	delete(g.waiters, r)
	w.refused = refused
	close(w.ready)
}

func (g *Gate) countQueued() {
	g.queued.Store(int64(g.queue.length + len(g.waiters)))
}

// refusal returns the error of a request that gets no slot, and counts it.
func (g *Gate) refusal(r *order.Request, d order.Decision) *code.Error {
	g.refused[min(max(r.Priority, 0), order.MaxPriorities-1)]++
	result := code.LowPrecedence
	switch d.Reason {
	case order.Deadline:
		result = code.QueueDeadline
	case order.Full, order.Stalled:
		result = code.Overloaded
	case order.None, order.Objective, order.Evicted:
	}
	refused := code.NotRunf(result, "decided by %s: priority %d, nested %t, estimated wait %s, slot time %s, limit %d, %d calls queued",
		d.Reason, r.Priority, r.Nested, d.Wait, d.Need, g.Limit.Current(), len(g.waiters))
	refused.RetryAfter = d.RetryAfter
	return refused
}

// floorRefresh is the minimum interval between updates of the floor, which cost as much as several decisions. Routers learn a floor from
// reports, which are as old.
const floorRefresh = 5 * time.Millisecond

// updateFloor updates the priority from which on routers refuse requests. The caller holds g.mu.
func (g *Gate) updateFloor(now time.Time) {
	if now.Sub(g.floorAt) < floorRefresh && len(g.waiters) > 0 {
		return
	}
	g.floorAt = now
	floor := 0
	if len(g.waiters) > 0 {
		floor = g.order.Floor(g.Limit.Current(), now)
	}
	g.floor.Store(int64(floor))
}

// RefusedByPriority returns the number of calls that were refused by precedence since the start, by priority.
func (g *Gate) RefusedByPriority() [order.MaxPriorities]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}
