// Package call carries out requests: it sends attempts to servers, retries and hedges them, and determines whether a request ran
// when a connection fails.
package call

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/base/recent"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/route/budget"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
	"marigoldwinch.example/marigoldwinch/internal/route/claim"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// DefaultAckTimeout is the time without an ack, in addition to the round trips, after which a connection is considered silent.
// Admission sends the ack before it queues or runs a request, so only the network or a paused daemon can delay an ack.
const DefaultAckTimeout = 250 * time.Millisecond

// Client carries out the requests of a router's callers.
type Client struct {
	Transport   proto.CallClient
	Config      *config.Holder
	Choice      *choice.Chooser
	Pool        *pool.Pool
	Budgets     *budget.Budgets
	Claims      *claim.Claims // if nil, requests that need a claim are refused
	Caps        Caps          // if nil, the requests of organisations are not limited
	Incarnation ident.Incarnation
	Start       time.Time                               // start of the daemon, to which send times are relative
	FindParent  func(id ident.RequestID) (Parent, bool) // looks up a running request of the daemon's own server; may be nil
	AckTimeout  time.Duration                           // DefaultAckTimeout when 0
	Durations   func(service string) *metrics.Histogram // histogram of the times to the response header; may be nil
	Dialect     hdrs.Dialect                            // names of the headers of keys and organisations
	Usage       *Usage                                  // counts the requests of organisations; may be nil
	Decisions   *logs.Sampler                           // may be nil
	Log         logr.Logger

	seq       atomic.Uint64
	latencies sync.Map                  // service name to *latencies
	durations sync.Map                  // service name to *durations
	stopTime  atomic.Pointer[time.Time] // when the daemon cuts running requests; nil unless it is stopping
	closing   atomic.Bool               // only calls of the daemon's own server are taken with a deadline behind stopTime
	counters  counters
}

// Parent is a request that the daemon's own server is running and on whose behalf it makes further requests.
type Parent struct {
	Deadline time.Time
	Class    ident.Class
	Depth    int
}

// Request is a caller's request.
type Request struct {
	Service       string
	Route         *config.Route // the route that matched; nil when the path names the service
	Name          string        // the caller's id of the request, for logs; may be empty
	Method        string
	Target        string // path and query as sent to the server
	Path          string // path without the query, matched against the patterns of the configuration
	Host          string
	Header        http.Header // end-to-end headers; not modified
	ContentLength int64       // -1 when unknown
	Body          io.Reader   // nil without a body
	Trailer       func() http.Header
	Timeout       time.Duration      // 0 for the timeout of the service
	Key           string             // idempotency key, or empty
	Context       *ident.CallContext // of the parent request; nil for a request from outside
	WaitForAck    bool               // the caller expects 100 Continue before it sends the body
	Abort         func()             // unblocks a read of Body that waits for the caller; may be nil

	Organisation *config.Organisation // whose key the request carried; nil without a known key
	KeyDigest    config.KeyDigest     // of that key
	Priority     int                  // of the organisation, or of the route; 0 is the highest
}

type counters struct {
	requests, attempts, retries, hedges, hedgesWon  atomic.Uint64
	silent, resolves, revoked, truncated, uncertain atomic.Uint64
}

// Dump holds counts of requests and attempts by outcome.
type Dump struct {
	Requests  uint64
	Attempts  uint64
	Retries   uint64
	Hedges    uint64
	HedgesWon uint64
	Silent    uint64 // connections closed because no ack or answer arrived in time
	Resolves  uint64
	Revoked   uint64 // attempts that were proved by a resolve not to have run
	Truncated uint64 // responses that ended before they were complete
	Uncertain uint64 // requests that failed with an unknown outcome
}

// Dump returns the state for the state dump.
func (c *Client) Dump() any {
	return c.Counts()
}

// Counts returns the counts since the start.
func (c *Client) Counts() Dump {
	n := &c.counters
	return Dump{
		Requests: n.requests.Load(), Attempts: n.attempts.Load(), Retries: n.retries.Load(), Hedges: n.hedges.Load(),
		HedgesWon: n.hedgesWon.Load(), Silent: n.silent.Load(), Resolves: n.resolves.Load(), Revoked: n.revoked.Load(),
		Truncated: n.truncated.Load(), Uncertain: n.uncertain.Load(),
	}
}

// errDeadline is the cause of a context that is cancelled at the request's deadline.
var errDeadline = errors.New("request deadline exceeded")

// request is the state of a request that is shared by its attempts.
type request struct {
	c          *Client
	req        *Request
	service    *config.Service
	revision   uint64
	pool       *pool.Service
	budget     *budget.Service
	latencies  *latencies
	durations  *durations
	id         ident.RequestID
	deadline   time.Time
	class      ident.Class
	depth      int
	idempotent bool
	began      time.Time
	maxServers int // that may run the request, at most
	body       *replayBuffer
	claim      *claim.Claim // nil when no idempotency key is claimed

	bodyAborted atomic.Bool // reading the body was given up because the request has ended

	mu           sync.Mutex
	attempts     uint32
	tried        []netip.AddrPort
	uncertain    bool // a failed attempt may have run
	possibleRuns int  // number of failed attempts that may have run
}

// Do carries out a request. Its errors are coded and state the outcome of the whole request. The response must be closed.
func (c *Client) Do(ctx context.Context, req *Request) (*Response, error) {
	c.counters.requests.Add(1)
	r, err := c.newRequest(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, errDeadline)
	if req.Body != nil && req.Abort != nil {
		stop, end := context.AfterFunc(ctx, r.abortBody), cancel
		cancel = func() { // a normal end must not abort the read: the connection may serve further requests
			stop()
			end()
		}
	}
	if stored, err := r.takeClaim(ctx); err != nil || stored != nil {
		cancel()
		return stored, err
	}
	response, err := r.runPermitted(ctx)
	if err != nil {
		cancel()
		failure := r.finalFailure(r.stopFailure(code.Of(err)))
		if failure.Code == code.DeadlineExceeded {
			r.durations[r.class].AddUnfinished(time.Since(r.began))
		}
		r.logOutcome(nil, failure)
		return nil, failure
	}
	r.logOutcome(response, nil)
	response.cancel = cancel
	return response, nil
}

// abortBody unblocks a read of the body that waits for the caller.
func (r *request) abortBody() {
	r.bodyAborted.Store(true)
	r.req.Abort()
}

// durations holds the recent durations of the requests of a service by class.
type durations [ident.Classes]recent.Times

func (c *Client) durationsOf(service string) *durations {
	if found, ok := c.durations.Load(service); ok {
		return found.(*durations)
	}
	found, _ := c.durations.LoadOrStore(service, &durations{})
	return found.(*durations)
}

// newRequest validates a request and builds the state that its attempts share.
func (c *Client) newRequest(req *Request) (*request, error) {
	conf, err := c.Config.InForce()
	if err != nil {
		return nil, err
	}
	service := conf.Services[req.Service]
	if service == nil {
		return nil, code.NotRunf(code.UnknownService, "service %q is not configured", req.Service)
	}
	timeout := req.Timeout
	class, idempotent, maxServers := service.ClassOf(req.Method, req.Path), service.IsIdempotent(req.Method, req.Path), maxAttempts
	if timeout == 0 {
		timeout = service.Timeout
	}
	if route := req.Route; route != nil {
		if req.Timeout == 0 || route.Timeout < timeout {
			timeout = route.Timeout
		}
		class, idempotent, maxServers = route.Class(req.Priority), route.Kind.IsIdempotent(), route.Servers
	}
	now := time.Now()
	r := &request{
		c: c, req: req, service: service, revision: conf.Revision,
		pool: c.Pool.Service(req.Service), budget: c.Budgets.Service(req.Service), latencies: c.latenciesOf(req.Service),
		id:    ident.RequestID{Router: c.Incarnation, Seq: c.seq.Add(1)},
		began: now, deadline: now.Add(timeout), class: class, idempotent: idempotent, maxServers: maxServers,
		body: newReplayBuffer(req.Body, req.ContentLength), durations: c.durationsOf(req.Service),
	}
	if err := r.inheritContext(); err != nil {
		return nil, err
	}
	if err := r.fitIntoStop(); err != nil {
		return nil, err
	}
	return r, nil
}

// inheritContext derives depth, class and deadline from the parent request.
func (r *request) inheritContext() error {
	parent := r.req.Context
	if parent == nil {
		return nil
	}
	r.depth, r.class = parent.Depth+1, parent.Class
	if r.c.FindParent != nil {
		if running, ok := r.c.FindParent(parent.Request); ok {
			r.depth, r.class = running.Depth+1, running.Class
			if running.Deadline.Before(r.deadline) {
				r.deadline = running.Deadline
			}
		}
	}
	if r.depth > ident.MaxDepth {
		return code.NotRunf(code.BadRequest, "the call chain is deeper than %d levels", ident.MaxDepth)
	}
	return nil
}

// takeClaim claims the idempotency key if the service requires it. For a repeated request it returns the stored response.
func (r *request) takeClaim(ctx context.Context) (*Response, error) {
	if !r.service.Claim || r.req.Key == "" || r.idempotent {
		return nil, nil
	}
	if r.c.Claims == nil {
		return nil, code.NotRunf(code.ClaimUnavailable, "claims are not available on this daemon")
	}
	claimed := claim.Claim{
		Service: r.req.Service, Key: r.req.Key, ID: r.id, Retention: r.service.ClaimRetention,
		Fingerprint: xxhash.Sum64String(r.req.Method + " " + r.req.Target),
	}
	stored, err := r.c.Claims.Take(ctx, claimed)
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return storedResponse(stored), nil
	}
	r.claim = &claimed
	return nil, nil
}

// finalFailure derives the failure of the request from that of its last attempt. If any attempt may have run, the outcome is
// unknown, even if the last attempt is known not to have run.
func (r *request) finalFailure(last *code.Error) *code.Error {
	if r.isUncertain() && last.Outcome == code.NotRun {
		last = code.Unknownf(code.OutcomeUnknown, "an earlier attempt may have run").WithCause(last)
	}
	if last.Outcome == code.Unknown {
		r.c.counters.uncertain.Add(1)
		return last
	}
	if r.claim != nil {
		r.c.Claims.Release(*r.claim)
	}
	return last
}

func (r *request) isUncertain() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.uncertain
}

// recordFailure records whether a failed attempt may have run.
func (r *request) recordFailure(failure *code.Error) {
	if failure.Outcome == code.NotRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uncertain = true
	r.possibleRuns++
}

// latencySensitive reports whether a response is expected within the service's usual latency.
func (r *request) latencySensitive() bool {
	return choice.LatencySensitive(r.class)
}
