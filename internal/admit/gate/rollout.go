package gate

import (
	"net/http"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Rollout restricts the requests of the server while a roll-out of its service is in progress, and counts its responses. The daemon
// uses roll/agent.
type Rollout interface {
	// Refusing returns the reason why the server gets no new requests now, or nil.
	Refusing() *code.Error
	// Received counts a request for the service that was sent to no other server before.
	Received()
	// Begin counts a request as running, or returns the reason why it must not run. The run is nil when no roll-out is ordered.
	// A phase that takes effect later finds the request as running.
	Begin() (RolloutRun, *code.Error)
}

// RolloutRun is a request that runs during a roll-out. Either End or Ignore is called once when the server has ended it.
type RolloutRun interface {
	// End counts the response. took is the time to the response header, or to the failure.
	End(route string, failed bool, took time.Duration)
	// Ignore ends a run that says nothing about the release.
	Ignore()
}

// rolloutCall is the part of a call that belongs to a roll-out.
type rolloutCall struct {
	run    RolloutRun // nil without a roll-out
	began  time.Time
	took   time.Duration // to the response header, or to the failure
	failed bool
	void   bool // the result says nothing about the release
}

// countReceived counts the request on the first of its attempts.
func (c *call) countReceived() {
	if c.gate.Rollout != nil && c.head.ID.Attempt <= 1 {
		c.gate.Rollout.Received()
	}
}

// beginRollout is the last check before the run.
func (c *call) beginRollout() *code.Error {
	if c.gate.Rollout == nil {
		return nil
	}
	run, refused := c.gate.Rollout.Begin()
	c.rollout.run, c.rollout.began = run, time.Now()
	return refused
}

// endRollout counts the result of a run.
func (c *call) endRollout() {
	r := &c.rollout
	switch {
	case r.run == nil:
	case r.void:
		r.run.Ignore()
	default:
		r.run.End(c.routeName(), r.failed, r.took)
	}
}

func (c *call) routeName() string {
	conf := c.gate.Config.Get()
	if conf == nil {
		return ""
	}
	if route := conf.RouteFor(c.head.Host, c.target.Path); route != nil {
		return route.Name
	}
	return c.head.Class.String()
}

// noResponse records a run without a response. A request that certainly did not run says nothing about the release. One that its router
// cancelled is counted with the time that it had taken, because a hedge of a slow request cancels it when the other attempt is first.
func (r *rolloutCall) noResponse(failed *code.Error) {
	if r.run == nil {
		return
	}
	r.took = time.Since(r.began)
	r.void = failed.Outcome == code.NotRun
	r.failed = failed.Code != code.Cancelled
}

func (r *rolloutCall) response(status int) {
	if r.run == nil {
		return
	}
	r.took = time.Since(r.began)
	r.failed = status >= http.StatusInternalServerError || status < http.StatusOK
}

// truncated records a response that the server did not complete.
func (r *rolloutCall) truncated(failed *code.Error) {
	r.failed = r.failed || failed.Code != code.Cancelled
}
