package gate

import (
	"context"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// hasArrived reports whether the last piece of the body was received. It may be called once the stream has ended: a piece that is then
// being received comes before the end.
func (b *body) hasArrived() bool {
	b.receiving.Lock()
	defer b.receiving.Unlock()
	return b.complete.Load()
}

// releaseIfSent is called when the response is complete. It frees the slot, unless a part of the request still goes to the server, which
// then still works on it. While the body arrives, the entry of the ledger stays as well, so that no resolve gets the response.
func (c *call) releaseIfSent() {
	if c.attempt.IsSent() {
		c.release()
		return
	}
	c.early = !c.body.complete.Load()
	c.late.Store(true)
}

// awaitBody keeps the stream of a call whose response is complete until all of the body has arrived, or no more of it can be sent.
func (c *call) awaitBody(ctx context.Context) {
	if !c.early {
		return
	}
	select {
	case <-c.body.arrived:
	case <-c.attempt.Sent():
	case <-ctx.Done():
	}
}

// endRun ends the run of a request. What has arrived of a whole body is sent first, until the deadline, by another goroutine: without the
// stream, whose connection carries the next call meanwhile.
func (c *call) endRun(cancel context.CancelFunc) {
	if c.attempt.IsSent() || !c.body.complete.Load() {
		c.settle()
		cancel()
		return
	}
	c.outlived = true
	go func() {
		<-c.attempt.Sent()
		c.settle()
		cancel()
		c.gate.leave(c)
	}()
}

// settle does what releaseIfSent has left.
func (c *call) settle() {
	if !c.late.Load() {
		return
	}
	if c.attempt.IsSent() && c.attempt.SendError() == nil {
		c.release()
		if c.early {
			c.entry.Answered(nil)
		}
		return
	}
	failed := code.Unknownf(code.Cancelled, "the rest of the request body was not sent")
	c.logFailure(failed)
	if c.early {
		c.entry.Failed(failed)
	}
	c.releaseFailed(failed)
}

func (c *call) leaveUnlessOutlived() {
	if !c.outlived {
		c.gate.leave(c)
	}
}
