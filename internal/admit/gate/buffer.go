package gate

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	// maxArriving bounds the bodies that arrive at once. On a link of 10 Mbit/s, four of 60 kB keep it busy for 0.2 s, which is
	// what a request behind them waits.
	maxArriving = 4
	// maxBuffered is the largest body that is collected before its request gets a slot. What a daemon holds is bounded by it
	// times the bodies that arrive, the queue and the slots.
	maxBuffered = 512 << 10
	// maxQueueWaitBuffered is how long a request whose body has arrived waits for a slot. Another server would have to be sent the body
	// again.
	maxQueueWaitBuffered = 250 * time.Millisecond
)

// buffersBody reports whether the body of a call is read before the call asks for a slot, so that no slot of the server waits for a link.
func (c *call) buffersBody(service *config.Service) bool {
	return service.ReportsLoad && !c.head.End && c.head.ContentLength > 0 && c.head.ContentLength <= maxBuffered
}

// bufferBody reads the body of the call. It sends the ack as soon as the body may come.
func (c *call) bufferBody() *code.Error {
	g := c.gate
	waiting, cancel := context.WithTimeout(c.stream.Context(), maxQueueWait)
	defer cancel()
	if g.arrivals.Acquire(waiting, 1) != nil {
		return code.NotRunf(code.Overloaded, "%d bodies arrive already", maxArriving)
	}
	defer g.arrivals.Release(1)
	if refused := g.enterUnlessStopping(c); refused != nil {
		return refused
	}
	g.arriving.Add(1)
	defer g.arriving.Add(-1)
	c.acknowledge(proto.Queued)
	c.body.begin(c.stream, c.head)
	done := make(chan *code.Error, 1)
	go func() { done <- c.body.readAll(c.head.ContentLength) }() // ends with the stream at the latest
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case refused := <-done:
		c.bodyReceived = time.Now()
		return refused
	case <-timer.C:
		return code.NotRunf(code.DeadlineExceeded, "the deadline passed while the body arrived")
	}
}

// enterUnlessStopping counts a call whose body may come, so that a drain waits for it.
func (g *Gate) enterUnlessStopping(c *call) *code.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping.Load() {
		return g.stoppingError()
	}
	g.enter(c)
	return nil
}

// acknowledge sends the ack. A failed one is not the end of the call: the router resolves it.
func (c *call) acknowledge(verdict proto.Verdict) {
	if c.acked {
		return
	}
	c.acked = true
	c.ack = proto.Ack{Verdict: verdict, Report: c.gate.Report()}
	_ = c.stream.Send(&c.ack)
}
