// Package gate is the admission role: the only path to its own server, which alone admits work to it.
package gate

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"golang.org/x/sync/semaphore"

	"marigoldwinch.example/marigoldwinch/internal/admit/ledger"
	"marigoldwinch.example/marigoldwinch/internal/admit/limit"
	"marigoldwinch.example/marigoldwinch/internal/admit/probe"
	"marigoldwinch.example/marigoldwinch/internal/admit/server"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// observeEvery is how soon a change of isolation or of the server's health reaches the queue. New work sees it at once.
const observeEvery = 100 * time.Millisecond

// Backend runs requests at the server. server.Client is the one of a daemon.
type Backend interface {
	// Do returns the response header, or an error with outcome NotRun when the server certainly did not run the request.
	Do(attempt *server.Attempt) (*http.Response, *code.Error)
	// Draining reports whether the server wants no new work.
	Draining() bool
}

// Instance is what the gate needs to know of a server that checks in. own.Server is the one of a daemon.
type Instance interface {
	// Identity is what the server must have to run a request.
	Identity() string
	// Refusing tells why the server gets no new work, or nil.
	Refusing() *code.Error
	// Take reports whether a request may be sent now and counts it as sent.
	Take(now time.Time) bool
	// Pace is the time that work takes at the server now, in percent of the usual.
	Pace() int
}

// Gate serves calls, resolves and probes for its own server. Its exported fields are set before Run.
type Gate struct {
	Config      *config.Holder
	Service     string
	Zone        string
	Address     netip.AddrPort // inner address of the daemon; operators name the server by it
	Incarnation ident.Incarnation
	Target      netip.AddrPort // of the server
	Server      Backend
	Instance    Instance     // nil when servers do not check in
	Dialect     hdrs.Dialect // with servers
	Limit       *limit.Limiter
	Ledger      *ledger.Ledger
	Probes      *probe.Budget
	Decisions   *logs.Sampler // may be nil
	Isolated    func() bool   // neither platform nor any peer heard from; nil means never
	Log         logr.Logger

	once     sync.Once
	host     string // Target as text
	stopping atomic.Bool
	running  atomic.Int64                // slots held; changes under mu
	queued   atomic.Int64                // length of queue; changes under mu
	arriving atomic.Int64                // calls whose bodies arrive; at most maxArriving
	arrivals *semaphore.Weighted         // of maxArriving; made by prepare
	calls    atomic.Int64                // admitted or queued calls, and those whose body may come, that have not ended; rises under mu
	failures [failureCodes]atomic.Uint64 // refused and failed calls by code

	// mu guards the slots and the queue, which change together. It is held for a few steps and never across I/O.
	mu        sync.Mutex
	byClass   [ident.Classes]int // slots held by class
	queue     order
	lastCheck time.Time     // when a check last asked for a slot
	idle      chan struct{} // closed when calls reaches 0; nil unless Drain waits
	standing  code.Code     // why all new work was refused when last observed
}

var _ proto.CallHandler = (*Gate)(nil)

// failureCodes is the length of the table of failures; a code added after the last one here is not counted.
const failureCodes = int(code.StaleTransit) + 1

// Dump is the state of a gate and its parts.
type Dump struct {
	Report   proto.Report
	Stopping bool
	Running  map[ident.Class]int
	Queue    []WaitingDump        // by class, then arrival
	Arriving int64                // bodies that are being collected
	Failures map[code.Code]uint64 // refused and failed calls
	Limit    any
	Ledger   any
	Probes   any
}

// WaitingDump is one entry of the queue.
type WaitingDump struct {
	ID       ident.AttemptID
	Class    ident.Class
	Arrived  time.Time
	Deadline time.Time
}

// prepare makes what follows from the exported fields.
func (g *Gate) prepare() {
	g.once.Do(func() {
		g.host = g.Target.String()
		g.arrivals = semaphore.NewWeighted(maxArriving)
	})
}

// Run refuses queued work when a standing reason appears, until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	g.Config.Subscribe(func(*config.Config) { g.observe() })
	ticker := time.NewTicker(observeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.observe()
			g.dispatch()
		}
	}
}

// Drain refuses new and queued work and waits until the admitted calls have ended, or until ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.stopping.Store(true)
	g.observe()
	g.mu.Lock()
	if g.calls.Load() == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle, left := g.idle, g.calls.Load()
	g.mu.Unlock()
	g.Log.Info("drain-waiting", "calls", left)
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Resolve implements proto.CallHandler. The connection named in ask is revoked before.
func (g *Gate) Resolve(_ context.Context, _ *proto.Peer, ask *proto.Resolve) (*proto.Resolution, error) {
	resolution := g.Ledger.Resolve(ask)
	resolution.Report = g.Report()
	return resolution, nil
}

// Probe implements proto.CallHandler.
func (g *Gate) Probe(_ context.Context, peer *proto.Peer, ask *proto.Probe) (*proto.ProbeReply, error) {
	within, next := g.Probes.Allow(peer.Hello.Incarnation)
	switch {
	case !within:
		return &proto.ProbeReply{Code: code.ProbeBudget, RetryAfter: next}, nil
	case ask.Service != g.Service:
		return &proto.ProbeReply{Code: code.WrongServer, RetryAfter: next}, nil
	}
	return &proto.ProbeReply{RetryAfter: next, Report: g.Report()}, nil
}

// Report returns the server's load by the gate's own counts.
func (g *Gate) Report() proto.Report {
	report := proto.Report{
		Server:   g.Address,
		InFlight: int(g.running.Load()),
		Queued:   int(g.queued.Load() + g.arriving.Load()),
		Limit:    g.Limit.Current(),
		Latency:  g.Limit.Latency(),
		Warming:  g.Limit.Warming(),
	}
	if g.Instance != nil {
		report.Pace = g.Instance.Pace()
	}
	if _, refused := g.refusing(); refused != nil {
		report.Refusing = refused.Code
	}
	return report
}

// Failures returns how many calls were refused or failed with a code since the start.
func (g *Gate) Failures(c code.Code) uint64 {
	return g.failures[c].Load()
}

func (g *Gate) count(c code.Code) {
	if int(c) < failureCodes {
		g.failures[c].Add(1)
	}
}

// Dump returns the state of the gate and its parts.
func (g *Gate) Dump() any {
	d := Dump{
		Report:   g.Report(),
		Stopping: g.stopping.Load(),
		Running:  make(map[ident.Class]int),
		Failures: make(map[code.Code]uint64),
		Arriving: g.arriving.Load(),
		Limit:    g.Limit.Dump(),
		Ledger:   g.Ledger.Dump(),
		Probes:   g.Probes.Dump(),
	}
	for c := range g.failures {
		if n := g.failures[c].Load(); n > 0 {
			d.Failures[code.Code(c)] = n
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for class, n := range g.byClass {
		d.Running[ident.Class(class)] = n
	}
	for _, waiting := range g.queue.waiting {
		for _, w := range waiting {
			d.Queue = append(d.Queue, WaitingDump{ID: w.id, Class: w.class, Arrived: w.arrived, Deadline: w.deadline})
		}
	}
	return d
}
