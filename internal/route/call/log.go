package call

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// logID returns the id of the request in logs: the caller's if it gave one, otherwise the generated one.
func (r *request) logID() string {
	if r.req.Name != "" {
		return r.req.Name
	}
	return r.id.String()
}

// routeName returns the name of the route, or empty.
func (r *request) routeName() string {
	if r.req.Route == nil {
		return ""
	}
	return r.req.Route.Name
}

// missedObjective reports whether a response after the elapsed time exceeds the latency objective of the route.
func (r *request) missedObjective(elapsed time.Duration) bool {
	return r.req.Route != nil && elapsed > r.req.Route.Objective
}

// logOutcome records the duration of the request and logs its outcome.
func (r *request) logOutcome(response *Response, failure *code.Error) {
	elapsed := time.Since(r.began)
	if r.c.Durations != nil {
		r.c.Durations(r.req.Service).Update(elapsed.Seconds())
	}
	if r.c.Usage != nil && r.req.Organisation != nil {
		r.c.Usage.record(r.req.Organisation.Name, failure)
	}
	if r.c.Decisions == nil {
		return
	}
	r.mu.Lock()
	attempts, possibleRuns := r.attempts, r.possibleRuns
	r.mu.Unlock()
	pairs := []any{
		"service", r.req.Service, "route", r.routeName(), "class", r.class.String(), "attempts", attempts,
		"unanswered", possibleRuns, "took", elapsed, "left", time.Until(r.deadline), "revision", r.revision,
	}
	if organisation := r.req.Organisation; organisation != nil {
		pairs = append(pairs, "organisation", organisation.Name, "priority", r.req.Priority)
	}
	switch {
	case failure != nil:
		pairs = append(pairs, "code", failure.Code.String(), "outcome", failure.Outcome.String(), "detail", failure.Error())
		r.c.Decisions.Abnormal("request-failed", r.logID(), pairs...)
	case r.missedObjective(elapsed):
		r.c.Decisions.Abnormal("request-late", r.logID(), append(pairs, "status", response.Status, "server", response.serverAddress())...)
	default:
		r.c.Decisions.Normal("request-answered", r.logID(), append(pairs, "status", response.Status, "server", response.serverAddress())...)
	}
}

// serverAddress returns the address of the daemon whose server answered, or empty for a stored response.
func (x *Response) serverAddress() string {
	if x.a == nil {
		return ""
	}
	return x.a.sent.Server.String()
}

// logFailure logs the failure of an attempt with the server's load as known when it was selected.
func (a *attempt) logFailure(failure *code.Error) {
	r := a.r
	if r.c.Decisions == nil || !a.sent.Server.IsValid() {
		return
	}
	r.c.Decisions.Abnormal("attempt-failed", r.logID(), "attempt", a.id.Attempt, "server", a.sent.Server.String(),
		"code", failure.Code.String(), "outcome", failure.Outcome.String(), "took", time.Since(a.began),
		"load", a.sent.Load, "limit", a.sent.Limit, "report-age", a.sent.Age, "detail", failure.Error())
}
