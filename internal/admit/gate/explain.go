package gate

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// name is how logs name the request: by the caller's id, else by the router's.
func (c *call) name() string {
	if header := c.gate.Dialect.RequestID; header != "" {
		if id := c.head.Header.Get(header); id != "" {
			return id
		}
	}
	return c.head.ID.Request.String()
}

// explain logs why the call was refused or failed, with what decided it.
func (c *call) explain(failed *code.Error) {
	g := c.gate
	if g.Decisions == nil {
		return
	}
	event := "call-failed"
	if failed.Outcome == code.NotRun {
		event = "call-refused"
	}
	report := g.Report()
	g.Decisions.Abnormal(event, c.name(), "attempt", c.head.ID.Attempt, "router", c.peer.Hello.Address.String(),
		"server", c.identity, "code", failed.Code.String(), "outcome", failed.Outcome.String(), "running", report.InFlight,
		"limit", report.Limit, "queued", report.Queued, "pace", report.Pace, "left", time.Until(c.deadline),
		"revision", g.Config.Revision(), "detail", failed.Error())
}

// slowRatio is the time from the arrival to the response header, over the usual time of the class at this server, from which a
// call is of interest.
const slowRatio = 2

// explainSlow logs where a slow call spent its time: until its body was there, waiting for a slot, or at the server.
func (c *call) explainSlow() {
	g := c.gate
	now := time.Now()
	usual := g.Limit.ClassLatency(c.head.Class)
	took := now.Sub(c.arrived)
	if g.Decisions == nil || usual == 0 || took < slowRatio*usual {
		return
	}
	report := g.Report()
	g.Decisions.Abnormal("call-slow", c.name(), "attempt", c.head.ID.Attempt, "router", c.peer.Hello.Address.String(), "server", c.identity,
		"body", c.collected.Sub(c.arrived), "waited", c.granted.Sub(c.collected), "at-server", now.Sub(c.granted), "usual", usual,
		"running", report.InFlight, "limit", report.Limit, "queued", report.Queued, "pace", report.Pace, "left", c.deadline.Sub(now))
}
