// Package call carries out requests: it sends attempts to servers, retries and hedges them, and finds out whether a
// request ran when a connection fails.
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
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/route/budget"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
	"marigoldwinch.example/marigoldwinch/internal/route/claim"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// DefaultAckTimeout is the time without an ack, above the round trip, after which a connection is taken to be silent.
// Admission acks before it queues or runs a request, so only the network and a paused daemon delay an ack.
const DefaultAckTimeout = 250 * time.Millisecond

// Client carries out requests.
type Client struct {
	Transport   proto.CallClient
	Config      *config.Holder
	Choice      *choice.Chooser
	Pool        *pool.Pool
	Budgets     *budget.Budgets
	Claims      *claim.Claims // nil: services that need claims are refused
	Incarnation ident.Incarnation
	Start       time.Time                               // start of the daemon; send times count from it
	FindParent  func(id ident.RequestID) (Parent, bool) // the own server's running requests; may be nil
	AckTimeout  time.Duration                           // DefaultAckBound when 0
	Durations   func(service string) *metrics.Histogram // of requests until the response header; may be nil
	Decisions   *logs.Sampler                           // may be nil
	Log         logr.Logger

	seq      atomic.Uint64
	delays   sync.Map                  // service name to *delays
	stopBy   atomic.Pointer[time.Time] // when requests are cut; nil unless the daemon stops
	counters counters
}

// Parent is a request that the own server is running, on whose behalf it makes further calls.
type Parent struct {
	Deadline time.Time
	Class    ident.Class
	Depth    int
}

// Request is a caller's request.
type Request struct {
	Service       string
	Route         *config.Route // that led the request here; nil when its path names the service
	Name          string        // the caller's own id of the request, for logs; may be empty
	Method        string
	Target        string // path and query as the server sees them
	Path          string // path without the query, for the patterns of the configuration
	Host          string
	Header        http.Header // end-to-end headers; not changed
	ContentLength int64       // -1 when unknown
	Body          io.Reader   // nil without a body
	Trailer       func() http.Header
	Timeout       time.Duration      // 0: the service's
	Key           string             // idempotency key, or empty
	Context       *ident.CallContext // of the request on whose behalf the own server calls; nil from outside
	WaitForAck    bool               // the caller sends the body only when asked (Expect: 100-continue)
	Abort         func()             // ends a read of Body that waits for the caller; may be nil
}

type counters struct {
	requests, attempts, retries, hedges, hedgesWon  atomic.Uint64
	silent, resolves, revoked, truncated, uncertain atomic.Uint64
}

// Dump counts what became of requests and attempts.
type Dump struct {
	Requests  uint64
	Attempts  uint64
	Retries   uint64
	Hedges    uint64
	HedgesWon uint64
	Silent    uint64 // connections without an ack within the bound
	Resolves  uint64
	Revoked   uint64 // attempts that resolve proved not to have run
	Truncated uint64 // responses that ended early
	Uncertain uint64 // requests answered with outcome unknown
}

// Dump returns the state for the state dump.
func (c *Client) Dump() any {
	return c.Counts()
}

// Counts returns what became of requests and attempts since the start.
func (c *Client) Counts() Dump {
	n := &c.counters
	return Dump{
		Requests: n.requests.Load(), Attempts: n.attempts.Load(), Retries: n.retries.Load(), Hedges: n.hedges.Load(),
		HedgesWon: n.hedgesWon.Load(), Silent: n.silent.Load(), Resolves: n.resolves.Load(), Revoked: n.revoked.Load(),
		Truncated: n.truncated.Load(), Uncertain: n.uncertain.Load(),
	}
}

// errDeadline is the cause of a context that ended at the request's deadline.
var errDeadline = errors.New("deadline of the request")

// request is one request over its attempts.
type request struct {
	c          *Client
	ask        *Request
	service    *config.Service
	revision   uint64
	pool       *pool.Service
	budget     *budget.Service
	delays     *delays
	id         ident.RequestID
	deadline   time.Time
	class      ident.Class
	depth      int
	idempotent bool
	began      time.Time
	servers    int // that may be asked to run the request
	body       *replay
	claim      *claim.Claim // nil when the key is not claimed

	mu       sync.Mutex
	attempts uint32
	tried    []netip.AddrPort
	unsure   bool // an attempt may have run
	ran      int  // attempts that may have run
}

// Do carries out a request. Its errors are coded and tell the outcome of the whole request. The caller closes the
// response.
func (c *Client) Do(ctx context.Context, ask *Request) (*Response, error) {
	c.counters.requests.Add(1)
	r, err := c.begin(ask)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, errDeadline)
	if ask.Body != nil && ask.Abort != nil {
		stop, end := context.AfterFunc(ctx, ask.Abort), cancel
		cancel = func() { // the end of the request in order aborts nothing: the connection may serve the next one
			stop()
			end()
		}
	}
	if stored, err := r.takeClaim(ctx); err != nil || stored != nil {
		cancel()
		return stored, err
	}
	r.budget.RecordRequest(r.service.RetryShare, r.service.HedgeShare)
	response, err := r.run(ctx)
	if err != nil {
		cancel()
		failure := r.failed(code.Of(err))
		r.explain(nil, failure)
		return nil, failure
	}
	r.explain(response, nil)
	response.cancel = cancel
	return response, nil
}

// SetStopTime tells that requests are cut at end. Uploads may take until their deadline, so that one with a later deadline is refused
// while another daemon can take it; other requests end long before theirs.
func (c *Client) SetStopTime(end time.Time) {
	c.stopBy.Store(&end)
}

// begin checks a request and derives what its attempts share.
func (c *Client) begin(ask *Request) (*request, error) {
	conf := c.Config.Get()
	if conf == nil {
		return nil, code.NotRunf(code.NoConfiguration, "no configuration is known yet")
	}
	service := conf.Services[ask.Service]
	if service == nil {
		return nil, code.NotRunf(code.UnknownService, "service %q is not configured", ask.Service)
	}
	timeout := ask.Timeout
	class, idempotent, servers := service.ClassOf(ask.Method, ask.Path), service.IsIdempotent(ask.Method, ask.Path), maxAttempts
	if timeout == 0 {
		timeout = service.Timeout
	}
	if route := ask.Route; route != nil {
		if ask.Timeout == 0 || route.Timeout < timeout {
			timeout = route.Timeout
		}
		class, idempotent, servers = route.Class(), route.Kind == config.Idempotent, route.Servers
	}
	now := time.Now()
	r := &request{
		c: c, ask: ask, service: service, revision: conf.Revision,
		pool: c.Pool.Service(ask.Service), budget: c.Budgets.Service(ask.Service), delays: c.delaysOf(ask.Service),
		id:    ident.RequestID{Router: c.Incarnation, Seq: c.seq.Add(1)},
		began: now, deadline: now.Add(timeout), class: class, idempotent: idempotent, servers: servers,
		body: newReplay(ask.Body, ask.ContentLength),
	}
	if err := r.nest(); err != nil {
		return nil, err
	}
	if end := c.stopBy.Load(); end != nil && r.class == ident.Upload && r.deadline.After(*end) {
		return nil, code.NotRunf(code.Stopping, "this daemon stops before the request's deadline")
	}
	return r, nil
}

// nest takes over the context of the request on whose behalf this one is made.
func (r *request) nest() error {
	parent := r.ask.Context
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
		return code.NotRunf(code.BadRequest, "the chain of calls is deeper than %d", ident.MaxDepth)
	}
	return nil
}

// takeClaim claims the idempotency key where the service asks for it. It returns the stored response of a repeat.
func (r *request) takeClaim(ctx context.Context) (*Response, error) {
	if !r.service.Claim || r.ask.Key == "" || r.idempotent {
		return nil, nil
	}
	if r.c.Claims == nil {
		return nil, code.NotRunf(code.ClaimUnavailable, "this daemon keeps no claims")
	}
	ask := claim.Claim{
		Service: r.ask.Service, Key: r.ask.Key, ID: r.id, Retention: r.service.ClaimRetention,
		Fingerprint: xxhash.Sum64String(r.ask.Method + " " + r.ask.Target),
	}
	stored, err := r.c.Claims.Take(ctx, ask)
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return storedResponse(stored), nil
	}
	r.claim = &ask
	return nil, nil
}

// failed turns the last attempt's failure into the request's. A request of which any attempt may have run is unknown,
// whatever its last attempt proved.
func (r *request) failed(last *code.Error) *code.Error {
	if r.isUnsure() && last.Outcome == code.NotRun {
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

func (r *request) isUnsure() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unsure
}

// note records the failure of an attempt.
func (r *request) note(failure *code.Error) {
	if failure.Outcome == code.NotRun {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsure = true
	r.ran++
}

// timed reports whether an answer is expected within the service's usual latency.
func (r *request) timed() bool {
	return choice.LatencySensitive(r.class)
}
