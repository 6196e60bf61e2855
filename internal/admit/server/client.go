// Package server is the HTTP client of an admission role to its own server.
package server

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Defaults of a client's fields.
const (
	DefaultMaxConns     = 250
	DefaultDialRate     = 1000            // a server takes about 1 ms for a new connection
	DefaultIdleBound    = 2 * time.Second // servers close idle connections after several seconds
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
	IdleBound    time.Duration  // a connection that was idle for longer carries no request
	PollInterval time.Duration  // between two polls of the same endpoint
	HealthPath   string         // empty: not polled
	LoadPath     string         // empty: not polled
	Log          logr.Logger
	// Dial opens a connection to the server; nil dials Address over TCP.
	Dial func(ctx context.Context) (net.Conn, error)

	once      sync.Once
	transport *http.Transport
	pace      *rate.Limiter
	conns     atomic.Int64
	dials     atomic.Uint64
	polls     polls
}

// Dump is the state of a client.
type Dump struct {
	Address  netip.AddrPort
	Conns    int64
	Dials    uint64
	Draining bool
	Health   Seen
	Load     Seen
}

// Attempt is one request to the server.
type Attempt struct {
	Request    *http.Request
	Idempotent bool // the transport may send it again when the server closes a reused connection
	Sheds      bool // a 503 of this server proves that it did not run the request
	// Written is called when the server has the whole request, by another goroutine and possibly after its answer.
	Written func()

	connected atomic.Bool
}

// Do sends the request and returns the response header. A request that is not idempotent reaches the server at most once.
func (c *Client) Do(a *Attempt) (*http.Response, *code.Error) {
	c.once.Do(c.setUp)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil && a.Written != nil {
				a.Written()
			}
		},
	}
	req := a.Request.WithContext(httptrace.WithClientTrace(a.Request.Context(), trace))
	if !a.Idempotent {
		forbidResend(req)
	}
	response, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, failure(req.Context(), err, a.connected.Load())
	}
	if a.Sheds && response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(codeHeader) == "" {
		_ = response.Body.Close() // the response is dropped whole
		return nil, code.NotRunf(code.ServerShed, "the server shed the request before it ran it")
	}
	return response, nil
}

// Draining reports whether the health endpoint last said that the server drains.
func (c *Client) Draining() bool {
	return c.polls.draining.Load()
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.setUp)
	c.transport.CloseIdleConnections()
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
	if c.IdleBound <= 0 {
		c.IdleBound = DefaultIdleBound
	}
	if c.PollInterval <= 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.Dial == nil {
		c.Dial = c.dialTCP
	}
	c.pace = rate.NewLimiter(rate.Limit(c.DialRate), dialBurst)
	c.transport = &http.Transport{
		DialContext:            c.dialPaced,
		MaxConnsPerHost:        c.MaxConns,
		MaxIdleConns:           c.MaxConns,
		MaxIdleConnsPerHost:    c.MaxConns,
		IdleConnTimeout:        c.IdleBound, // the transport checks it again when it takes a connection
		DisableCompression:     true,        // responses pass unchanged
		MaxResponseHeaderBytes: maxHeader,
	}
}

func (c *Client) dialTCP(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", c.Address.String())
}

func (c *Client) dialPaced(ctx context.Context, _, _ string) (net.Conn, error) {
	if err := c.pace.Wait(ctx); err != nil {
		return nil, err
	}
	c.dials.Add(1)
	conn, err := c.Dial(ctx)
	if err != nil {
		return nil, err
	}
	c.conns.Add(1)
	return &countedConn{Conn: conn, open: &c.conns}, nil
}

// countedConn counts the open connections.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close closes the connection.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

func failure(ctx context.Context, err error, connected bool) *code.Error {
	result := code.Unknownf(code.ServerUnreachable, "no response from the server")
	switch {
	case ctx.Err() == nil:
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result = code.Unknownf(code.DeadlineExceeded, "the deadline passed before the server's response")
	default:
		result = code.Unknownf(code.Cancelled, "the request was cancelled")
	}
	if !connected {
		// Without a connection no byte can have reached the server.
		result.Outcome = code.NotRun
	}
	return result.WithCause(err)
}
