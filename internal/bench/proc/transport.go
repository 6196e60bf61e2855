package proc

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
)

const (
	daemonsPath = "/.well-known/marigoldwinch/daemons"
	listTimeout = 300 * time.Millisecond // a paused daemon is passed over soon
	// callTimeout ends a call through a daemon that never answers; well above every Request-Timeout of the tests.
	callTimeout = 5 * time.Second
)

// Result is what a caller was told about one request.
type Result struct {
	Method  string
	Daemon  netip.AddrPort // that got the request
	Outcome load.Outcome   // by status and headers
	Detail  string         // error, or code of marigoldwinch's own response
	At      time.Time      // of the response
}

// Transport is an http.RoundTripper that behaves as a caller should: it uses only daemons of the list that the daemons
// serve, and sends a request again only when the connection was refused. It records every fate by Sample-Request. A
// request outlives the end of its context, so that a run of the load generator can be ended without cutting requests.
type Transport struct {
	Seeds []netip.AddrPort // callers' addresses to ask for the list
	// KeepAlive lets connections be used again. Requests must then have no Idempotency-Key, see callerTransport.
	KeepAlive bool

	keepAlive http.Transport

	mu      sync.Mutex // guards the fields below
	daemons []netip.AddrPort
	results map[string]Result
}

// A connection for each request: Go's transport sends a request with Idempotency-Key again when a reused connection
// breaks, which would be a retry of the caller.
var oneShotTransport = &http.Transport{DisableKeepAlives: true}

// Refresh reads the list from the first known daemon that answers.
func (c *Transport) Refresh(ctx context.Context) error {
	var lastErr error
	for _, i := range rand.Perm(len(c.Seeds)) {
		listed, err := fetchDaemons(ctx, c.Seeds[i])
		if err != nil {
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.daemons = listed
		c.mu.Unlock()
		return nil
	}
	return errors.Wrap(lastErr, "no daemon serves the list of daemons")
}

// Daemons returns the list of daemons that was read last.
func (c *Transport) Daemons() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons
}

func fetchDaemons(ctx context.Context, from netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list := struct {
		Daemons []struct {
			Address netip.AddrPort `json:"address"`
		} `json:"daemons"`
	}{}
	if err := getJSON(ctx, "http://"+from.String()+daemonsPath, &list); err != nil {
		return nil, err
	}
	var listed []netip.AddrPort
	for _, daemon := range list.Daemons {
		listed = append(listed, daemon.Address)
	}
	if len(listed) == 0 {
		return nil, errors.Newf("%s lists no daemon", from)
	}
	return listed, nil
}

// RoundTrip implements http.RoundTripper.
func (c *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Context()), callTimeout)
	var response *http.Response
	var daemon netip.AddrPort
	err := errors.New("no daemon is listed")
	for _, daemon = range c.order(request) {
		response, err = c.try(ctx, request, daemon)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	c.record(request, daemon, response, err)
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancelBody{response.Body, cancel}
	return response, nil
}

// order returns the listed daemons, the one that the request names first.
func (c *Transport) order(request *http.Request) []netip.AddrPort {
	named, err := netip.ParseAddrPort(request.URL.Host)
	listed := slices.Clone(c.Daemons())
	rand.Shuffle(len(listed), func(i, j int) { listed[i], listed[j] = listed[j], listed[i] })
	if i := slices.Index(listed, named); err == nil && i > 0 {
		listed[0], listed[i] = listed[i], listed[0]
	}
	return listed
}

func (c *Transport) try(ctx context.Context, request *http.Request, daemon netip.AddrPort) (*http.Response, error) {
	attempt := request.Clone(ctx)
	attempt.URL.Host = daemon.String()
	attempt.Host = ""
	if c.KeepAlive {
		// Without GetBody, Go's transport sends nothing again on another connection.
		if attempt.Body == nil {
			attempt.Body = io.NopCloser(http.NoBody)
		}
		attempt.GetBody = nil
		return c.sendKeepAlive(attempt)
	}
	if request.GetBody != nil {
		body, err := request.GetBody()
		if err != nil {
			return nil, err
		}
		attempt.Body = body
	}
	return oneShotTransport.RoundTrip(attempt)
}

// sendKeepAlive hides a refused connection when the request has been written before on one that broke: Go's transport may have dialed
// again, and only a request that was never written has not run.
func (c *Transport) sendKeepAlive(request *http.Request) (*http.Response, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	response, err := c.keepAlive.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if errors.Is(err, syscall.ECONNREFUSED) && written.Load() {
		return nil, errors.Newf("the connection broke: %v", err)
	}
	return response, err
}

func (c *Transport) record(request *http.Request, daemon netip.AddrPort, response *http.Response, err error) {
	result := Result{Method: request.Method, Daemon: daemon, At: time.Now()}
	switch {
	case err != nil:
		result.Outcome, result.Detail = load.Failed, err.Error()
	case response.Header.Get("Marigoldwinch-Outcome") == "not-run":
		result.Outcome, result.Detail = load.NotRun, response.Header.Get("Marigoldwinch-Code")
	case response.Header.Get("Marigoldwinch-Outcome") == "unknown":
		result.Outcome, result.Detail = load.UnknownOutcome, response.Header.Get("Marigoldwinch-Code")
	case response.StatusCode >= http.StatusBadRequest:
		result.Outcome, result.Detail = load.ServerError, response.Status
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results == nil {
		c.results = map[string]Result{}
	}
	c.results[request.Header.Get(sample.RequestHeader)] = result
}

// Results returns what the callers were told, by Sample-Request.
func (c *Transport) Results() map[string]Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	results := make(map[string]Result, len(c.results))
	for id, result := range c.results {
		results[id] = result
	}
	return results
}

// cancelBody ends the request's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func getJSON(ctx context.Context, target string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10)) // part of the message only
		return errors.Newf("GET %s: %s: %s", target, response.Status, text)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "GET %s", target)
}
