package call

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// errLost is the error of an attempt that is cancelled because another attempt of its race was answered first.
var errLost = errors.New("another attempt answered first")

// race holds the concurrent attempts of a request. The first to receive an answer wins.
type race struct {
	r       *request
	ctx     context.Context // of the request
	winner  atomic.Pointer[attempt]
	results chan raceResult // of all attempts but the first; has room for each of them

	mu       sync.Mutex
	attempts []*attempt
	running  int // attempts that have not failed; no attempt joins when it is 0
}

type raceResult struct {
	response *Response
	err      error
	hedge    bool
}

// mayRace reports whether attempts of the request may run concurrently. A body is read by one attempt at a time.
func (r *request) mayRace() bool {
	return r.idempotent && r.depth == 0 && r.req.Body == nil
}

func newRace(ctx context.Context, first *attempt) *race {
	race := &race{
		r: first.r, ctx: ctx, results: make(chan raceResult, maxAttempts), attempts: []*attempt{first}, running: 1,
	}
	first.race = race
	return race
}

// hedge makes another attempt because the answer is late.
func (race *race) hedge() {
	race.join(nil, func() bool {
		granted := race.r.budget.TakeHedge()
		if granted {
			race.r.c.counters.hedges.Add(1)
		}
		return granted
	})
}

// retry makes another attempt because a previous one, late, may be lost. That one goes on, since its answer may only be late. It reports
// false if no other attempt is allowed now.
func (race *race) retry(late *attempt) bool {
	return race.join(late, func() bool {
		granted := race.r.budget.TakeRetry()
		if granted {
			race.r.c.counters.retries.Add(1)
		}
		return granted
	})
}

// join starts another attempt and reports true, unless the race has ended or the request may not run on another server. late is the
// attempt that it is a retry of, nil for a hedge. grant is asked last, because it takes a token of a budget.
func (race *race) join(late *attempt, grant func() bool) bool {
	race.mu.Lock()
	defer race.mu.Unlock()
	if race.running == 0 || race.winner.Load() != nil || !race.r.mayRunBeside(race.running) || !grant() {
		return false
	}
	a := race.r.newAttempt(race.ctx)
	a.race = race
	race.attempts = append(race.attempts, a)
	race.running++
	go race.runBeside(a, late)
	return true
}

// runBeside runs an attempt beside others. If it fails, late may be retried once more.
func (race *race) runBeside(a, late *attempt) {
	response, err := a.run()
	if err != nil {
		race.failed(err)
		if late != nil && !race.r.isLastRetry(code.Of(err)) {
			late.retried.Store(false)
		}
	}
	race.results <- raceResult{response: response, err: err, hedge: late == nil}
}

// failed records the failure of an attempt before another one may join: its server may have run the request.
func (race *race) failed(err error) {
	race.mu.Lock()
	defer race.mu.Unlock()
	if !errors.Is(err, errLost) {
		race.r.recordFailure(code.Of(err))
	}
	race.running--
}

// made returns the number of attempts of the race.
func (race *race) made() int {
	race.mu.Lock()
	defer race.mu.Unlock()
	return len(race.attempts)
}

// mayRunBeside reports whether the request may run on one more server beside its running attempts.
func (r *request) mayRunBeside(running int) bool {
	r.mu.Lock()
	attempts, possibleRuns := r.attempts, r.possibleRuns
	r.mu.Unlock()
	return attempts < maxAttempts && possibleRuns+running < r.maxServers && len(r.c.Choice.Servers(r.req.Service)) > 1
}

// await waits, after the first attempt has failed, until another one is answered or all have failed. It returns the failure of the first
// one then.
func (race *race) await(first error) (*Response, error) {
	race.failed(first)
	for ended := 1; ended < race.made(); ended++ {
		result := <-race.results // an attempt ends with the context of the request at the latest
		if result.err != nil {
			continue
		}
		if result.hedge {
			race.r.c.counters.hedgesWon.Add(1)
		}
		return result.response, nil
	}
	return nil, first
}

// win reports whether a is the first attempt to be answered. If so, it cancels the others.
func (race *race) win(a *attempt) bool {
	if !race.winner.CompareAndSwap(nil, a) {
		return false
	}
	race.mu.Lock()
	defer race.mu.Unlock()
	for _, other := range race.attempts {
		if other != a {
			other.cancel()
		}
	}
	return true
}
