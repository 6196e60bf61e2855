package call

import (
	"math/rand/v2"
	"sync/atomic"
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
	nested    bool // a running request made it
}

// setPrecedence sets the precedence of the request if the configuration enables it and the request has a route.
func (r *request) setPrecedence(conf *config.Config) {
	route := r.req.Route
	if !conf.Precedence || route == nil {
		return
	}
	r.precedence = precedence{
		enabled: true, objective: r.began.Add(route.Objective), priority: max(0, r.req.Priority),
		nested: r.depth > 0 || r.req.Organisation == nil && conf.Dependent(route),
	}
}

// statePrecedence adds the precedence of the request to the head of an attempt.
func (a *attempt) statePrecedence(head *proto.Head) {
	p := a.r.precedence
	if !p.enabled {
		return
	}
	head.Priority, head.Dependent = p.priority, p.nested
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
		need.ByPrecedence, need.Priority, need.Nested = true, r.precedence.priority, r.precedence.nested
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
	if !r.precedence.enabled || stated <= 0 {
		return 0
	}
	r.statedRetry().record(stated)
	return spread(stated)
}

// withRetryAfter adds to the failure of a request that was refused by the floors of servers what a server's daemon has last stated to
// another request of its priority.
func (r *request) withRetryAfter(err error) error {
	failure := code.Of(err)
	if failure.Code != code.LowPrecedence || failure.RetryAfter > 0 {
		return err
	}
	added := *failure
	added.RetryAfter = spread(r.statedRetry().recent())
	return &added
}

func spread(stated time.Duration) time.Duration {
	return stated + time.Duration(rand.Float64()*retryAfterSpread*float64(stated))
}

// statedRetry returns the last Retry-After of the service and the priority of the request.
func (r *request) statedRetry() *statedRetry {
	key := retryKey{service: r.req.Service, priority: min(r.precedence.priority, retryPriorities-1)}
	if found, ok := r.c.retries.Load(key); ok {
		return found.(*statedRetry)
	}
	found, _ := r.c.retries.LoadOrStore(key, &statedRetry{})
	return found.(*statedRetry)
}

// retryPriorities is the number of priorities that are distinguished; lower ones count as the lowest.
const retryPriorities = 8

type retryKey struct {
	service  string
	priority int
}

// maxStatedAge is the age up to which a stated Retry-After is used for other requests.
const maxStatedAge = time.Second

// statedRetry is the Retry-After that a server's daemon has last stated.
type statedRetry struct {
	after, at atomic.Int64 // at is in nanoseconds since the epoch
}

func (s *statedRetry) record(stated time.Duration) {
	s.after.Store(int64(stated))
	s.at.Store(time.Now().UnixNano())
}

// recent returns 0 if nothing was stated recently.
func (s *statedRetry) recent() time.Duration {
	if time.Now().UnixNano()-s.at.Load() > int64(maxStatedAge) {
		return 0
	}
	return time.Duration(s.after.Load())
}

// retryAfterSpread is the part of a stated Retry-After over which it is randomized, so that callers do not come back all at once.
const retryAfterSpread = 0.25
