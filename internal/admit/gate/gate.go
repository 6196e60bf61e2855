// Package gate implements admission control for the backend server beside the daemon. All requests to that server pass the gate,
// which runs, queues or refuses them.
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
	"marigoldwinch.example/marigoldwinch/internal/admit/order"
	"marigoldwinch.example/marigoldwinch/internal/admit/probe"
	"marigoldwinch.example/marigoldwinch/internal/admit/server"
	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/base/recent"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// refreshInterval is the maximum delay until a change of isolation or of the server's health applies to queued calls. It applies to
// new calls at once.
const refreshInterval = 100 * time.Millisecond

// Backend runs requests at the backend server. The daemon uses server.Client.
type Backend interface {
	// Do returns the response header, or an error with outcome NotRun when the server certainly did not run the request.
	Do(attempt *server.Attempt) (*http.Response, *code.Error)
	// Draining reports whether the server is draining, so that it must get no new requests.
	Draining() bool
}

// Instance is the state of the running server instance, for services whose servers register with the daemon by check-ins.
type Instance interface {
	// Identity returns the instance id that the server must have to run a request.
	Identity() string
	// Refusing returns the reason why the instance gets no new requests, or nil.
	Refusing() *code.Error
	// Take reports whether the rate limit of the server allows a request now, and counts an allowed request as sent.
	Take(now time.Time) bool
	// Pace returns the current service time in percent of the usual one.
	Pace() int
}

// Gate serves calls, resolves and probes for the backend server beside the daemon. Its exported fields are set before Run.
type Gate struct {
	Config      *config.Holder
	Service     string
	Zone        string
	Address     netip.AddrPort // internal address of the daemon, by which operators identify the server
	Incarnation ident.Incarnation
	Target      netip.AddrPort // of the backend server
	Server      Backend
	Instance    Instance     // nil when the servers of the service do not check in
	Rollout     Rollout      // may be nil
	PollHealth  func()       // requests a health poll of the server, which tells its pace; does not block; may be nil
	Dialect     hdrs.Dialect // names and formats of the headers to and from the server
	Limit       *limit.Limiter
	Ledger      *ledger.Ledger
	Probes      *probe.Budget
	Decisions   *logs.Sampler // may be nil
	Isolated    func() bool   // reports that neither the platform nor any peer has been heard from; nil means never
	Log         logr.Logger

	once     sync.Once
	host     string // string form of Target
	stopping atomic.Bool
	stopTime atomic.Pointer[time.Time]   // when the daemon cuts running calls; nil unless it is stopping
	running  atomic.Int64                // slots in use; written under mu
	queued   atomic.Int64                // length of queue; written under mu
	floor    atomic.Int64                // Floor of Report; written under mu
	arriving atomic.Int64                // calls whose body is being buffered; at most maxArriving
	arrivals *semaphore.Weighted         // limits arriving to maxArriving; set by prepare
	calls    atomic.Int64                // unfinished calls that were admitted, queued or allowed to send a body; incremented under mu
	failures [failureCodes]atomic.Uint64 // refused and failed calls by code
	stages   [Stages][ident.Classes]stageCounts
	endings  endings
	times    [ident.Classes]recent.Times // from the arrival of a call to the end of its response, by class

	// mu guards the slots and the queue, which change together. It is held only briefly and never during I/O.
	mu        sync.Mutex
	byClass   [ident.Classes]int // slots in use by class
	queue     classQueue
	tempo     tempo
	lastCheck time.Time     // when a call of class Check last requested a slot
	idle      chan struct{} // closed when calls reaches 0; nil unless Drain is waiting
	precedence
	lastRefusing code.Code // reason why all new calls were refused at the last refreshRefusing
}

var _ proto.CallHandler = (*Gate)(nil)

// failureCodes is the length of Gate.failures. A code that is added after LowPrecedence is not counted until this is updated.
const failureCodes = int(code.LowPrecedence) + 1

// endings counts the non-idempotent calls whose stream ended while their request ran.
type endings struct {
	cancelled, lost atomic.Uint64
}

// EndingCounts are the counts of non-idempotent calls whose stream ended while their request ran.
type EndingCounts struct {
	Cancelled uint64 // by the router, because the caller has left or the deadline has passed
	Lost      uint64 // with the connection to the router
}

// Dump is the state of a gate and its components, for the state dump.
type Dump struct {
	Report   proto.Report
	Stopping bool
	Running  map[ident.Class]int
	Queue    []WaitingDump        // ordered by class, then by arrival
	Arriving int64                // calls whose body is being buffered
	Failures map[code.Code]uint64 // refused and failed calls by code
	Endings  EndingCounts
	Limit    any
	Ledger   any
	Probes   any

	RefusedByPriority [order.MaxPriorities]uint64 // calls refused by precedence
}

// WaitingDump describes a queued call in the state dump.
type WaitingDump struct {
	ID       ident.AttemptID
	Class    ident.Class
	Arrived  time.Time
	Deadline time.Time
	// Of calls that wait by precedence.
	Priority     int
	Nested       bool
	Objective    time.Time
	Organisation string
}

// prepare initializes, once, the fields that depend on exported ones.
func (g *Gate) prepare() {
	g.once.Do(func() {
		g.host = g.Target.String()
		g.arrivals = semaphore.NewWeighted(maxArriving)
	})
}

// Run refuses queued calls when all new calls are refused, and grants free slots to queued calls, until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	g.Config.Subscribe(func(*config.Config) { g.refreshRefusing() })
	clock.Every(ctx, refreshInterval, func(time.Time) {
		g.refreshRefusing()
		g.dispatch()
	})
	return nil
}

// Resolve implements proto.CallHandler. The connection named in resolve must have been revoked before.
func (g *Gate) Resolve(_ context.Context, _ *proto.Peer, resolve *proto.Resolve) (*proto.Resolution, error) {
	resolution := g.Ledger.Resolve(resolve)
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

// Report returns the load of the server as counted by the gate.
func (g *Gate) Report() proto.Report {
	report := proto.Report{
		Server:   g.Address,
		InFlight: int(g.running.Load()),
		Queued:   int(g.queued.Load() + g.arriving.Load()),
		Limit:    g.Limit.Current(),
		Latency:  g.Limit.Latency(),
		Warming:  g.Limit.Warming(),
		Floor:    int(g.floor.Load()),
	}
	if g.Instance != nil {
		report.Pace = g.Instance.Pace()
	}
	if _, refused := g.serviceOrRefusal(); refused != nil {
		report.Refusing = refused.Code
	}
	return report
}

// Failures returns the number of calls that were refused or failed with code c since the start.
func (g *Gate) Failures(c code.Code) uint64 {
	return g.failures[c].Load()
}

// Endings returns the counts of non-idempotent calls whose stream ended while their request ran, since the start.
func (g *Gate) Endings() EndingCounts {
	return EndingCounts{Cancelled: g.endings.cancelled.Load(), Lost: g.endings.lost.Load()}
}

func (g *Gate) count(c code.Code) {
	if int(c) < failureCodes {
		g.failures[c].Add(1)
	}
}

// Dump returns the state of the gate and its components.
func (g *Gate) Dump() any {
	d := Dump{
		Report:   g.Report(),
		Stopping: g.stopping.Load(),
		Running:  make(map[ident.Class]int),
		Failures: make(map[code.Code]uint64),
		Arriving: g.arriving.Load(),
		Endings:  g.Endings(),
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
	for _, r := range g.order.Waiting() {
		w := g.waiters[r]
		d.Queue = append(d.Queue, WaitingDump{
			ID: w.id, Class: w.class, Arrived: w.arrived, Deadline: w.deadline,
			Priority: r.Priority, Nested: r.Nested, Objective: r.Objective, Organisation: r.Organisation,
		})
	}
	d.RefusedByPriority = g.refused
	return d
}
