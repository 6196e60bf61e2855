// Package front serves callers over HTTP.
package front

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
)

// DaemonsPath lists the daemons that callers may use.
const DaemonsPath = "/.well-known/marigoldwinch/daemons"

// Defaults of the bounds on callers.
const (
	DefaultMaxHeader   = 32 << 10        // bytes of one request's headers
	DefaultHeaderBound = 5 * time.Second // for the headers of a request; a slower caller only holds a connection
	DefaultMaxTimeout  = time.Hour       // a longer Request-Timeout is a mistake
)

const idleBound = 90 * time.Second // callers keep connections for their next request

// Headers of requests and of own responses.
const (
	headerTimeout = "Request-Timeout"
	headerKey     = "Idempotency-Key"
	headerCode    = "Marigoldwinch-Code"
	headerOutcome = "Marigoldwinch-Outcome"
)

// Caller carries out requests; call.Caller implements it.
type Caller interface {
	Do(ctx context.Context, ask *call.Request) (*call.Response, error)
}

// Members lists the known daemons.
type Members interface {
	// All returns the records of all members in any order. The caller does not change them.
	All() []member.Record
}

// Front is the HTTP front end. It uses net/http without gin: the path is split at one separator, which needs no router.
type Front struct {
	Listener net.Listener
	Caller   Caller
	Members  Members
	Zone     string
	Usable   func(record member.Record) bool // whether configuration lets callers use a daemon; all when nil
	Unlist   func()                          // makes the other daemons stop listing this one; may be nil
	Grace    time.Duration                   // accepting continues for this long after Unlist, as callers refresh their lists
	Stop     time.Duration                   // bound on waiting for requests in flight; none when 0
	Log      logr.Logger

	MaxHeader   int           // bytes; DefaultMaxHeader when 0
	HeaderBound time.Duration // DefaultHeaderBound when 0
	MaxTimeout  time.Duration // DefaultMaxTimeout when 0

	stopping  atomic.Bool
	inFlight  atomic.Int64
	requests  atomic.Uint64
	failures  atomic.Uint64
	truncated atomic.Uint64
}

// Run serves until ctx ends and then stops without interrupting requests in flight.
func (f *Front) Run(ctx context.Context) error {
	server := &http.Server{
		Handler: f, IdleTimeout: idleBound,
		ReadHeaderTimeout: cmp.Or(f.HeaderBound, DefaultHeaderBound), MaxHeaderBytes: cmp.Or(f.MaxHeader, DefaultMaxHeader),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(f.Listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	f.stopping.Store(true)
	if f.Unlist != nil {
		f.Unlist()
	}
	f.Log.Info("front-stopping", "grace", f.Grace.String())
	time.Sleep(f.Grace)
	wait, cancel := context.WithCancel(context.Background())
	if f.Stop > 0 {
		wait, cancel = context.WithTimeout(context.Background(), f.Stop)
	}
	defer cancel()
	err := server.Shutdown(wait)
	if served := <-served; !errors.Is(served, http.ErrServerClosed) {
		return served
	}
	return err
}

// ServeHTTP serves one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == DaemonsPath {
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
	if rest, ok := ask.Body.(*callerBody); ok && !rest.ended.Load() {
		rest.discard(w)
	}
}

func (f *Front) answer(w http.ResponseWriter, r *http.Request, ask *call.Request) {
	response, err := f.Caller.Do(r.Context(), ask)
	if err != nil {
		f.fail(w, err)
		return
	}
	defer response.Close()
	f.pass(w, r, response)
}

// maxDiscard is what net/http itself reads of a rest; the connection does not serve another request after a longer one.
const maxDiscard = 256 << 10

// callerBody is a caller's body that the handler can take over from the attempt that reads it.
type callerBody struct {
	io.ReadCloser
	turn  chan struct{} // held by a read in progress
	taken atomic.Bool   // by the handler
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	if b.taken.Load() {
		return 0, io.ErrClosedPipe
	}
	return b.read(p)
}

func (b *callerBody) read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// discard reads the rest of a body that no attempt has read. In full duplex, net/http reads it only after the handler and
// then fails to read the next request, so that the caller would lose its connection.
func (b *callerBody) discard(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush() // the caller may wait for the response before it sends the rest
	b.taken.Store(true)
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	rest := make([]byte, maxDiscard/8)
	for read := 0; read < maxDiscard && !b.ended.Load(); {
		n, _ := b.read(rest)
		read += n
	}
}

// request checks and translates a caller's request.
func (f *Front) request(w http.ResponseWriter, r *http.Request) (*call.Request, error) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	if service == "" {
		return nil, code.NotRunf(code.UnknownService, "the path names no service: want /SERVICE/PATH")
	}
	ask := &call.Request{
		Service: service, Method: r.Method, Target: "/" + rest, Path: "/" + rest, Host: r.Host,
		Header: endToEnd(r.Header), ContentLength: r.ContentLength, Key: r.Header.Get(headerKey),
	}
	if _, path, ok := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); ok {
		ask.Path = "/" + path // unescaped, as the patterns of the configuration are
	}
	if r.URL.RawQuery != "" {
		ask.Target += "?" + r.URL.RawQuery
	}
	if text := r.Header.Get(headerTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		longest := cmp.Or(f.MaxTimeout, DefaultMaxTimeout)
		if err != nil || timeout <= 0 || timeout > longest {
			return nil, code.NotRunf(code.BadRequest, "%s %q: want a duration above 0 and up to %v", headerTimeout, text, longest)
		}
		ask.Timeout = timeout
	}
	if text := r.Header.Get(ident.ContextHeader); text != "" {
		parent, err := ident.ParseCallContext(text)
		if err != nil {
			return nil, code.NotRunf(code.BadRequest, "%s is malformed", ident.ContextHeader).WithCause(err)
		}
		ask.Context = &parent
	}
	f.body(w, r, ask)
	return ask, nil
}

// body prepares the streaming of a request body. Without full duplex, net/http would read the rest of the body before it
// sends a response that comes early.
func (f *Front) body(w http.ResponseWriter, r *http.Request, ask *call.Request) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex() // HTTP/2 is always full duplex
	ask.Body = &callerBody{ReadCloser: r.Body, turn: make(chan struct{}, 1)}
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

// endToEnd returns the headers that concern the whole way of a request. Only a header with names to leave out is copied.
func endToEnd(header http.Header) http.Header {
	if !concernsConnection(header) {
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
	kept.Del(ident.ContextHeader) // taken over into the request before
	return kept
}

func concernsConnection(header http.Header) bool {
	for _, name := range hopByHop {
		if _, present := header[name]; present {
			return true
		}
	}
	_, present := header[ident.ContextHeader]
	return present
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
