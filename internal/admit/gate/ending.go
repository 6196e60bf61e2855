package gate

import (
	"context"
	"net/http"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/admit/limit"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// resolveGrace is how long a non-idempotent request continues after its connection to the router was lost. The router resolves the
// attempt within this time and then fetches the response; without a resolve the request is cancelled.
const resolveGrace = time.Second

// disconnectDelay is how long a server may take to detect that the connection of a request was closed.
const disconnectDelay = 100 * time.Millisecond

// runContext returns the context for running the request. It is cancelled when the stream ends: at once for an idempotent request, by
// streamEnded for a non-idempotent one, which may wait for a resolve, and for one with a body, which may outlive its stream. A resolve may
// also cancel it.
func (c *call) runContext() (context.Context, context.CancelFunc) {
	if c.head.Idempotent && c.head.End && len(c.head.Body) == 0 {
		return context.WithDeadline(c.stream.Context(), c.deadline)
	}
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	if !c.head.Idempotent {
		c.entry.OnUnneeded(cancel)
	}
	stop := context.AfterFunc(c.stream.Context(), func() { c.streamEnded(ctx, cancel) })
	return ctx, func() {
		stop()
		cancel()
	}
}

// releaseFailed returns the slot of a call that got no response. While the server is warming up and can run few requests, and with
// precedence, which sends a server no more than its slots, the slot of a request that may have run is returned after disconnectDelay,
// because the server works on the request until it detects the closed connection.
func (c *call) releaseFailed(failed *code.Error) {
	if failed.Outcome == code.NotRun || !c.gate.Limit.Warming() && !c.gate.ordersByPrecedence() {
		c.release()
		return
	}
	time.AfterFunc(disconnectDelay, c.release)
}

// streamEnded runs in its own goroutine when the stream of a request ends, also with the last frame of its response or its body. A
// request that the router cancelled is cancelled at once: nobody waits for its response. After a lost connection a non-idempotent one
// continues for resolveGrace, in which the router resolves it, unless its body is incomplete or the daemon ends, so that no router can
// resolve it.
func (c *call) streamEnded(ctx context.Context, cancel context.CancelFunc) {
	switch {
	case c.entry.Ended():
		return
	case c.late.Load():
		if !c.body.hasArrived() {
			cancel()
		}
		return
	case c.head.Idempotent:
		cancel()
		return
	}
	c.recordStreamEnd()
	if c.stream.Cancelled() || !c.body.complete.Load() || c.gate.ends() {
		cancel()
		return
	}
	if c.awaited() {
		return
	}
	timer := time.NewTimer(resolveGrace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
		if !c.awaited() {
			cancel()
		}
	}
}

// recordStreamEnd records that and how the stream ended, for logs and metrics.
func (c *call) recordStreamEnd() {
	c.streamEnd.Store(int64(time.Since(c.arrived)))
	if c.stream.Cancelled() {
		c.gate.endings.cancelled.Add(1)
		return
	}
	c.gate.endings.lost.Add(1)
}

// awaited reports whether a router has lost the connection or resolved the attempt, and so may fetch the response.
func (c *call) awaited() bool {
	return c.peer.Revoked() || c.entry.Resolved()
}

// failureResult classifies a request without a response for the limiter.
func failureResult(failed *code.Error) limit.Result {
	switch failed.Code {
	case code.Cancelled:
		return limit.Ignored
	case code.DeadlineExceeded:
		return limit.Late
	}
	return limit.Failed
}

// responseResult classifies a response for the limiter.
func responseResult(response *http.Response) limit.Result {
	if response.StatusCode >= http.StatusInternalServerError {
		return limit.Failed
	}
	return limit.Normal
}
