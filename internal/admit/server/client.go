// Package server is the HTTP client with which a daemon sends admitted requests to its own backend server.
package server

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// Defaults of a client's fields.
const (
	DefaultMaxConns     = 250
	DefaultDialRate     = 1000            // a server takes about 1 ms for a new connection
	DefaultIdleTimeout  = 2 * time.Second // servers close idle connections after several seconds
	DefaultPollInterval = time.Second
)

const (
	dialBurst   = 1 // simultaneous connections queue at the server, so dials are spaced evenly without a burst
	dialTimeout = time.Second
	// maxHeader bounds the size of a response header in bytes, where each line counts headerLineCost bytes more. A server can hold back
	// the end of a header on all of its connections at once.
	maxHeader      = 64 << 10
	headerLineCost = 128
)

// codeHeader is set on responses that a marigoldwinch daemon generated.
const codeHeader = "Marigoldwinch-Code"

// Client sends requests to the daemon's own server. Its exported fields are set before the first use; zero values mean the
// defaults.
type Client struct {
	Address      netip.AddrPort // of the server
	MaxConns     int            // maximum number of open connections
	DialRate     float64        // new connections per second
	IdleTimeout  time.Duration  // idle time after which a connection is not used again, unless the server states its own
	PollInterval time.Duration  // between two polls of the same endpoint
	HealthPath   func() string  // path of the health endpoint; not polled while empty
	LoadPath     string         // path of the load endpoint; not polled when empty
	Dialect      hdrs.Dialect
	Status       *status.Server // updated from responses; nil when the server does not report its state
	Log          logr.Logger
	// Dial opens a connection to the server; nil dials Address over TCP.
	Dial func(ctx context.Context) (net.Conn, error)

	once        sync.Once
	dialLimiter *rate.Limiter
	conns       atomic.Int64
	dials       atomic.Uint64
	polls       polls

	mu       sync.Mutex
	idle     []*conn       // most recently used last
	reserved int           // open connections and those being opened
	released chan struct{} // closed when a connection becomes idle or one may be opened; nil without waiters
}

// Dump is the state of a client.
type Dump struct {
	Address  netip.AddrPort
	Conns    int64
	Dials    uint64
	Draining bool
	Health   PollResult
	Load     PollResult
}

// Attempt is one request to the server.
type Attempt struct {
	Request        *http.Request
	ID             string // value of the dialect's request id header, which the response must repeat; empty for none
	ShedsBeforeRun bool   // a 503 response proves that the server did not run the request
	// Written is called once the request has been sent completely, possibly by another goroutine and after the response.
	Written func()

	sending sending
}

// Do sends the request once, without retries, and returns the response once its header has arrived.
func (c *Client) Do(a *Attempt) (*http.Response, *code.Error) {
	c.once.Do(c.setUp)
	ctx := a.Request.Context()
	conn, err := c.acquire(ctx, a)
	if err != nil {
		c.dropWarmProof(ctx)
		return nil, failure(ctx, err, false)
	}
	response, err := conn.exchange(a)
	if err != nil {
		c.dropWarmProof(ctx)
		return nil, failure(ctx, err, conn.wroteAny.Load())
	}
	if refusal := c.refusal(a, response); refusal != nil {
		_ = response.Body.Close() // its body is not needed
		return nil, refusal
	}
	if c.Status != nil {
		if load, ok := c.Dialect.ParseLoad(response.Header); ok {
			c.Status.SetLoad(load)
		}
	}
	return response, nil
}

// dropWarmProof discards the proof that the server is warm after a failed connection, unless the request's context has ended.
func (c *Client) dropWarmProof(ctx context.Context) {
	if c.Status != nil && ctx.Err() == nil {
		c.Status.DropWarmProof()
	}
}

// refusal returns an error when the response proves that the server did not run the request.
func (c *Client) refusal(a *Attempt, response *http.Response) *code.Error {
	if c.Dialect.Expect != "" && response.StatusCode == http.StatusMisdirectedRequest {
		c.Status.DropWarmProof()
		return code.NotRunf(code.WrongServer, "another server, %q, answered at the server's address", response.Header.Get(c.Dialect.Identity))
	}
	if c.Dialect.NotRun != "" && response.Header.Get(c.Dialect.NotRun) != "" {
		return code.NotRunf(code.ServerShed, "the server refused the request with status %d", response.StatusCode)
	}
	if a.ShedsBeforeRun && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(codeHeader) == "" {
		return code.NotRunf(code.ServerShed, "the server shed the request before running it")
	}
	return nil
}

// Draining reports whether the last health response said that the server is draining.
func (c *Client) Draining() bool {
	return c.polls.draining.Load()
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.setUp)
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// Dump returns the state of the client.
func (c *Client) Dump() any {
	health, load := c.polls.results()
	return Dump{
		Address:  c.Address,
		Conns:    c.conns.Load(),
		Dials:    c.dials.Load(),
		Draining: c.Draining(),
		Health:   health,
		Load:     load,
	}
}

func (c *Client) setUp() {
	if c.MaxConns <= 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.DialRate <= 0 {
		c.DialRate = DefaultDialRate
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.PollInterval <= 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.Dial == nil {
		c.Dial = c.dialTCP
	}
	c.dialLimiter = rate.NewLimiter(rate.Limit(c.DialRate), dialBurst)
	c.polls.requested = make(chan struct{}, 1)
}

func (c *Client) dialTCP(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", c.Address.String())
}

func failure(ctx context.Context, err error, wrote bool) *code.Error {
	result := code.Unknownf(code.ServerUnreachable, "no response from the server")
	switch {
	case ctx.Err() == nil:
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result = code.Unknownf(code.DeadlineExceeded, "the deadline passed before the server's response")
	default:
		result = code.Unknownf(code.Cancelled, "the request was cancelled")
	}
	if !wrote {
		// No byte of the request was sent, so the server cannot have run it.
		result.Outcome = code.NotRun
	}
	return result.WithCause(err)
}
