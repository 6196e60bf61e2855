package call

import (
	"math/rand/v2"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// maxPrecedenceAttempts is the maximum number of attempts of a request that servers refuse because others come first. The servers of a
// service get about the same load, so that further refusals would only cost messages.
const maxPrecedenceAttempts = 2

// precedence is what a request states to servers that order requests by precedence.
type precedence struct {
	enabled   bool
	objective time.Time
	priority  int
}

// setPrecedence sets the precedence of the request if the configuration enables it and the request has a route.
func (r *request) setPrecedence(conf *config.Config) {
	route := r.req.Route
	if !conf.Precedence || route == nil {
		return
	}
	r.precedence = precedence{enabled: true, objective: r.began.Add(route.Objective), priority: max(0, r.req.Priority)}
}

// statePrecedence adds the precedence of the request to the head of an attempt.
func (a *attempt) statePrecedence(head *proto.Head) {
	p := a.r.precedence
	if !p.enabled {
		return
	}
	head.Priority = p.priority
	if organisation := a.r.req.Organisation; organisation != nil {
		head.Organisation = organisation.Name
	}
	head.Objective = p.objective.Sub(a.began)
	if head.Objective == 0 {
		head.Objective = -1
	}
}

// need describes the request for the selection of a server.
func (r *request) need() choice.Need {
	need := choice.Need{Class: r.class}
	if r.precedence.enabled {
		need.ByPrecedence, need.Priority, need.Nested = true, r.precedence.priority, r.depth > 0
	}
	return need
}

// isOutranked reports whether servers have refused the request often enough because others come first.
func (r *request) isOutranked(failure *code.Error, attempts uint32) bool {
	return r.precedence.enabled && failure.Code == code.LowPrecedence && attempts >= maxPrecedenceAttempts
}

// retryAfter returns the Retry-After that a server's daemon states, if it orders requests by precedence. Without precedence the value
// is about this server only, and callers get one from the front end.
func (r *request) retryAfter(stated time.Duration) time.Duration {
	if !r.precedence.enabled {
		return 0
	}
	return stated + time.Duration(rand.Float64()*retryAfterSpread*float64(stated))
}

// retryAfterSpread is the part of a stated Retry-After over which it is randomized, so that callers do not come back all at once.
const retryAfterSpread = 0.25
