package gate

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/admit/ledger"
	"marigoldwinch.example/marigoldwinch/internal/admit/limit"
	"marigoldwinch.example/marigoldwinch/internal/admit/server"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// lostGrace is how long a non-idempotent request goes on after its stream broke. A router that lost the connection
// resolves within it, and then fetches the response; without a resolve the request is cancelled.
const lostGrace = time.Second

// shortWait is how long a request waits at a server that tells its load. Such a server's load shifts within milliseconds, so
// that another one can have become the better place.
const shortWait = 40 * time.Millisecond

// noticeTime is how long a server may take to notice that the connection of a request has closed.
const noticeTime = 100 * time.Millisecond

// epoch is the origin of this process's monotonic time.
var epoch = time.Now()

// call is one call in service. Only the goroutine of Call uses it, except for body and the methods that say so.
type call struct {
	gate      *Gate
	peer      *proto.Peer
	head      *proto.Head
	stream    proto.Stream
	deadline  time.Time
	arrived   time.Time // when its head came
	collected time.Time // when its body was there; arrived for one that is not collected
	granted   time.Time // when the call got its slot
	entry     ledger.Entry
	target    *url.URL // of head; set by check
	body      body
	attempt   server.Attempt
	ticket    limit.Ticket
	waiter    waiter
	ack       proto.Ack
	acked     bool      // by acknowledge
	counted   bool      // in the calls of the gate
	identity  string    // that the server must have; set just before the run
	values    [4]string // of the headers that the gate adds
}

// Call implements proto.CallHandler.
func (g *Gate) Call(peer *proto.Peer, head *proto.Head, stream proto.Stream) error {
	received := time.Now()
	g.prepare()
	excess := peer.ExcessTransit(head.SentAt, received.Sub(epoch))
	c := &call{
		gate: g, peer: peer, head: head, stream: stream, arrived: received, collected: received,
		deadline: received.Add(head.Remaining - excess),
	}
	entry, refused := g.Ledger.Begin(peer, head, c.deadline)
	if refused != nil {
		return c.refuseUnregistered(refused)
	}
	c.entry = entry
	service, refused := g.check(c, excess)
	if refused != nil {
		return c.refuse(refused)
	}
	defer g.leave(c)
	if c.collects(service) {
		if refused := c.collect(); refused != nil {
			return c.refuse(refused)
		}
	} else {
		c.body.begin(stream, head)
	}
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
		g.unused(head.Class)
		return c.fail(refused)
	}
	if g.Instance != nil {
		c.identity = g.Instance.Identity()
	}
	return c.run(service)
}

// refuseUnregistered refuses a call that the ledger did not take. A repeated id gets no Ack, since a refusal would say
// that the attempt did not run.
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
	c.gate.count(refused.Code)
	c.explain(refused)
	return c.stream.Send(&proto.Ack{
		Verdict:    proto.Refused,
		Code:       refused.Code,
		Detail:     refused.Detail,
		RetryAfter: c.gate.retryAfter(refused),
		Report:     c.gate.Report(),
	})
}

// fail ends a call whose Ack has been sent.
func (c *call) fail(failed *code.Error) error {
	c.entry.Failed(failed)
	return c.sendFailure(failed)
}

func (c *call) sendFailure(failed *code.Error) error {
	c.gate.count(failed.Code)
	c.explain(failed)
	return c.stream.Send(&proto.Failure{
		Code:    failed.Code,
		Outcome: failed.Outcome,
		Detail:  failed.Detail,
		Report:  c.gate.Report(),
	})
}

// wait returns when the call holds a slot, or why it does not.
func (c *call) wait(w *waiter) *code.Error {
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	var ended *code.Error
	select {
	case <-w.ready:
		return w.refused
	case <-timer.C:
		ended = code.NotRunf(code.DeadlineExceeded, "the deadline passed in the queue")
		if w.until.Before(c.deadline) {
			ended = code.NotRunf(code.Overloaded, "no slot became free within %s", w.until.Sub(w.arrived))
		}
	case <-c.stream.Context().Done():
		ended = code.NotRunf(code.Cancelled, "the call ended in the queue")
	}
	if !c.gate.abandon(w) && w.refused == nil {
		c.gate.unused(c.head.Class)
	}
	return ended
}

// run gives the request to the server and the response to the router.
func (c *call) run(service *config.Service) error {
	ctx, cancel := c.context()
	defer cancel()
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
		c.gate.Limit.End(&c.ticket, verdict(failed))
		c.giveUp(failed)
		if failed.Code == code.ServerUnreachable && failed.Outcome == code.NotRun {
			c.gate.Limit.Restart(limit.Unreachable)
		}
		return c.fail(failed)
	}
	c.explainSlow()
	defer func() { _ = response.Body.Close() }() // its bytes have been passed on or given up by then
	c.gate.Limit.End(&c.ticket, judge(response))
	return c.reply(ctx, response)
}

// context returns the context of the run. That of an idempotent request ends with its stream.
func (c *call) context() (context.Context, context.CancelFunc) {
	if c.head.Idempotent {
		return context.WithDeadline(c.stream.Context(), c.deadline)
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	stop := context.AfterFunc(c.stream.Context(), func() { c.lost(ctx, cancel) })
	return ctx, func() {
		stop()
		cancel()
	}
}

// giveUp returns the slot of a call without a response. A server that warms up bears few requests, and works on one that was
// given up until it notices that the connection has closed.
func (c *call) giveUp(failed *code.Error) {
	if failed.Outcome == code.NotRun || !c.gate.Limit.Warming() {
		c.release()
		return
	}
	time.AfterFunc(noticeTime, c.release)
}

func (c *call) written() {
	c.gate.Limit.Written(&c.ticket)
}

// lost runs in its own goroutine when the stream of a non-idempotent request ends before the response is complete: by a
// cancellation or with its connection. The two look the same, so the request goes on until a resolve has had time to come.
func (c *call) lost(ctx context.Context, cancel context.CancelFunc) {
	if !c.body.complete.Load() {
		cancel()
		return
	}
	if c.kept() {
		return
	}
	timer := time.NewTimer(lostGrace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		if !c.kept() {
			cancel()
		}
	}
}

// kept reports whether a router waits for the held response.
func (c *call) kept() bool {
	return c.peer.Revoked() || c.entry.Resolved()
}

// verdict tells what a request without a response says about the server.
func verdict(failed *code.Error) limit.Result {
	switch failed.Code {
	case code.Cancelled:
		return limit.Ignored
	case code.DeadlineExceeded:
		return limit.Late
	}
	return limit.Failed
}

// judge tells what a response says about the server.
func judge(response *http.Response) limit.Result {
	if response.StatusCode >= http.StatusInternalServerError {
		return limit.Failed
	}
	return limit.Normal
}
