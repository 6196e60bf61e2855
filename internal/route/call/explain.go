package call

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// name is how logs name the request: by the caller's id, else by the own one.
func (r *request) name() string {
	if r.ask.Name != "" {
		return r.ask.Name
	}
	return r.id.String()
}

// route returns the name of the route, or empty.
func (r *request) route() string {
	if r.ask.Route == nil {
		return ""
	}
	return r.ask.Route.Name
}

// late reports whether an answer after this time has lost value.
func (r *request) late(took time.Duration) bool {
	return r.ask.Route != nil && took > r.ask.Route.Objective
}

// explain logs how the request ended, when that is of interest.
func (r *request) explain(response *Response, failure *code.Error) {
	took := time.Since(r.began)
	if r.c.Durations != nil {
		r.c.Durations(r.ask.Service).Update(took.Seconds())
	}
	if r.c.Decisions == nil {
		return
	}
	r.mu.Lock()
	attempts, ran := r.attempts, r.ran
	r.mu.Unlock()
	pairs := []any{
		"service", r.ask.Service, "route", r.route(), "class", r.class.String(), "attempts", attempts,
		"unanswered", ran, "took", took, "left", time.Until(r.deadline), "revision", r.revision,
	}
	switch {
	case failure != nil:
		pairs = append(pairs, "code", failure.Code.String(), "outcome", failure.Outcome.String(), "detail", failure.Error())
		r.c.Decisions.Abnormal("request-failed", r.name(), pairs...)
	case r.late(took):
		r.c.Decisions.Abnormal("request-late", r.name(), append(pairs, "status", response.Status, "server", response.server())...)
	default:
		r.c.Decisions.Normal("request-answered", r.name(), append(pairs, "status", response.Status, "server", response.server())...)
	}
}

// server returns the address of the daemon beside the server that answered, or empty for a stored response.
func (x *Response) server() string {
	if x.a == nil {
		return ""
	}
	return x.a.sent.Server.String()
}

// explain logs the failure of one attempt with what its server was known to do when it was selected.
func (a *attempt) explain(failure *code.Error) {
	r := a.r
	if r.c.Decisions == nil || !a.sent.Server.IsValid() {
		return
	}
	r.c.Decisions.Abnormal("attempt-failed", r.name(), "attempt", a.id.Attempt, "server", a.sent.Server.String(),
		"code", failure.Code.String(), "outcome", failure.Outcome.String(), "took", time.Since(a.began),
		"load", a.sent.Load, "limit", a.sent.Limit, "report-age", a.sent.Age, "detail", failure.Error())
}
