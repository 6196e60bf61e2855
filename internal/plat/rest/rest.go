// Package rest makes the HTTP requests of the platform adapters and classifies their failures.
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
	// DefaultMaxResponse holds one log row of a change of the whole folder (4 MiB, quoted as JSON and in base64).
	DefaultMaxResponse = 16 << 20
)

// outcomeHeader with the value notApplied proves that a failed write was not applied. A bare 503 proves nothing: it can
// come from a device between the platform and this process, after the write was passed on.
const (
	outcomeHeader = "Platform-Outcome"
	notApplied    = "not-run"
)

// idlePerStore is the number of idle connections kept to a store. Claims make many small requests at once.
const idlePerStore = 32

// shared follows no redirect and uses no proxy: the platform is addressed by IP numbers, and a write must reach exactly the
// store that it was meant for.
var shared = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerStore,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true, // the bound of a response is on the bytes that are kept
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Client sends requests to one platform store.
type Client struct {
	Address     netip.AddrPort
	Resolve     func() netip.AddrPort // the address now, when it can change; may be nil
	HTTP        *http.Client          // nil: one that all clients share
	Timeout     time.Duration         // of one request; 0: DefaultTimeout
	MaxResponse int64                 // bytes; 0: DefaultMaxResponse
}

// Request is one request. Its path is already escaped.
type Request struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a whole response with a status below 300.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request once and reads the whole response. Its errors are coded as those of table.Store.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := fmt.Sprintf("http://%s%s", c.at(), r.Path)
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return Response{}, code.NotRunf(code.BadRequest, "platform request %s %s", r.Method, r.Path).WithCause(err)
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	sent, err := c.client().Do(request)
	if err != nil {
		return Response{}, c.unavailable(r, !connected.Load(), "no response", err)
	}
	defer func() { _ = sent.Body.Close() }()
	return c.read(r, sent)
}

func (c *Client) at() netip.AddrPort {
	if c.Resolve != nil {
		return c.Resolve()
	}
	return c.Address
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return shared
}

func (c *Client) read(r Request, sent *http.Response) (Response, error) {
	limit := c.MaxResponse
	if limit == 0 {
		limit = DefaultMaxResponse
	}
	if sent.StatusCode >= http.StatusMultipleChoices {
		return Response{}, c.refused(r, sent)
	}
	body, err := io.ReadAll(io.LimitReader(sent.Body, limit+1))
	if err != nil {
		return Response{}, c.unavailable(r, false, "response truncated", err)
	}
	if int64(len(body)) > limit {
		return Response{}, c.unavailable(r, false, fmt.Sprintf("response above %d bytes", limit), nil)
	}
	return Response{Status: sent.StatusCode, Header: sent.Header, Body: body}, nil
}

// refused maps a status of 300 or more. A status of the 4xx class says that the store did not apply the request.
func (c *Client) refused(r Request, sent *http.Response) error {
	detail := fmt.Sprintf("%s %s: status %d", r.Method, r.Path, sent.StatusCode)
	switch sent.StatusCode {
	case http.StatusNotFound, http.StatusGone:
		return code.NotRunf(code.NotFound, "%s", detail)
	case http.StatusPreconditionFailed, http.StatusConflict:
		return code.NotRunf(code.ChangeConflict, "%s", detail)
	case http.StatusRequestEntityTooLarge:
		return code.NotRunf(code.BodyTooLarge, "%s", detail)
	case http.StatusUnauthorized, http.StatusForbidden:
		return code.NotRunf(code.Unauthorized, "%s", detail)
	case http.StatusTooManyRequests, http.StatusRequestTimeout:
		return c.unavailable(r, sent.Header.Get(outcomeHeader) == notApplied, detail, nil)
	}
	if sent.StatusCode < http.StatusInternalServerError {
		return code.NotRunf(code.BadRequest, "%s", detail)
	}
	return c.unavailable(r, sent.Header.Get(outcomeHeader) == notApplied, detail, nil)
}

// unavailable returns the error of a failed request. A read never applies a write, so its outcome is always not-run.
func (c *Client) unavailable(r Request, proven bool, detail string, cause error) error {
	made := code.Unknownf
	if proven || r.Method == http.MethodGet {
		made = code.NotRunf
	}
	return made(code.PlatformUnavailable, "platform at %s: %s", c.at(), detail).WithCause(cause)
}
