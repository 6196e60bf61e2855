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

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/route/choice"
)

const (
	// maxAttempts limits the attempts of a request, so that a single request cannot exhaust the budget of its service.
	maxAttempts = 4
	// backoffBase is about two round trips between zones, which is long enough for a new load report to arrive.
	backoffBase = 4 * time.Millisecond
	backoffMax  = 100 * time.Millisecond

	latencySamples  = 256 // number of recent answers from which the quantile is computed
	quantileRefresh = 64  // number of answers after which the quantile is recomputed
	hedgeQuantile   = 0.95
	// maxErrorShare is the recent share of errors above which hedging is suspended. Otherwise a failing or overloaded service, or
	// one that it calls, would get hedges in addition to the retries that are made closer to the failure.
	maxErrorShare = 0.1
	errorWeight   = 0.1
	// hedgeObjectiveShare is the share of a route's latency objective after which an answer is likely to miss the objective.
	hedgeObjectiveShare = 0.5
	minHedgeDelay       = time.Millisecond // shorter delays are within the jitter of the network
)

// run makes attempts until one is answered or no retry is allowed.
func (r *request) run(ctx context.Context) (*Response, error) {
	for {
		response, err := r.try(ctx)
		if err == nil {
			return response, nil
		}
		failure := code.Of(err)
		if !r.mayRetry(ctx, failure) {
			return nil, failure
		}
		if !isUnsent(failure) && !r.isFreeRetry(failure) && !r.backoff(ctx) {
			return nil, failure
		}
		r.c.counters.retries.Add(1)
	}
}

// mayRetry applies the retry rules. The budget is checked last, because the check takes a token.
func (r *request) mayRetry(ctx context.Context, failure *code.Error) bool {
	if ctx.Err() != nil || r.isLastRetry(failure) {
		return false
	}
	r.mu.Lock()
	attempts, uncertain, possibleRuns := r.attempts, r.uncertain, r.possibleRuns
	r.mu.Unlock()
	if attempts == 0 || attempts >= maxAttempts || possibleRuns >= r.maxServers {
		return false
	}
	// An attempt with an unknown outcome may be retried only if the request is idempotent, and only at the first level of a call
	// chain, because retries at several levels would multiply.
	if uncertain && (!r.idempotent || r.depth > 0) {
		return false
	}
	return r.body.rewind() && (isUnsent(failure) || r.isFreeRetry(failure) || r.budget.TakeRetry())
}

// isLastRetry reports whether a failure shows that another attempt is useless, or that the request is outranked.
func (r *request) isLastRetry(failure *code.Error) bool {
	r.mu.Lock()
	attempts := r.attempts
	r.mu.Unlock()
	return isFinal(failure.Code) || errors.Is(failure, choice.ErrFull) || r.isOutranked(failure, attempts)
}

// hasRetryLeft reports whether the request may be retried on another server after the attempt in progress, whose outcome is unknown.
func (r *request) hasRetryLeft() bool {
	r.mu.Lock()
	attempts, possibleRuns := r.attempts, r.possibleRuns
	r.mu.Unlock()
	return attempts < maxAttempts && possibleRuns+1 < r.maxServers && !r.body.overflowed.Load() && r.budget.HasRetry()
}

// isFreeRetry reports whether a retry needs neither budget nor backoff because the attempt was refused by a daemon that has no
// configuration yet, whose server is out of service because of a roll-out, or whose server reports its load. Such a refusal costs the
// server nothing, and the report that comes with it leads the next selection to a better server.
func (r *request) isFreeRetry(failure *code.Error) bool {
	if (failure.Code == code.NoConfiguration || failure.Code == code.OutOfService) && failure.Outcome == code.NotRun {
		return true
	}
	return r.service.ReportsLoad && failure.Outcome == code.NotRun && failure.Code != code.ServerShed && failure.Code != code.WrongServer
}

// isUnsent reports whether no byte of an attempt was sent. It has cost no server anything, so selecting another server does not
// count as a retry.
func isUnsent(failure *code.Error) bool {
	return failure.Code == code.PeerUnreachable && failure.Outcome == code.NotRun
}

// isFinal reports whether the failure would be the same at every server, so that a retry is useless.
func isFinal(c code.Code) bool {
	switch c {
	case code.BadRequest, code.UnknownService, code.DeadlineExceeded, code.BodyTooLarge, code.HeaderTooLarge,
		code.Cancelled, code.ResponseTruncated, code.NoServer, code.Unauthorized:
		return true
	default:
		return false
	}
}

// backoff waits before a retry. It reports false if the request ends during the wait.
func (r *request) backoff(ctx context.Context) bool {
	r.mu.Lock()
	attempts := r.attempts
	r.mu.Unlock()
	wait := min(backoffBase<<(attempts-1), backoffMax)
	return clock.Sleep(ctx, wait/2+rand.N(wait))
}

// try makes one attempt, and further ones beside it if the attempt is slow or may be lost and they are allowed.
func (r *request) try(ctx context.Context) (*Response, error) {
	first := r.newAttempt(ctx)
	if !r.mayRace() {
		response, err := first.run()
		if err != nil {
			r.recordFailure(code.Of(err))
		}
		return response, err
	}
	race := newRace(ctx, first)
	if delay, ok := r.hedgeDelay(); ok {
		timer := time.AfterFunc(delay, race.hedge)
		defer timer.Stop()
	}
	response, err := first.run()
	if err == nil {
		return response, nil
	}
	return race.await(err)
}

// hedgeDelay returns the delay after which a hedge is sent. It reports false for requests that are not hedged.
func (r *request) hedgeDelay() (time.Duration, bool) {
	if r.depth > 0 || !r.idempotent || r.service.HedgeShare == 0 || !r.latencySensitive() {
		return 0, false
	}
	if r.req.Method != http.MethodGet && r.req.Method != http.MethodHead || r.req.Body != nil {
		return 0, false
	}
	delay := r.latencies.quantile()
	if route := r.req.Route; route != nil {
		if byObjective := time.Duration(float64(route.Objective) * hedgeObjectiveShare); delay == 0 || byObjective < delay {
			delay = byObjective
		}
	}
	return max(delay, minHedgeDelay), delay > 0 && !r.latencies.suspended.Load()
}

// latencies holds the times to the response header of the recent latency-sensitive requests of a service.
type latencies struct {
	mu             sync.Mutex
	samples        [latencySamples]time.Duration
	count          int
	errorShare     float64      // moving average of errors among the answers, 0 to 1
	cachedQuantile atomic.Int64 // the quantile, or 0 before there are enough samples

	suspended atomic.Bool // hedging is suspended, because errorShare exceeds maxErrorShare
}

func (c *Client) latenciesOf(service string) *latencies {
	if found, ok := c.latencies.Load(service); ok {
		return found.(*latencies)
	}
	found, _ := c.latencies.LoadOrStore(service, &latencies{})
	return found.(*latencies)
}

// add records the time to an answer. The times of errors are not counted, because they do not predict those of other answers.
func (d *latencies) add(sample time.Duration, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.errorShare *= 1 - errorWeight
	if failed {
		d.errorShare += errorWeight
	}
	d.suspended.Store(d.errorShare > maxErrorShare)
	if failed {
		return
	}
	d.samples[d.count%latencySamples] = sample
	d.count++
	if d.count%quantileRefresh != 0 {
		return
	}
	sorted := d.samples
	known := sorted[:min(d.count, latencySamples)]
	slices.Sort(known)
	d.cachedQuantile.Store(int64(known[int(float64(len(known))*hedgeQuantile)]))
}

// quantile returns the hedgeQuantile of the times, or 0 if there are too few or hedging is suspended.
func (d *latencies) quantile() time.Duration {
	if d.suspended.Load() {
		return 0
	}
	return time.Duration(d.cachedQuantile.Load())
}
