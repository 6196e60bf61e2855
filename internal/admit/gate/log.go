package gate

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// logID returns the request id for log lines: the one that the caller set, else the one that the router assigned.
func (c *call) logID() string {
	if header := c.gate.Dialect.RequestID; header != "" {
		if id := c.head.Header.Get(header); id != "" {
			return id
		}
	}
	return c.head.ID.Request.String()
}

// logFailure logs why the call was refused or failed, with the state of the gate.
func (c *call) logFailure(failed *code.Error) {
	g := c.gate
	if g.Decisions == nil {
		return
	}
	event := "call-failed"
	if failed.Outcome == code.NotRun {
		event = "call-refused"
	}
	report := g.Report()
	fields := []any{
		"attempt", c.head.ID.Attempt, "router", c.peer.Hello.Address.String(),
		"server", c.identity, "class", c.countedClass().String(), "stage", c.stage.current.String(), "place", c.stage.took[AwaitingPlace],
		"body", c.stage.took[ReceivingBody], "waited", c.stage.took[AwaitingSlot], "received", c.body.received.Load(),
		"code", failed.Code.String(), "outcome", failed.Outcome.String(), "running", report.InFlight,
		"limit", report.Limit, "queued", report.Queued, "pace", report.Pace, "left", time.Until(c.deadline),
		"revision", g.Config.Revision(), "detail", failed.Error(),
	}
	if r := c.ordered; r != nil {
		fields = append(fields, "priority", r.Priority, "nested", r.Nested, "organisation", r.Organisation, "floor", report.Floor)
		if !r.Objective.IsZero() {
			fields = append(fields, "objective-left", time.Until(r.Objective))
		}
	}
	if end := time.Duration(c.streamEnd.Load()); end > 0 {
		fields = append(fields, "after-stream-end", time.Since(c.arrived)-end, "cancelled-by-router", c.stream.Cancelled())
	}
	g.Decisions.Abnormal(event, c.logID(), fields...)
}

// slowRatio is the ratio above which a call is logged as slow: the time from its arrival to the response header, divided by the
// typical service time of its class at this server.
const slowRatio = 2

// logSlow logs how a slow call spent its time: receiving the body, waiting for a slot, and at the server.
func (c *call) logSlow() {
	g := c.gate
	now := time.Now()
	usual := g.Limit.ClassLatency(c.head.Class)
	took := now.Sub(c.arrived)
	if g.Decisions == nil || usual == 0 || took < slowRatio*usual {
		return
	}
	report := g.Report()
	g.Decisions.Abnormal("call-slow", c.logID(), "attempt", c.head.ID.Attempt, "router", c.peer.Hello.Address.String(), "server", c.identity,
		"class", c.countedClass().String(), "place", c.stage.took[AwaitingPlace], "body", c.stage.took[ReceivingBody],
		"waited", c.stage.took[AwaitingSlot], "at-server", now.Sub(c.granted), "usual", usual,
		"running", report.InFlight, "limit", report.Limit, "queued", report.Queued, "pace", report.Pace, "left", c.deadline.Sub(now))
}
