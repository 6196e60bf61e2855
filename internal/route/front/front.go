// Package front is the HTTP front end: it accepts callers' requests, forwards them and writes the responses.
package front

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/route/http1"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// DaemonsPath is the path of the list of daemons that callers may connect to.
const DaemonsPath = "/.well-known/marigoldwinch/daemons"

// Default limits on callers.
const (
	DefaultMaxHeaderBytes = 32 << 10        // bytes of one request's headers
	DefaultHeaderTimeout  = 5 * time.Second // for the headers of a request; a slower caller only occupies a connection
	DefaultMaxTimeout     = time.Hour       // a longer Request-Timeout is rejected as a mistake
)

const idleTimeout = config.DefaultIdleTimeout // callers keep connections open for their next request

// Headers of requests, and of the error responses that the daemon generates itself.
const (
	headerKey     = "Idempotency-Key"
	headerCode    = "Marigoldwinch-Code"
	headerOutcome = "Marigoldwinch-Outcome"
)

// Forwarder sends requests to a server and returns its responses; call.Client implements it.
type Forwarder interface {
	Do(ctx context.Context, request *call.Request) (*call.Response, error)
}

// Members lists the daemons in the membership table.
type Members interface {
	// All returns the records of all members in any order. They must not be modified.
	All() []member.Record
}

// Front is the HTTP front end. It needs no HTTP router library: the service is the first segment of the path, or follows
// from the configured routes.
type Front struct {
	Listener     net.Listener
	Forwarder    Forwarder
	Members      Members
	Config       *config.Holder // limits on callers, and routes; may be nil unless Routed
	Routed       bool           // the configured routes select the service; otherwise it is the first segment of the path
	Dialect      hdrs.Dialect   // names and formats of the headers exchanged with callers
	Service      func() string  // service of the instance beside this daemon, which sends the requests
	Zone         string
	Usable       func(record member.Record) bool // whether the configuration lets callers use a daemon; all may be used when nil
	Unlist       func()                          // removes this daemon from the lists of the other daemons; may be nil
	GracePeriod  time.Duration                   // accepting continues for this long after Unlist, while callers refresh their lists
	DrainTimeout time.Duration                   // maximum wait for requests in flight; unlimited when 0
	Decisions    *logs.Sampler                   // may be nil
	Log          logr.Logger

	MaxHeaderBytes int           // used unless Routed with a configuration in force; DefaultMaxHeaderBytes when 0
	HeaderTimeout  time.Duration // used under the same condition; DefaultHeaderTimeout when 0
	MaxTimeout     time.Duration // DefaultMaxTimeout when 0

	once      sync.Once
	server    *http1.Server
	splits    trafficSplits
	stopping  atomic.Bool
	inFlight  atomic.Int64
	requests  atomic.Uint64
	failures  atomic.Uint64
	truncated atomic.Uint64

	withoutKey, unknownKey atomic.Uint64 // requests refused with 401
	unnamed                atomic.Uint64 // those of them that have no id of the caller
}

// Run serves until ctx ends and then shuts down gracefully: it waits for requests in flight, for at most DrainTimeout.
func (f *Front) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- f.httpServer().Run() }()
	select {
	case err := <-served:
		if !f.stopping.Load() {
			return err
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	f.stopping.Store(true)
	if f.Unlist != nil {
		f.Unlist()
	}
	f.Log.Info("front-stopping", "grace", f.GracePeriod.String())
	time.Sleep(f.GracePeriod)
	drainCtx, cancel := context.WithCancel(context.Background())
	if f.DrainTimeout > 0 {
		drainCtx, cancel = context.WithTimeout(context.Background(), f.DrainTimeout)
	}
	defer cancel()
	return f.httpServer().Shutdown(drainCtx)
}

// DisableKeepAlives makes callers reconnect to other daemons: each connection is closed after the requests already read.
func (f *Front) DisableKeepAlives() {
	f.httpServer().DisableKeepAlives()
}

// Drain stops reading requests and waits for those in flight. Those that outlast ctx are cancelled, so that Run can still answer them.
func (f *Front) Drain(ctx context.Context) error {
	f.stopping.Store(true)
	err := f.httpServer().Shutdown(ctx)
	if err != nil {
		f.httpServer().CancelRequests()
	}
	return err
}

func (f *Front) httpServer() *http1.Server {
	f.once.Do(func() {
		f.server = &http1.Server{Listener: f.Listener, Handler: f, Limits: f.limits, Log: f.Log}
	})
	return f.server
}

func (f *Front) limits() http1.Limits {
	limits := http1.Limits{
		HeaderBytes:   cmp.Or(f.MaxHeaderBytes, DefaultMaxHeaderBytes),
		HeaderTimeout: cmp.Or(f.HeaderTimeout, DefaultHeaderTimeout), IdleTimeout: idleTimeout,
	}
	if !f.Routed {
		return limits
	}
	if conf := f.Config.Get(); conf != nil {
		limits = http1.Limits{
			HeaderBytes: conf.Callers.HeaderBytes, HeaderTimeout: conf.Callers.HeaderTimeout, IdleTimeout: conf.Callers.IdleTimeout,
		}
	}
	return limits
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == DaemonsPath && !f.Routed {
		f.serveDaemons(w, r)
		return
	}
	f.requests.Add(1)
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	request, err := f.newRequest(w, r)
	if err != nil {
		f.writeError(w, err)
		return
	}
	f.forward(w, r, request)
}

func (f *Front) forward(w http.ResponseWriter, r *http.Request, request *call.Request) {
	response, err := f.Forwarder.Do(r.Context(), request)
	if err != nil {
		f.writeError(w, err)
		return
	}
	defer response.Close()
	f.writeResponse(w, r, response)
	f.awaitBody(w, response)
}

// newRequest validates a caller's request and converts it.
func (f *Front) newRequest(w http.ResponseWriter, r *http.Request) (*call.Request, error) {
	request := &call.Request{
		Method: r.Method, Host: r.Host, ContentLength: r.ContentLength, Key: r.Header.Get(headerKey),
	}
	if f.Dialect.RequestID != "" {
		request.Name = r.Header.Get(f.Dialect.RequestID)
	}
	if err := f.setTarget(r, request); err != nil {
		return nil, err
	}
	if text := r.Header.Get(f.Dialect.Timeout); text != "" {
		timeout, ok := f.Dialect.ParseTimeout(text)
		maxTimeout := cmp.Or(f.MaxTimeout, DefaultMaxTimeout)
		if !ok || timeout > maxTimeout {
			return nil, code.NotRunf(code.BadRequest, "invalid %s %q: want a duration above 0, at most %v", f.Dialect.Timeout, text, maxTimeout)
		}
		request.Timeout = timeout
	}
	if text := r.Header.Get(f.Dialect.Context); text != "" && f.Dialect.Context != "" {
		parent, err := ident.ParseCallContext(text)
		if err != nil {
			return nil, code.NotRunf(code.BadRequest, "malformed %s header", f.Dialect.Context).WithCause(err)
		}
		request.Context = &parent
	}
	request.Header = f.endToEnd(r.Header)
	if request.Organisation != nil {
		request.Header = f.Dialect.WithOrganisation(request.Header, request.Organisation.Name)
	} else {
		request.Header = f.removeIdentity(request.Header)
	}
	f.setBody(w, r, request)
	return request, nil
}

// setTarget sets the service and the path of a request.
func (f *Front) setTarget(r *http.Request, request *call.Request) error {
	if f.Routed {
		return f.setRoutedTarget(r, request)
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if service == "" {
		return code.NotRunf(code.UnknownService, "path has no service: want /SERVICE/PATH")
	}
	request.Service, request.Target, request.Path = service, "/"+rest, "/"+rest
	if _, path, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); ok {
		request.Path = "/" + path // unescaped, to match the path patterns in the configuration
	}
	if r.URL.RawQuery != "" {
		request.Target += "?" + r.URL.RawQuery
	}
	if f.Config == nil {
		return nil
	}
	return f.identify(f.Config.Get(), r, request)
}

// setRoutedTarget selects the service by the configured routes. The request target is forwarded unchanged.
func (f *Front) setRoutedTarget(r *http.Request, request *call.Request) error {
	conf, err := f.Config.InForce()
	if err != nil {
		return err
	}
	route := conf.RouteFor(r.Host, r.URL.EscapedPath())
	if route == nil {
		return code.NotRunf(code.NoRoute, "no route matches %s%s", r.Host, r.URL.EscapedPath())
	}
	request.Route = route
	if err := f.identify(conf, r, request); err != nil {
		return err
	}
	if r.ContentLength > conf.Callers.BodyBytes {
		return code.NotRunf(code.BodyTooLarge, "request body of %d bytes exceeds the limit of %d", r.ContentLength, conf.Callers.BodyBytes)
	}
	request.Service = f.splits.next(route)
	request.Target, request.Path = r.URL.RequestURI(), r.URL.Path
	return nil
}

// setBody sets up the streaming of the request body.
func (f *Front) setBody(w http.ResponseWriter, r *http.Request, request *call.Request) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	request.Body = r.Body
	request.Abort = func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
	request.WaitForAck = strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	if len(r.Trailer) > 0 {
		request.Trailer = func() http.Header { return f.removeIdentity(r.Trailer) }
	}
}

// hopByHop are the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns the header without hop-by-hop fields. The header is copied only if it changes.
func (f *Front) endToEnd(header http.Header) http.Header {
	if !f.needsCopy(header) {
		return header
	}
	copied := header.Clone()
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	if f.Dialect.Context != "" {
		copied.Del(f.Dialect.Context) // already parsed into call.Request.Context
	}
	if f.Dialect.Caller != "" {
		copied[f.Dialect.Caller] = []string{f.Service()}
	}
	return copied
}

func (f *Front) needsCopy(header http.Header) bool {
	for _, name := range hopByHop {
		if _, present := header[name]; present {
			return true
		}
	}
	_, present := header[f.Dialect.Context]
	return present || f.Dialect.Caller != ""
}

// Dump is the part of the state dump about the front end.
type Dump struct {
	Stopping  bool
	InFlight  int64
	Requests  uint64
	Failures  uint64 // error responses that the daemon generated itself
	Truncated uint64 // server responses that failed before their end

	WithoutKey uint64 // requests refused because their route needs a key
	UnknownKey uint64 // requests refused because their key belongs to no organisation
}

// Dump returns the state for the state dump.
func (f *Front) Dump() any {
	return f.Counts()
}

// Counts returns the counts since the start.
func (f *Front) Counts() Dump {
	return Dump{
		Stopping: f.stopping.Load(), InFlight: f.inFlight.Load(), Requests: f.requests.Load(),
		Failures: f.failures.Load(), Truncated: f.truncated.Load(),
		WithoutKey: f.withoutKey.Load(), UnknownKey: f.unknownKey.Load(),
	}
}
