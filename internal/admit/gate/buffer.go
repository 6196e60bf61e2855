package gate

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	// maxArriving is the maximum number of bodies that are buffered concurrently. Four bodies of 60 kB occupy a 10 Mbit/s link
	// for 0.2 s, which delays any request queued behind them by as much.
	maxArriving = 4
	// maxBuffered is the size in bytes of the largest body that is buffered before its request gets a slot. It bounds the memory
	// of a daemon: at most one such body for each arriving body, queue entry and slot.
	maxBuffered = 512 << 10
	// maxQueueWaitBuffered is the maximum time that a request with a buffered body waits for a slot. It is longer than
	// maxQueueWait because the body would have to be sent again to another server.
	maxQueueWaitBuffered = 250 * time.Millisecond
)

// buffersBody reports whether the body is read before the call requests a slot, so that no slot is held during a slow transfer.
func (c *call) buffersBody(service *config.Service) bool {
	return service.ReportsLoad && !c.head.End && c.head.ContentLength > 0 && c.head.ContentLength <= maxBuffered
}

// bufferBody reads the whole body into memory. It sends the Ack, on which the router sends the body, once the number of arriving
// bodies permits it.
func (c *call) bufferBody() *code.Error {
	g := c.gate
	c.enterStage(AwaitingPlace)
	waitCtx, cancel := context.WithTimeout(c.stream.Context(), maxQueueWait)
	defer cancel()
	if g.arrivals.Acquire(waitCtx, 1) != nil {
		return code.NotRunf(code.Overloaded, "%d request bodies are already being received", maxArriving)
	}
	defer g.arrivals.Release(1)
	if refused := g.enterUnlessStopping(c); refused != nil {
		return refused
	}
	c.enterStage(ReceivingBody)
	g.arriving.Add(1)
	defer g.arriving.Add(-1)
	c.acknowledge(proto.Queued)
	c.body.begin(c.stream, c.head)
	done := make(chan *code.Error, 1)
	go func() { done <- c.body.readAll(c.head.ContentLength) }() // returns when the stream ends, if not earlier
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case refused := <-done:
		return refused
	case <-timer.C:
		return code.NotRunf(code.DeadlineExceeded, "the deadline passed while the request body was being received")
	}
}

// enterUnlessStopping counts a call before its body is received, so that Drain waits for the call. It refuses the call when the
// daemon is stopping.
func (g *Gate) enterUnlessStopping(c *call) *code.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping.Load() {
		return g.stoppingError()
	}
	g.enter(c)
	return nil
}

// acknowledge sends the Ack unless it has been sent. A send error does not end the call, because the router then resolves the
// attempt.
func (c *call) acknowledge(verdict proto.Verdict) {
	if c.acked {
		return
	}
	c.acked = true
	c.ack = proto.Ack{Verdict: verdict, Report: c.gate.Report()}
	_ = c.stream.Send(&c.ack)
}
