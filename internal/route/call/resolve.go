package call

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	resolveEvery = time.Second // while the server runs the request; each resolve opens a connection
	// A request with a short deadline is checked sooner, so that time is left for another attempt.
	quietShare   = 4
	minQuiet     = 100 * time.Millisecond
	resolveBound = 500 * time.Millisecond
	resolveRetry = 100 * time.Millisecond
	// maxResolveTries is the number of failures in a row after which the daemon is taken to be gone or paused.
	maxResolveTries = 3
	// settleWait is the time for an answer on its way when a resolve no longer finds the request running.
	settleWait = 100 * time.Millisecond
	// noConn in a resolve leaves the connection of the attempt alone. Connection numbers start at 1.
	noConn = 0
)

// broken finds out what became of an attempt whose stream has failed.
func (a *attempt) broken(cause error) (*proto.Answer, error) {
	failure := code.Of(cause)
	if ended := a.ended(failure); ended != failure {
		return nil, ended
	}
	found := a.settled.Load()
	if found == nil {
		conn := a.stream.Conn()
		var err error
		if found, err = a.resolve(conn); err != nil {
			return nil, err
		}
	}
	return a.follow(found)
}

// follow turns the result of a resolve into an answer or a failure.
func (a *attempt) follow(found *proto.Resolution) (*proto.Answer, error) {
	a.r.pool.AddReport(found.Report)
	switch {
	case found.State == proto.StateRevoked && !a.isAcked():
		a.r.c.counters.revoked.Add(1)
		return nil, code.NotRunf(code.Revoked, "the connection was silent and the request was revoked")
	case found.State == proto.StateFinished && found.Answer != nil:
		go a.confirm()
		return found.Answer, nil
	case found.State == proto.StateFinished && found.Failure != nil:
		return nil, a.foundFailure(found.Failure)
	default:
		// An acked attempt that is revoked contradicts its ack, so it proves nothing.
		return nil, code.Unknownf(code.OutcomeUnknown, "the connection failed and the server's daemon does not know the outcome")
	}
}

// foundFailure is a failure that a resolve found. Admission sees a lost connection as a cancellation; this caller has not
// gone, so the request may be repeated by the rules of a lost connection.
func (a *attempt) foundFailure(found *proto.Failure) *code.Error {
	failure := &code.Error{Code: found.Code, Outcome: found.Outcome, Detail: found.Detail}
	if found.Code != code.Cancelled {
		return failure
	}
	failure.Code = code.OutcomeUnknown
	if found.Outcome == code.NotRun {
		failure.Code = code.Revoked
	}
	return failure
}

// resolve asks until the request is no longer running, or its answer is lost in any case. For a request that may not run again it
// goes on while the daemon's reports arrive: on a busy link, questions and replies are late.
func (a *attempt) resolve(conn uint64) (*proto.Resolution, error) {
	failures := 0
	for {
		found, err := a.askResolve(conn)
		wait := resolveEvery
		switch {
		case err != nil:
			failures++
			if failures >= a.resolveTries() && (a.r.idempotent || !a.r.pool.HasRecentReport(a.sent.Server)) {
				return nil, code.Unknownf(code.PeerUnreachable, "the connection failed and resolve got no reply").WithCause(err)
			}
			wait = resolveRetry
		case found.State != proto.StateRunning:
			return found, nil
		case a.r.idempotent:
			// Only answers to non-idempotent requests are held, so that this one's is lost with its connection.
			return nil, code.Unknownf(code.OutcomeUnknown, "the connection failed while the request ran")
		default:
			failures = 0
		}
		if !sleep(a.ctx, wait) {
			return nil, a.ended(code.Unknownf(code.OutcomeUnknown, "the request ended while its outcome was asked for"))
		}
	}
}

func (a *attempt) askResolve(conn uint64) (*proto.Resolution, error) {
	a.r.c.counters.resolves.Add(1)
	ctx, cancel := context.WithTimeout(a.ctx, min(resolveBound, max(minQuiet, time.Until(a.r.deadline)/quietShare)))
	defer cancel()
	found, err := a.r.c.Transport.Resolve(ctx, a.sent.Server, &proto.Resolve{
		ID: a.id, Conn: conn, Incarnation: a.stream.Incarnation(), Elapsed: time.Since(a.began),
	})
	switch {
	case err == nil:
		a.r.c.Choice.MarkReachable(a.r.ask.Service, a.sent.Server)
	case a.ctx.Err() == nil:
		a.r.c.Choice.MarkUnreachable(a.r.ask.Service, a.sent.Server)
	}
	return found, err
}

// confirm tells admission that a held response has arrived.
func (a *attempt) confirm() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), resolveBound)
	defer cancel()
	// An unconfirmed response is forgotten after its time.
	_, _ = a.r.c.Transport.Resolve(ctx, a.sent.Server, &proto.Resolve{
		ID: a.id, Conn: noConn, Incarnation: a.stream.Incarnation(), Elapsed: time.Since(a.began), Done: true,
	})
}

// resolveTries is lower for a request that may run again: another attempt helps its caller more than certainty.
func (a *attempt) resolveTries() int {
	if a.r.idempotent && a.r.depth == 0 {
		return 1
	}
	return maxResolveTries
}

// quietBound is how long a stream may stay quiet before it is checked.
func (a *attempt) quietBound() time.Duration {
	return min(resolveEvery, max(minQuiet, a.r.deadline.Sub(a.began)/quietShare))
}

// watch starts the checks of a stream that stays quiet after the ack.
func (a *attempt) watch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.over {
		a.stall = time.AfterFunc(a.quietBound(), func() { a.check(0) })
	}
}

// check resolves a quiet attempt, on the connection's own number only when the stream has failed: naming a connection
// closes it at the other side.
func (a *attempt) check(failures int) {
	bound := a.quietBound()
	last := a.last.Load()
	if quiet := time.Since(a.began) - time.Duration(last); quiet < bound {
		a.checkAgain(bound-quiet, 0)
		return
	}
	found, err := a.askResolve(noConn)
	if err == nil && found.State == proto.StateRunning {
		a.checkAgain(bound, 0)
		return
	}
	tries := a.resolveTries()
	if a.r.pool.HasRecentReport(a.sent.Server) {
		tries = maxResolveTries // the daemon lives, so that the question may just be late on a busy link
	}
	if err != nil && failures+1 < tries {
		a.checkAgain(bound, failures+1)
		return
	}
	if !sleep(a.ctx, settleWait) {
		return
	}
	if a.last.Load() != last {
		a.checkAgain(bound, 0)
		return
	}
	if err != nil {
		found = &proto.Resolution{State: proto.StateUnknown}
	}
	a.settled.Store(found)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.over {
		a.r.c.counters.silent.Add(1)
		a.stream.CloseSilent()
	}
}

func (a *attempt) checkAgain(wait time.Duration, failures int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.over {
		a.stall = time.AfterFunc(wait, func() { a.check(failures) })
	}
}
