// Package load is an open-loop load generator: requests start at their planned times whatever earlier ones do, and latency
// counts from the planned time, so that waiting in the generator is not hidden.
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Plan is what a run sends.
type Plan struct {
	Daemons  []netip.AddrPort // callers' addresses of daemons; requests go to them in turn
	Direct   []netip.AddrPort // servers that get the same requests without daemons; empty for none
	Servers  []netip.AddrPort // stand-in servers that are asked afterwards for requests that ran twice
	Rate     float64          // requests per second, over daemons and direct together
	Duration time.Duration
	Warmup   time.Duration // requests planned in this first part are sent but not counted
	Timeout  time.Duration // Request-Timeout of every request
	Seed     uint64
	InFlight int // requests in flight at most; a request above it is counted as dropped
	Kinds    []Kind
}

// Kind is one kind of request.
type Kind struct {
	Name           string
	Weight         int // share of the requests; above 0
	Method         string
	Service        string
	Path           string
	BodySize       int  // bytes of the body
	NonIdempotent  bool // must not run twice
	IdempotencyKey bool // carries an Idempotency-Key
}

// Run is one run of the load generator. Set the exported fields before Do.
type Run struct {
	Plan   Plan
	Client *http.Client
	Log    logr.Logger

	start     time.Time
	random    *rand.Rand
	pending   sync.WaitGroup
	inFlight  chan struct{}
	recorders []*recorder // one per worker shard, merged at the end
}

const recorderShards = 16

// plannedRequest is one planned request.
type plannedRequest struct {
	number  uint64
	kind    *Kind
	variant Variant
	planned time.Time
	counted bool
	address netip.AddrPort
}

// Do sends the planned requests and returns what came of them. It stops early when ctx ends.
func (r *Run) Do(ctx context.Context) (*Result, error) {
	r.prepare()
	last := r.Plan.Duration + r.Plan.Warmup
	at := time.Duration(0)
	for number := uint64(0); ; number++ {
		at += r.interarrival()
		if at >= last || !sleepUntil(ctx, r.start.Add(at)) {
			break
		}
		r.launch(ctx, r.plan(number, at))
	}
	r.pending.Wait()
	result := r.merge()
	return result, r.collectRepeated(ctx, result)
}

func (r *Run) prepare() {
	r.start = time.Now()
	r.random = rand.New(rand.NewPCG(r.Plan.Seed, r.Plan.Seed))
	r.inFlight = make(chan struct{}, r.Plan.InFlight)
	r.recorders = make([]*recorder, recorderShards)
	for i := range r.recorders {
		r.recorders[i] = newRecorder(r.Plan.Kinds)
	}
}

// interarrival is the time between arrivals: exponential, as from many independent callers.
func (r *Run) interarrival() time.Duration {
	return time.Duration(r.random.ExpFloat64() / r.Plan.Rate * float64(time.Second))
}

func (r *Run) plan(number uint64, at time.Duration) plannedRequest {
	planned := plannedRequest{number: number, kind: r.pickKind(), planned: r.start.Add(at), counted: at >= r.Plan.Warmup}
	addresses := r.Plan.Daemons
	if len(r.Plan.Direct) > 0 && number%2 == 1 {
		planned.variant = Direct
		addresses = r.Plan.Direct
	}
	planned.address = addresses[r.random.IntN(len(addresses))]
	return planned
}

func (r *Run) pickKind() *Kind {
	total := 0
	for i := range r.Plan.Kinds {
		total += r.Plan.Kinds[i].Weight
	}
	pick := r.random.IntN(total)
	for i := range r.Plan.Kinds {
		pick -= r.Plan.Kinds[i].Weight
		if pick < 0 {
			return &r.Plan.Kinds[i]
		}
	}
	return &r.Plan.Kinds[0]
}

func (r *Run) launch(ctx context.Context, planned plannedRequest) {
	shard := r.recorders[planned.number%recorderShards]
	select {
	case r.inFlight <- struct{}{}:
	default:
		shard.record(planned, Dropped, 0)
		return
	}
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		defer func() { <-r.inFlight }()
		outcome := r.send(ctx, planned)
		shard.record(planned, outcome, time.Since(planned.planned))
	}()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
