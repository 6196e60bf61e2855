package call

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	resolveInterval = time.Second // between resolves while the server runs the request; each of them opens a connection
	// stallDivisor limits the time before a stream is checked to this part of the request's time, so that a request with a short
	// deadline has time left for another attempt.
	stallDivisor      = 4
	minStall          = 100 * time.Millisecond
	resolveTimeout    = 500 * time.Millisecond
	resolveRetryDelay = 100 * time.Millisecond
	// maxResolveTries is the number of consecutive failures after which the daemon is considered gone or paused.
	maxResolveTries = 3
	// answerGrace is how long to wait for an answer in transit after a resolve no longer finds the request running.
	answerGrace = 100 * time.Millisecond
	// unheldAnswerGrace is the same for an answer of which admission holds no copy. It covers retransmissions on a busy link.
	unheldAnswerGrace = time.Second
	// noConn in a resolve keeps the connection of the attempt open. Connection numbers start at 1.
	noConn = 0
)

// resolveFailure determines the outcome of an attempt whose stream has failed.
func (a *attempt) resolveFailure(cause error) (*proto.Answer, error) {
	failure := code.Of(cause)
	if contextFailure := a.contextFailure(failure); contextFailure != failure {
		return nil, contextFailure
	}
	found := a.stallResolution.Load()
	if found == nil {
		conn := a.stream.Conn()
		var err error
		if found, err = a.awaitResolution(conn); err != nil {
			a.cancelRun()
			return nil, err
		}
	}
	return a.applyResolution(found)
}

// applyResolution converts the result of a resolve to an answer or a failure.
func (a *attempt) applyResolution(found *proto.Resolution) (*proto.Answer, error) {
	a.r.pool.AddReport(found.Report)
	switch {
	case found.State == proto.StateRevoked && !a.isAcked():
		a.r.c.counters.revoked.Add(1)
		return nil, code.NotRunf(code.Revoked, "the connection was silent and the request was revoked before it ran")
	case found.State == proto.StateFinished && found.Answer != nil:
		go a.sendDone()
		return found.Answer, nil
	case found.State == proto.StateFinished && found.Failure != nil:
		return nil, a.resolvedFailure(found.Failure)
	default:
		// A revocation after an ack contradicts the ack, so it proves nothing.
		return nil, code.Unknownf(code.OutcomeUnknown, "the connection failed and the server's daemon does not know the outcome")
	}
}

// resolvedFailure converts a failure that was found by a resolve. Admission treats a lost connection as a cancellation. Here the
// caller is still waiting, so the request may be retried by the rules for a lost connection.
func (a *attempt) resolvedFailure(found *proto.Failure) *code.Error {
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

// awaitResolution sends resolves until the request is no longer running or its answer is certainly lost. For a non-idempotent
// request it continues as long as the daemon tells its load, because resolves and replies may be delayed on a busy link.
func (a *attempt) awaitResolution(conn uint64) (*proto.Resolution, error) {
	failures := 0
	for {
		found, err := a.sendResolve(conn)
		wait := resolveInterval
		switch {
		case err != nil:
			failures++
			if failures >= a.resolveTries() && (a.r.idempotent || !a.r.pool.IsAlive(a.ctx, a.sent.Server)) {
				return nil, code.Unknownf(code.PeerUnreachable, "the connection failed and the daemon did not reply to resolve").WithCause(err)
			}
			wait = resolveRetryDelay
		case found.State != proto.StateRunning:
			return found, nil
		case a.r.idempotent:
			// Only answers to non-idempotent requests are held, so this one is lost with its connection.
			return nil, code.Unknownf(code.OutcomeUnknown, "the connection failed while the request ran")
		default:
			failures = 0
		}
		if !clock.Sleep(a.ctx, wait) {
			return nil, a.contextFailure(code.Unknownf(code.OutcomeUnknown, "the request ended before its outcome was resolved"))
		}
	}
}

// sendResolve asks the server's daemon for the state of the attempt. If conn is not noConn, the daemon closes that connection.
func (a *attempt) sendResolve(conn uint64) (*proto.Resolution, error) {
	a.r.c.counters.resolves.Add(1)
	ctx, cancel := context.WithTimeout(a.ctx, min(resolveTimeout, max(minStall, time.Until(a.r.deadline)/stallDivisor)))
	defer cancel()
	found, err := a.r.c.Transport.Resolve(ctx, a.sent.Server, &proto.Resolve{
		ID: a.id, Conn: conn, Incarnation: a.stream.Incarnation(), Elapsed: time.Since(a.began),
	})
	switch {
	case err == nil:
		a.r.c.Choice.MarkReachable(a.r.req.Service, a.sent.Server)
	case a.ctx.Err() == nil && !isUnasked(err):
		a.r.c.Choice.MarkUnreachable(a.r.req.Service, a.sent.Server)
	}
	return found, err
}

// cancelRun cancels the run of a non-idempotent request whose connection is lost and whose caller has left. Admission would otherwise
// let it go on for the sake of the caller.
func (a *attempt) cancelRun() {
	if !a.r.idempotent && a.ctx.Err() != nil && time.Now().Before(a.r.deadline) {
		go a.sendDone()
	}
}

// leavesUnackedRun reports whether the attempt is given up while its server may be at work and its ack is overdue: a cancellation on its
// connection may not arrive.
func (a *attempt) leavesUnackedRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ackOverdue && !a.ackTimedOut && !a.closed && a.ctx.Err() != nil && time.Now().Before(a.r.deadline)
}

// endRun ends a run that nobody waits for any longer. That of an idempotent request ends with its connection.
func (a *attempt) endRun() {
	if !a.r.idempotent {
		a.sendDone()
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), resolveTimeout)
	defer cancel()
	// A failure is ignored: runs end at their deadline.
	_, _ = a.r.c.Transport.Resolve(ctx, a.sent.Server, &proto.Resolve{
		ID: a.id, Conn: a.stream.Conn(), Incarnation: a.stream.Incarnation(), Elapsed: time.Since(a.began),
	})
}

// sendDone tells admission that the response is not needed any longer.
func (a *attempt) sendDone() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.ctx), resolveTimeout)
	defer cancel()
	// A failure is ignored: admission drops unconfirmed responses after some time, and runs end at their deadline.
	_, _ = a.r.c.Transport.Resolve(ctx, a.sent.Server, &proto.Resolve{
		ID: a.id, Conn: noConn, Incarnation: a.stream.Incarnation(), Elapsed: time.Since(a.began), Done: true,
	})
}

// resolveTries returns the number of resolves to send without a reply after the connection has failed. It is 1 for a request that may be
// retried after an unknown outcome: another attempt helps the caller more than certainty about the outcome.
func (a *attempt) resolveTries() int {
	if a.r.idempotent && a.r.depth == 0 {
		return 1
	}
	return maxResolveTries
}
