// Package server is the HTTP client of an admission role to its own server.
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
	dialBurst   = 1 // connections that arrive together queue at the server, so none may be opened ahead of the rate
	dialTimeout = time.Second
	// maxHeader bounds the response header that a server may send.
	maxHeader = 256 << 10
)

// codeHeader marks a response that marigoldwinch itself made.
const codeHeader = "Marigoldwinch-Code"

// Client sends requests to the own server. Its fields are set before the first use; zero values mean the defaults.
type Client struct {
	Address      netip.AddrPort // of the server
	MaxConns     int            // connections at once
	DialRate     float64        // new connections per second
	IdleTimeout  time.Duration  // a connection that was idle for longer carries no request, unless the server tells its own bound
	PollInterval time.Duration  // between two polls of the same endpoint
	HealthPath   func() string  // empty: not polled
	LoadPath     string         // empty: not polled
	Dialect      hdrs.Dialect
	Status       *status.Server // told of what responses tell; nil when servers tell nothing
	Log          logr.Logger
	// Dial opens a connection to the server; nil dials Address over TCP.
	Dial func(ctx context.Context) (net.Conn, error)

	once  sync.Once
	pace  *rate.Limiter
	conns atomic.Int64
	dials atomic.Uint64
	polls polls

	mu      sync.Mutex
	idle    []*conn       // the one used last is at the end
	opened  int           // open connections and those being opened
	changed chan struct{} // closed when a connection becomes free or one may be opened; nil unless somebody waits
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
	ID             string // value of the dialect's request id, which the response must repeat; empty for none
	ShedsBeforeRun bool   // a 503 of this server proves that it did not run the request
	// Written is called when the server has the whole request, by another goroutine and possibly after its answer.
	Written func()
}

// Do sends the request once and returns the response header.
func (c *Client) Do(a *Attempt) (*http.Response, *code.Error) {
	c.once.Do(c.setUp)
	ctx := a.Request.Context()
	conn, err := c.take(ctx)
	if err != nil {
		c.doubt(ctx)
		return nil, failure(ctx, err, false)
	}
	response, err := conn.exchange(a)
	if err != nil {
		c.doubt(ctx)
		return nil, failure(ctx, err, conn.wrote.Load())
	}
	if refused := c.refused(a, response); refused != nil {
		_ = response.Body.Close() // the response is dropped whole
		return nil, refused
	}
	if c.Status != nil {
		if load, ok := c.Dialect.ParseLoad(response.Header); ok {
			c.Status.SetLoad(load)
		}
	}
	return response, nil
}

// doubt tells that a connection failed while its request still had time.
func (c *Client) doubt(ctx context.Context) {
	if c.Status != nil && ctx.Err() == nil {
		c.Status.DropWarmProof()
	}
}

// refused reads a response that proves that the server did not run the request.
func (c *Client) refused(a *Attempt, response *http.Response) *code.Error {
	if c.Dialect.Expect != "" && response.StatusCode == http.StatusMisdirectedRequest {
		c.Status.DropWarmProof()
		return code.NotRunf(code.WrongServer, "the server's address belongs to %q", response.Header.Get(c.Dialect.Identity))
	}
	if c.Dialect.NotRun != "" && response.Header.Get(c.Dialect.NotRun) != "" {
		return code.NotRunf(code.ServerShed, "the server refused the request with status %d", response.StatusCode)
	}
	if a.ShedsBeforeRun && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(codeHeader) == "" {
		return code.NotRunf(code.ServerShed, "the server shed the request before it ran it")
	}
	return nil
}

// Draining reports whether the health endpoint last said that the server drains.
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
	health, load := c.polls.seen()
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
	c.pace = rate.NewLimiter(rate.Limit(c.DialRate), dialBurst)
	c.polls.ask = make(chan struct{}, 1)
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
		// No byte of the request can have reached the server.
		result.Outcome = code.NotRun
	}
	return result.WithCause(err)
}
