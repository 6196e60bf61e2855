// Package load is an open-loop load generator: each request starts at its planned time, whether or not earlier requests have
// finished. Latency is measured from the planned time, so that time spent waiting in the generator is included.
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

// Plan describes the requests of a run.
type Plan struct {
	Daemons  []netip.AddrPort // callers' addresses of daemons; each request goes to a random one
	Direct   []netip.AddrPort // servers that every other request goes to without a daemon; empty for none
	Servers  []netip.AddrPort // stand-in servers to query after the run for requests that ran more than once
	Rate     float64          // requests per second, including the direct ones
	Duration time.Duration
	Warmup   time.Duration // requests planned within this time from the start are sent but not counted
	Timeout  time.Duration // Request-Timeout of every request
	Seed     uint64
	InFlight int // limit of requests in flight; a request above it is not sent and counts as dropped
	Kinds    []Kind
}

// Kind is a kind of request.
type Kind struct {
	Name           string
	Weight         int // relative share of the requests; above 0
	Method         string
	Service        string
	Path           string
	Body           int  // size in bytes
	Once           bool // must not run more than once
	IdempotencyKey bool // send an Idempotency-Key header
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
	recorders []*recorder // a request's number selects one, to spread contention; merged at the end
}

const recorderCount = 16

type plannedRequest struct {
	number  uint64
	kind    *Kind
	variant Variant
	start   time.Time
	counted bool
	address netip.AddrPort
}

// Do sends the planned requests and returns their outcomes and latencies. It stops early when ctx ends.
func (r *Run) Do(ctx context.Context) (*Result, error) {
	r.prepare()
	last := r.Plan.Duration + r.Plan.Warmup
	at := time.Duration(0)
	for number := uint64(0); ; number++ {
		at += r.interarrival()
		if at >= last || !sleepUntil(ctx, r.start.Add(at)) {
			break
		}
		r.launch(ctx, r.planRequest(number, at))
	}
	r.pending.Wait()
	result := r.mergeRecorders()
	return result, r.collectRepeated(ctx, result)
}

func (r *Run) prepare() {
	r.start = time.Now()
	r.random = rand.New(rand.NewPCG(r.Plan.Seed, r.Plan.Seed))
	r.inFlight = make(chan struct{}, r.Plan.InFlight)
	r.recorders = make([]*recorder, recorderCount)
	for i := range r.recorders {
		r.recorders[i] = newRecorder(r.Plan.Kinds)
	}
}

// interarrival returns the time until the next request: exponentially distributed, as with many independent callers.
func (r *Run) interarrival() time.Duration {
	return time.Duration(r.random.ExpFloat64() / r.Plan.Rate * float64(time.Second))
}

func (r *Run) planRequest(number uint64, at time.Duration) plannedRequest {
	planned := plannedRequest{number: number, kind: r.pickKind(), start: r.start.Add(at), counted: at >= r.Plan.Warmup}
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
	rec := r.recorders[planned.number%recorderCount]
	select {
	case r.inFlight <- struct{}{}:
	default:
		rec.record(planned, Dropped, 0)
		return
	}
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		defer func() { <-r.inFlight }()
		outcome := r.send(ctx, planned)
		rec.record(planned, outcome, time.Since(planned.start))
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
