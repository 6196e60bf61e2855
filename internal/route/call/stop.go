package call

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// SetStopTime sets the time at which a stopping daemon cuts running requests. Requests that may take longer are refused from now on,
// while another daemon can still take them.
func (c *Client) SetStopTime(end time.Time) {
	c.stopTime.Store(&end)
}

// RefuseLongDeadlines refuses from now on all requests whose deadline lies behind the stop time, however short they usually are, except
// calls of the daemon's own server.
func (c *Client) RefuseLongDeadlines() {
	c.closing.Store(true)
}

// fitIntoStop refuses a request that may still run when the stopping daemon ends. Uploads may take until their deadline; other requests
// are judged by those of their class. The end becomes the deadline of a request that is taken, so that it is answered in any case and no
// server queues it for longer.
func (r *request) fitIntoStop() error {
	end := r.c.stopTime.Load()
	if end == nil || !r.deadline.After(*end) {
		return nil
	}
	refused := r.class == ident.Upload || r.c.closing.Load() && r.req.Context == nil
	if refused || !r.durations[r.class].Fits(time.Until(*end), r.idempotent) {
		return code.NotRunf(code.Stopping, "this daemon is stopping and may end before the request does")
	}
	r.deadline = *end
	return nil
}

// stopFailure replaces the failure of a request that the daemon itself has cancelled because it ends.
func (r *request) stopFailure(failure *code.Error) *code.Error {
	end := r.c.stopTime.Load()
	if end == nil || failure.Code != code.Cancelled || time.Now().Before(*end) {
		return failure
	}
	return &code.Error{Code: code.Stopping, Outcome: failure.Outcome, Detail: "the daemon ended before the request", Cause: failure}
}
