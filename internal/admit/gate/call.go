package gate

import (
	"net/url"
	"sync/atomic"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/admit/ledger"
	"marigoldwinch.example/marigoldwinch/internal/admit/limit"
	"marigoldwinch.example/marigoldwinch/internal/admit/order"
	"marigoldwinch.example/marigoldwinch/internal/admit/server"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// maxQueueWait is the maximum time that a request waits for a slot of a server that reports its load. The load of servers changes
// within milliseconds, so another server may have free slots by then.
const maxQueueWait = 40 * time.Millisecond

// epoch is the reference point of the monotonic time of this process.
var epoch = time.Now()

// call is the state of one call. It is used only by the goroutine of Call, except for body and for the methods whose comment names
// another goroutine.
type call struct {
	gate         *Gate
	peer         *proto.Peer
	head         *proto.Head
	stream       proto.Stream
	deadline     time.Time
	arrived      time.Time // when the head was received
	stage        stageTimes
	granted      time.Time // when the call got its slot
	entry        ledger.Entry
	target       *url.URL // parsed Target of head; set by validate
	body         body
	attempt      server.Attempt
	ticket       limit.Ticket
	waiter       waiter
	ordered      *order.Request // nil unless the call was admitted or queued by precedence
	ack          proto.Ack
	acked        bool        // the Ack was sent by acknowledge
	counted      bool        // included in Gate.calls
	outlived     bool        // by the sending of its request; see endRun
	late         atomic.Bool // the response is complete, the request is still being sent
	early        bool        // the response was complete before the body; implies late
	rollout      rolloutCall
	identity     string       // instance that must run the request; set just before the run
	streamEnd    atomic.Int64 // of a non-idempotent call whose stream ended during the run: when, as a duration since arrived; else 0
	headerValues [4]string    // backing array for the values of the headers that the gate adds
}

// Call implements proto.CallHandler.
func (g *Gate) Call(peer *proto.Peer, head *proto.Head, stream proto.Stream) error {
	received := time.Now()
	g.prepare()
	excess := peer.ExcessTransit(head.SentAt, received.Sub(epoch))
	c := &call{
		gate: g, peer: peer, head: head, stream: stream, arrived: received, stage: stageTimes{since: received},
		deadline: received.Add(head.Remaining - excess),
	}
	entry, refused := g.Ledger.Begin(peer, head, c.deadline)
	if refused != nil {
		return c.refuseUnregistered(refused)
	}
	c.entry = entry
	service, refused := g.checkHead(c, excess)
	if refused != nil {
		return c.refuse(refused)
	}
	defer c.leaveUnlessOutlived()
	c.countReceived()
	if c.buffersBody(service) {
		if refused := c.bufferBody(); refused != nil {
			return c.refuse(refused)
		}
	} else {
		c.body.begin(stream, head)
	}
	c.enterStage(AwaitingSlot)
	w, refused := g.admit(c, service)
	if refused != nil {
		return c.refuse(refused)
	}
	verdict := proto.Admitted
	if w != nil {
		verdict = proto.Queued
	}
	c.acknowledge(verdict)
	if w != nil {
		if refused := c.wait(w); refused != nil {
			return c.fail(refused)
		}
		c.granted = time.Now()
	}
	if refused := g.recheck(c); refused != nil {
		g.releaseUnused(head.Class)
		return c.fail(refused)
	}
	if refused := c.beginRollout(); refused != nil {
		g.releaseUnused(head.Class)
		return c.fail(refused)
	}
	defer c.endRollout()
	c.enterStage(Running)
	if g.Instance != nil {
		c.identity = g.Instance.Identity()
	}
	return c.run(service)
}

// refuseUnregistered refuses a call that the ledger did not register. A duplicate id is answered by a Failure instead of a refusing
// Ack, which would state that the attempt did not run.
func (c *call) refuseUnregistered(refused *code.Error) error {
	if refused.Outcome == code.NotRun {
		return c.sendRefusal(refused)
	}
	return c.sendFailure(refused)
}

func (c *call) refuse(refused *code.Error) error {
	if c.acked {
		return c.fail(refused)
	}
	c.entry.Failed(refused)
	return c.sendRefusal(refused)
}

func (c *call) sendRefusal(refused *code.Error) error {
	c.countFailure(refused)
	c.logFailure(refused)
	return c.stream.Send(&proto.Ack{
		Verdict:    proto.Refused,
		Code:       refused.Code,
		Detail:     refused.Detail,
		RetryAfter: c.gate.retryAfter(refused),
		Report:     c.gate.Report(),
	})
}

// fail ends a call whose Ack was sent.
func (c *call) fail(failed *code.Error) error {
	c.entry.Failed(failed)
	return c.sendFailure(failed)
}

func (c *call) sendFailure(failed *code.Error) error {
	c.countFailure(failed)
	c.logFailure(failed)
	return c.stream.Send(&proto.Failure{
		Code:    failed.Code,
		Outcome: failed.Outcome,
		Detail:  failed.Detail,
		Report:  c.gate.Report(),

		RetryAfter: failed.RetryAfter,
	})
}

// wait blocks until the call holds a slot, or returns why it got none.
func (c *call) wait(w *waiter) *code.Error {
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	var ended *code.Error
	for ended == nil {
		select {
		case <-w.ready:
			return w.refused
		case <-timer.C:
			if c.gate.extend(w) {
				timer.Reset(time.Until(w.until))
				continue
			}
			ended = c.waitedTooLong(w)
		case <-c.stream.Context().Done():
			ended = code.NotRunf(code.Cancelled, "the call was cancelled while queued")
		}
	}
	if !c.gate.abandon(w) && w.refused == nil {
		c.gate.releaseUnused(c.head.Class)
	}
	return ended
}

func (c *call) waitedTooLong(w *waiter) *code.Error {
	switch {
	case w.request != nil:
		return code.NotRunf(code.QueueDeadline, "no slot became free in time to run the request within %s", w.deadline.Sub(w.arrived))
	case w.until.Before(c.deadline):
		return code.NotRunf(code.Overloaded, "no slot became free within %s", w.until.Sub(w.arrived))
	}
	return code.NotRunf(code.DeadlineExceeded, "the deadline passed while the request was queued")
}

// run sends the request to the server and the response to the router.
func (c *call) run(service *config.Service) error {
	ctx, cancel := c.runContext()
	defer c.endRun(cancel)
	c.attempt.Request = c.request(ctx)
	if name := c.gate.Dialect.RequestID; name != "" {
		c.attempt.ID = c.head.Header.Get(name)
	}
	c.attempt.ShedsBeforeRun = service.ShedsBeforeRun
	c.gate.Limit.SetBaseline(c.head.PeerLatency)
	c.attempt.Written = c.written
	c.gate.Limit.Begin(&c.ticket, c.head.Class, int(c.gate.running.Load()), c.body.end)
	response, failed := c.gate.Server.Do(&c.attempt)
	if failed != nil {
		c.rollout.noResponse(failed)
		c.recordUnfinished(failed)
		c.gate.Limit.End(&c.ticket, failureResult(failed))
		c.releaseFailed(failed)
		if failed.Code == code.ServerUnreachable && failed.Outcome == code.NotRun {
			c.gate.Limit.Restart(limit.Unreachable)
		}
		return c.fail(failed)
	}
	c.rollout.response(response.StatusCode)
	c.logSlow()
	defer func() { _ = response.Body.Close() }() // the body was forwarded or discarded by then, so an error has no effect
	c.gate.Limit.End(&c.ticket, responseResult(response))
	c.leaveStage().passed.Add(1)
	defer func() { c.gate.times[c.head.Class].Add(time.Since(c.arrived)) }()
	err := c.reply(ctx, response)
	c.awaitBody(ctx)
	return err
}

func (c *call) recordUnfinished(failed *code.Error) {
	if failed.Code == code.DeadlineExceeded {
		c.gate.times[c.head.Class].AddUnfinished(time.Since(c.arrived))
	}
}

// written is called from another goroutine when the whole request has been sent to the server.
func (c *call) written() {
	c.gate.Limit.Written(&c.ticket)
}
