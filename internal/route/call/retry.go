package call

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
)

const (
	// maxAttempts bounds one request, so that a single one cannot use up the budget of its service.
	maxAttempts = 4
	// backoffBase is about two round trips between zones: long enough for a new load report.
	backoffBase = 4 * time.Millisecond
	backoffMax  = 100 * time.Millisecond

	delaySamples  = 256 // of the latest answers
	delayRefresh  = 64  // answers between two computations of the quantile
	delayQuantile = 0.95
	// errorShare is the recent share of errors above which hedging is suspended. A failing or overloaded service, or one
	// behind it, would get hedges on top of the retries nearer to the failure.
	errorShare  = 0.1
	errorWeight = 0.1
	// hedgeObjective is the part of a route's objective after which an answer is likely to come too late.
	hedgeObjective = 0.5
	minHedgeDelay  = time.Millisecond // a lower p95 is within the noise of the network
)

// errLost ends an attempt after the other attempt of its race has answered.
var errLost = errors.New("the other attempt answered first")

// run makes attempts until one is answered or may not be repeated.
func (r *request) run(ctx context.Context) (*Response, error) {
	for {
		response, err := r.try(ctx)
		if err == nil {
			return response, nil
		}
		failure := code.Of(err)
		r.note(failure)
		if !r.mayRetry(ctx, failure) {
			return nil, failure
		}
		if !isUnsent(failure) && !r.isFree(failure) && !r.backoff(ctx) {
			return nil, failure
		}
		r.c.counters.retries.Add(1)
	}
}

// mayRetry applies the retry rules. The budget is asked last, because asking spends it.
func (r *request) mayRetry(ctx context.Context, failure *code.Error) bool {
	if ctx.Err() != nil || isFinal(failure.Code) || errors.Is(failure, choice.ErrFull) {
		return false
	}
	r.mu.Lock()
	attempts, unsure, ran := r.attempts, r.unsure, r.ran
	r.mu.Unlock()
	if attempts == 0 || attempts >= maxAttempts || ran >= r.servers {
		return false
	}
	// A run of unknown outcome may be repeated only when a second run does no harm, and only at the first level of a
	// call chain, or the levels would multiply their attempts.
	if unsure && (!r.idempotent || r.depth > 0) {
		return false
	}
	return r.body.rewind() && (isUnsent(failure) || r.isFree(failure) || r.budget.TakeRetry())
}

// isFree reports whether an attempt was refused by a daemon that has no configuration yet, or by that of a server that tells its
// load. The refusal has cost the server nothing, and it names a better place by its report.
func (r *request) isFree(failure *code.Error) bool {
	if failure.Code == code.NoConfiguration && failure.Outcome == code.NotRun {
		return true
	}
	return r.service.ReportsLoad && failure.Outcome == code.NotRun && failure.Code != code.ServerShed && failure.Code != code.WrongServer
}

// isUnsent reports whether no byte of an attempt left. It has cost no server anything, so that another selection is not a
// retry.
func isUnsent(failure *code.Error) bool {
	return failure.Code == code.PeerUnreachable && failure.Outcome == code.NotRun
}

// isFinal reports whether every server would answer the same.
func isFinal(c code.Code) bool {
	switch c {
	case code.BadRequest, code.UnknownService, code.DeadlineExceeded, code.BodyTooLarge, code.HeaderTooLarge,
		code.Cancelled, code.ResponseTruncated, code.NoServer:
		return true
	default:
		return false
	}
}

// backoff waits before a retry. It reports false when the request ends first.
func (r *request) backoff(ctx context.Context) bool {
	r.mu.Lock()
	attempts := r.attempts
	r.mu.Unlock()
	wait := min(backoffBase<<(attempts-1), backoffMax)
	return sleep(ctx, wait/2+rand.N(wait))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// try makes one attempt, and a hedge when the attempt is slow and may be hedged.
func (r *request) try(ctx context.Context) (*Response, error) {
	first := r.newAttempt(ctx)
	delay, ok := r.hedgeDelay()
	if !ok {
		return first.run()
	}
	race := &race{done: make(chan raced, 1)}
	first.race = race
	race.entered = append(race.entered, first)
	timer := time.AfterFunc(delay, func() { r.hedge(ctx, race) })
	response, err := first.run()
	if timer.Stop() || err == nil {
		return response, err
	}
	second := <-race.done // the attempt ends with ctx at the latest
	if second.err == nil {
		r.c.counters.hedgesWon.Add(1)
		return second.response, nil
	}
	if failure := code.Of(second.err); !errors.Is(second.err, errLost) {
		r.note(failure)
	}
	return nil, err
}

// hedgeDelay returns when to send a second attempt. It reports false for requests that are not hedged.
func (r *request) hedgeDelay() (time.Duration, bool) {
	if r.depth > 0 || !r.idempotent || r.service.HedgeShare == 0 || !r.timed() {
		return 0, false
	}
	if r.ask.Method != http.MethodGet && r.ask.Method != http.MethodHead || r.ask.Body != nil {
		return 0, false
	}
	delay := r.delays.quantile()
	if route := r.ask.Route; route != nil {
		if soon := time.Duration(float64(route.Objective) * hedgeObjective); delay == 0 || soon < delay {
			delay = soon
		}
	}
	return max(delay, minHedgeDelay), delay > 0 && !r.delays.suspended.Load()
}

// race is a first attempt and its hedge. The first to receive an answer wins.
type race struct {
	winner atomic.Pointer[attempt]
	done   chan raced // the hedge's result, exactly one

	mu      sync.Mutex
	entered []*attempt
}

type raced struct {
	response *Response
	err      error
}

// hedge makes the second attempt. It runs in the goroutine of the timer.
func (r *request) hedge(ctx context.Context, race *race) {
	r.mu.Lock()
	ran := r.ran
	r.mu.Unlock()
	if ran+2 > r.servers || race.winner.Load() != nil || len(r.c.Choice.Servers(r.ask.Service)) < 2 || !r.budget.TakeHedge() {
		race.done <- raced{err: errLost}
		return
	}
	r.c.counters.hedges.Add(1)
	a := r.newAttempt(ctx)
	a.race = race
	race.mu.Lock()
	race.entered = append(race.entered, a)
	race.mu.Unlock()
	if race.winner.Load() != nil {
		a.cancel()
	}
	response, err := a.run()
	race.done <- raced{response: response, err: err}
}

// win reports whether a is the first to be answered, and cancels the other attempt when it is.
func (race *race) win(a *attempt) bool {
	if !race.winner.CompareAndSwap(nil, a) {
		return false
	}
	race.mu.Lock()
	defer race.mu.Unlock()
	for _, other := range race.entered {
		if other != a {
			other.cancel()
		}
	}
	return true
}

// delays keeps the times to the answer of a service's latest hedgeable requests.
type delays struct {
	mu      sync.Mutex
	samples [delaySamples]time.Duration
	count   int
	errors  float64      // recent share of errors among the answers
	current atomic.Int64 // the quantile, or 0 before there are enough samples

	suspended atomic.Bool // by errors
}

func (c *Client) delaysOf(service string) *delays {
	if found, ok := c.delays.Load(service); ok {
		return found.(*delays)
	}
	found, _ := c.delays.LoadOrStore(service, &delays{})
	return found.(*delays)
}

// add takes in the time to an answer. The times of errors say nothing about those of other answers.
func (d *delays) add(sample time.Duration, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.errors *= 1 - errorWeight
	if failed {
		d.errors += errorWeight
	}
	d.suspended.Store(d.errors > errorShare)
	if failed {
		return
	}
	d.samples[d.count%delaySamples] = sample
	d.count++
	if d.count%delayRefresh != 0 {
		return
	}
	sorted := d.samples
	known := sorted[:min(d.count, delaySamples)]
	slices.Sort(known)
	d.current.Store(int64(known[int(float64(len(known))*delayQuantile)]))
}

// quantile is the time after which to hedge, or 0 for not at all.
func (d *delays) quantile() time.Duration {
	if d.suspended.Load() {
		return 0
	}
	return time.Duration(d.current.Load())
}
