// Package rest sends the HTTP requests of the platform adapters and maps failures to result codes and outcomes.
package rest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Defaults of a client.
const (
	DefaultTimeout = 2 * time.Second
	// DefaultMaxResponse is enough for the log row of a change of the whole configuration folder (4 MiB, quoted as JSON and in base64).
	DefaultMaxResponse = 16 << 20
)

// outcomeHeader with the value notApplied proves that a failed write was not applied. A 503 without it proves nothing, because a
// proxy between this process and the platform can send it after it forwarded the write.
const (
	outcomeHeader = "Platform-Outcome"
	notApplied    = "not-run"
)

// minRate is the rate in bytes per second below which a response is given up. Links of 10 Mbit/s carry ten times as much.
const minRate = 128 << 10

// maxIdlePerStore is the number of idle connections kept to a store. Claims send many small requests concurrently.
const maxIdlePerStore = 32

// defaultClient follows no redirects and uses no proxy: the platform is addressed by IP address, and a write must reach exactly
// this store.
var defaultClient = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerStore,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true, // MaxResponse limits the bytes that are kept in memory
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Client sends requests to one platform store.
type Client struct {
	Address     netip.AddrPort
	Resolve     func() netip.AddrPort // returns the current address in place of Address; may be nil
	HTTP        *http.Client          // nil: defaultClient, shared by all clients
	Timeout     time.Duration         // of one request, extended while its response arrives; 0: DefaultTimeout
	MaxResponse int64                 // bytes; 0: DefaultMaxResponse
	OnResponse  func(http.Header)     // called with the header of each response, of any status; may be nil
}

// Request is one request to a store. Its path is already escaped.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a completely read response with a status below 300.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request once, without retries, and reads the whole response. It returns the same error codes and outcomes as
// table.Store.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := c.startLimit(cancel)
	defer limit.timer.Stop()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := fmt.Sprintf("http://%s%s", c.address(), r.Path)
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, code.NotRunf(code.BadRequest, "platform request %s %s", r.Method, r.Path).WithCause(err)
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	response, err := c.client().Do(request)
	if err != nil {
		return Response{}, c.unavailable(r, !connected.Load(), "request failed without a response", causeOf(ctx, err))
	}
	defer func() { _ = response.Body.Close() }()
	if c.OnResponse != nil {
		c.OnResponse(response.Header)
	}
	return c.read(ctx, r, response, limit)
}

// causeOf returns why the context has ended, or err if it has not.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// timeLimit ends a request after its timeout. Each byte of the response moves the end by its time at minRate, at most to a timeout from
// now. A large response on a slow link is then read to its end: a repetition would begin anew and add to the load of the link.
type timeLimit struct {
	timeout time.Duration
	timer   *time.Timer
	end     time.Time
}

func (c *Client) startLimit(cancel context.CancelCauseFunc) *timeLimit {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return &timeLimit{
		timeout: timeout,
		timer:   time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) }),
		end:     time.Now().Add(timeout),
	}
}

// extend moves the end for n bytes that have arrived. A limit that has passed stays.
func (l *timeLimit) extend(n int) {
	end := l.end.Add(time.Duration(n) * time.Second / minRate)
	if latest := time.Now().Add(l.timeout); end.After(latest) {
		end = latest
	}
	l.end = end
	if l.timer.Stop() {
		l.timer.Reset(time.Until(end))
	}
}

// extendingReader extends the limit of a request while it reads the response.
type extendingReader struct {
	body  io.Reader
	limit *timeLimit
}

// Read implements io.Reader.
func (r extendingReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.limit.extend(n)
	return n, err
}

func (c *Client) address() netip.AddrPort {
	if c.Resolve != nil {
		return c.Resolve()
	}
	return c.Address
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultClient
}

func (c *Client) read(ctx context.Context, r Request, response *http.Response, limit *timeLimit) (Response, error) {
	most := c.MaxResponse
	if most == 0 {
		most = DefaultMaxResponse
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return Response{}, c.statusError(r, response)
	}
	body, err := io.ReadAll(io.LimitReader(extendingReader{body: response.Body, limit: limit}, most+1))
	if err != nil {
		return Response{}, c.unavailable(r, false, "response body could not be read to its end", causeOf(ctx, err))
	}
	if int64(len(body)) > most {
		return Response{}, c.unavailable(r, false, fmt.Sprintf("response is larger than %d bytes", most), nil)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// statusError returns the error for a status of 300 or more. A 4xx status means that the store did not apply the request, except 408
// and 429, which like 5xx need outcomeHeader as proof.
func (c *Client) statusError(r Request, response *http.Response) error {
	detail := fmt.Sprintf("%s %s: status %d", r.Method, r.Path, response.StatusCode)
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusGone:
		return code.NotRunf(code.NotFound, "%s", detail)
	case http.StatusPreconditionFailed, http.StatusConflict:
		return code.NotRunf(code.ChangeConflict, "%s", detail)
	case http.StatusRequestEntityTooLarge:
		return code.NotRunf(code.BodyTooLarge, "%s", detail)
	case http.StatusUnauthorized, http.StatusForbidden:
		return code.NotRunf(code.Unauthorized, "%s", detail)
	case http.StatusTooManyRequests, http.StatusRequestTimeout:
		return c.unavailable(r, response.Header.Get(outcomeHeader) == notApplied, detail, nil)
	}
	if response.StatusCode < http.StatusInternalServerError {
		return code.NotRunf(code.BadRequest, "%s", detail)
	}
	return c.unavailable(r, response.Header.Get(outcomeHeader) == notApplied, detail, nil)
}

// unavailable returns the error for a request that failed. Its outcome is not-run if certain says so, and for a read, which changes
// nothing.
func (c *Client) unavailable(r Request, certain bool, detail string, cause error) error {
	newError := code.Unknownf
	if certain || r.Method == http.MethodGet {
		newError = code.NotRunf
	}
	return newError(code.PlatformUnavailable, "platform at %s: %s", c.address(), detail).WithCause(cause)
}
