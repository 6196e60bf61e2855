// Package front serves callers over HTTP.
package front

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/route/http1"
	"marigoldwinch.example/marigoldwinch/internal/wire/edge"
)

// DaemonsPath lists the daemons that callers may use.
const DaemonsPath = "/.well-known/marigoldwinch/daemons"

// Defaults of the bounds on callers.
const (
	DefaultMaxHeaderBytes = 32 << 10        // bytes of one request's headers
	DefaultHeaderTimeout  = 5 * time.Second // for the headers of a request; a slower caller only holds a connection
	DefaultMaxTimeout     = time.Hour       // a longer Request-Timeout is a mistake
)

const idleBound = config.DefaultIdleTimeout // callers keep connections for their next request

// Headers of requests and of own responses.
const (
	headerKey     = "Idempotency-Key"
	headerCode    = "Marigoldwinch-Code"
	headerOutcome = "Marigoldwinch-Outcome"
)

// Forwarder carries out requests; call.Caller implements it.
type Forwarder interface {
	Do(ctx context.Context, ask *call.Request) (*call.Response, error)
}

// Members lists the known daemons.
type Members interface {
	// All returns the records of all members in any order. The caller does not change them.
	All() []member.Record
}

// Front is the HTTP front end. It uses no router: a path is split at one separator, or led by the configured routes.
type Front struct {
	Listener     net.Listener
	Forwarder    Forwarder
	Members      Members
	Config       *config.Holder // bounds on callers and routes
	Routed       bool           // requests are led by routes; else the path begins with the service
	Dialect      edge.Dialect   // with callers
	Service      string         // of the own server, from whose instance the requests come
	Zone         string
	Usable       func(record member.Record) bool // whether configuration lets callers use a daemon; all when nil
	Unlist       func()                          // makes the other daemons stop listing this one; may be nil
	GracePeriod  time.Duration                   // accepting continues for this long after Unlist, as callers refresh their lists
	DrainTimeout time.Duration                   // bound on waiting for requests in flight; none when 0
	Log          logr.Logger

	MaxHeaderBytes int           // bytes, while no configuration is in force; DefaultMaxHeader when 0
	HeaderTimeout  time.Duration // the same; DefaultHeaderBound when 0
	MaxTimeout     time.Duration // DefaultMaxTimeout when 0

	once      sync.Once
	server    *http1.Server
	splits    splits
	stopping  atomic.Bool
	inFlight  atomic.Int64
	requests  atomic.Uint64
	failures  atomic.Uint64
	truncated atomic.Uint64
}

// Run serves until ctx ends and then stops without interrupting requests in flight.
func (f *Front) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- f.connections().Run() }()
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
	wait, cancel := context.WithCancel(context.Background())
	if f.DrainTimeout > 0 {
		wait, cancel = context.WithTimeout(context.Background(), f.DrainTimeout)
	}
	defer cancel()
	return f.connections().Shutdown(wait)
}

// DisableKeepAlives makes callers go elsewhere: each connection closes behind the requests that it has sent.
func (f *Front) DisableKeepAlives() {
	f.connections().DisableKeepAlives()
}

// Drain stops reading requests and waits for those in flight.
func (f *Front) Drain(ctx context.Context) error {
	f.stopping.Store(true)
	return f.connections().Shutdown(ctx)
}

func (f *Front) connections() *http1.Server {
	f.once.Do(func() {
		f.server = &http1.Server{Listener: f.Listener, Handler: f, Limits: f.bounds, Log: f.Log}
	})
	return f.server
}

func (f *Front) bounds() http1.Limits {
	bounds := http1.Limits{
		HeaderBytes: cmp.Or(f.MaxHeaderBytes, DefaultMaxHeaderBytes), HeaderTimeout: cmp.Or(f.HeaderTimeout, DefaultHeaderTimeout), IdleTimeout: idleBound,
	}
	if conf := f.inForce(); f.Routed && conf != nil {
		bounds = http1.Limits{
			HeaderBytes: conf.Callers.HeaderBytes, HeaderTimeout: conf.Callers.HeaderTimeout, IdleTimeout: conf.Callers.IdleTimeout,
		}
	}
	return bounds
}

func (f *Front) inForce() *config.Config {
	if f.Config == nil {
		return nil
	}
	return f.Config.Get()
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == DaemonsPath && !f.Routed {
		f.serveDaemons(w, r)
		return
	}
	f.requests.Add(1)
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	ask, err := f.request(w, r)
	if err != nil {
		f.fail(w, err)
		return
	}
	f.answer(w, r, ask)
}

func (f *Front) answer(w http.ResponseWriter, r *http.Request, ask *call.Request) {
	response, err := f.Forwarder.Do(r.Context(), ask)
	if err != nil {
		f.fail(w, err)
		return
	}
	defer response.Close()
	f.pass(w, r, response)
}

// request checks and translates a caller's request.
func (f *Front) request(w http.ResponseWriter, r *http.Request) (*call.Request, error) {
	ask := &call.Request{
		Method: r.Method, Host: r.Host, ContentLength: r.ContentLength, Key: r.Header.Get(headerKey),
	}
	if err := f.lead(r, ask); err != nil {
		return nil, err
	}
	if f.Dialect.RequestID != "" {
		ask.Name = r.Header.Get(f.Dialect.RequestID)
	}
	if text := r.Header.Get(f.Dialect.Timeout); text != "" {
		timeout, ok := f.Dialect.ParseTimeout(text)
		longest := cmp.Or(f.MaxTimeout, DefaultMaxTimeout)
		if !ok || timeout > longest {
			return nil, code.NotRunf(code.BadRequest, "%s %q: want a time above 0 and up to %v", f.Dialect.Timeout, text, longest)
		}
		ask.Timeout = timeout
	}
	if text := r.Header.Get(f.Dialect.Context); text != "" && f.Dialect.Context != "" {
		parent, err := ident.ParseCallContext(text)
		if err != nil {
			return nil, code.NotRunf(code.BadRequest, "%s is malformed", f.Dialect.Context).WithCause(err)
		}
		ask.Context = &parent
	}
	ask.Header = f.endToEnd(r.Header)
	f.body(w, r, ask)
	return ask, nil
}

// lead finds out where a request goes.
func (f *Front) lead(r *http.Request, ask *call.Request) error {
	if f.Routed {
		return f.follow(r, ask)
	}
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if service == "" {
		return code.NotRunf(code.UnknownService, "the path names no service: want /SERVICE/PATH")
	}
	ask.Service, ask.Target, ask.Path = service, "/"+rest, "/"+rest
	if _, path, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); ok {
		ask.Path = "/" + path // unescaped, as the patterns of the configuration are
	}
	if r.URL.RawQuery != "" {
		ask.Target += "?" + r.URL.RawQuery
	}
	return nil
}

// follow leads a request by the routes. Its target passes unchanged.
func (f *Front) follow(r *http.Request, ask *call.Request) error {
	conf := f.inForce()
	if conf == nil {
		return code.NotRunf(code.NoConfiguration, "no configuration is known yet")
	}
	route := conf.RouteFor(r.Host, r.URL.EscapedPath())
	if route == nil {
		return code.NotRunf(code.NoRoute, "no route leads %s%s", r.Host, r.URL.EscapedPath())
	}
	if r.ContentLength > conf.Callers.BodyBytes {
		return code.NotRunf(code.BodyTooLarge, "the body has %d bytes: at most %d", r.ContentLength, conf.Callers.BodyBytes)
	}
	ask.Route, ask.Service = route, f.splits.next(route)
	ask.Target, ask.Path = r.URL.RequestURI(), r.URL.Path
	return nil
}

// body prepares the streaming of a request body.
func (f *Front) body(w http.ResponseWriter, r *http.Request, ask *call.Request) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	ask.Body = r.Body
	ask.Abort = func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
	ask.WaitForAck = strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	if len(r.Trailer) > 0 {
		ask.Trailer = func() http.Header { return r.Trailer }
	}
}

// hopByHop are the headers that concern one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns the headers that concern the whole way of a request. Only a header that changes is copied.
func (f *Front) endToEnd(header http.Header) http.Header {
	if !f.changes(header) {
		return header
	}
	kept := header.Clone()
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	if f.Dialect.Context != "" {
		kept.Del(f.Dialect.Context) // taken over into the request before
	}
	if f.Dialect.Caller != "" {
		kept[f.Dialect.Caller] = []string{f.Service}
	}
	return kept
}

func (f *Front) changes(header http.Header) bool {
	for _, name := range hopByHop {
		if _, present := header[name]; present {
			return true
		}
	}
	_, present := header[f.Dialect.Context]
	return present || f.Dialect.Caller != ""
}

// Dump is the state of the front end.
type Dump struct {
	Stopping  bool
	InFlight  int64
	Requests  uint64
	Failures  uint64 // own responses
	Truncated uint64 // connections aborted because a response was truncated
}

// Dump returns the state for the state dump.
func (f *Front) Dump() any {
	return Dump{
		Stopping: f.stopping.Load(), InFlight: f.inFlight.Load(), Requests: f.requests.Load(),
		Failures: f.failures.Load(), Truncated: f.truncated.Load(),
	}
}

// listed returns the daemons that callers may use, own zone first.
func (f *Front) listed() []member.Record {
	var list []member.Record
	for _, r := range f.Members.All() {
		if r.State == member.Serving && r.Front != (netip.AddrPort{}) && (f.Usable == nil || f.Usable(r)) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if first, second := list[i].Zone == f.Zone, list[j].Zone == f.Zone; first != second {
			return first
		}
		return list[i].Front.Compare(list[j].Front) < 0
	})
	return list
}
