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

// answerGrace returns how long the answer of a run that has ended may be in transit. Another attempt is made meanwhile where only the
// answer itself would help the caller.
func (a *attempt) answerGrace(found *proto.Resolution) time.Duration {
	switch {
	case found.State == proto.StateRevoked && !a.isAcked():
		return 0
	case found.State != proto.StateFinished || found.Answer != nil || found.Failure != nil:
		return answerGrace
	}
	a.retryBeside()
	return unheldAnswerGrace
}

// resolveTries returns the number of resolves to send without a reply after the connection has failed. It is 1 for a request that may be
// retried after an unknown outcome: another attempt helps the caller more than certainty about the outcome.
func (a *attempt) resolveTries() int {
	if a.r.idempotent && a.r.depth == 0 {
		return 1
	}
	return maxResolveTries
}

// stallTimeout is how long a stream may be idle after the ack before it is checked.
func (a *attempt) stallTimeout() time.Duration {
	return min(resolveInterval, max(minStall, a.r.deadline.Sub(a.began)/stallDivisor))
}

// startStallChecks starts the checks of the stream for stalls. It is called after the ack.
func (a *attempt) startStallChecks() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if a.stallTimer != nil {
		a.stallTimer.Stop() // of an attempt whose ack was late
	}
	a.stallTimer = time.AfterFunc(a.stallTimeout(), a.checkStall)
}

// checkStall checks an attempt whose stream is idle.
func (a *attempt) checkStall() {
	timeout, last := a.stallTimeout(), a.lastFrame.Load()
	idle := time.Since(a.began) - time.Duration(last)
	switch {
	case a.unread.Load():
		a.schedule(timeout, a.checkStall)
	case idle < timeout:
		a.schedule(timeout-idle, a.checkStall)
	default:
		a.checkRun(last, 0)
	}
}

// checkRun asks whether the server still runs the request, of which the last frame has arrived at last, after so many questions without a
// reply. The resolve does not name the connection, because that would close the connection at the other end. While replies are missing,
// the stream stays open and another attempt is made beside this one, if the request may be retried.
func (a *attempt) checkRun(last int64, failures int) {
	if a.lastFrame.Load() != last {
		a.checkStall()
		return
	}
	found, err := a.sendResolve(noConn)
	if a.lastFrame.Load() != last {
		a.checkStall()
		return
	}
	if err != nil && !isUnasked(err) {
		failures++
	}
	switch {
	case err != nil && !a.isServerLost(failures):
		a.retryBeside()
		a.schedule(a.resolveDelay(failures), func() { a.checkRun(last, failures) })
	case err != nil:
		a.giveUp(last, &proto.Resolution{State: proto.StateUnknown})
	case found.State == proto.StateRunning:
		if !a.isAcked() && time.Since(a.began) >= a.stallTimeout() {
			a.retryBeside() // the connection may have gone silent after the head
		}
		a.schedule(a.stallTimeout(), a.checkStall)
	default:
		a.giveUp(last, found)
	}
}

// isUnasked reports whether a resolve was not sent because too many to the same daemon are in progress. That tells nothing of the daemon.
func isUnasked(err error) bool {
	return err != nil && code.Of(err).Code == code.Overloaded
}

// retryBeside makes one other attempt at a time while this one goes on, if the request may be retried.
func (a *attempt) retryBeside() {
	if a.race != nil && a.retried.CompareAndSwap(false, true) && !a.race.retry(a) {
		a.retried.Store(false)
	}
}

// resolveDelay is the time until the next resolve after so many without a reply.
func (a *attempt) resolveDelay(failures int) time.Duration {
	if failures < maxResolveTries {
		return resolveRetryDelay
	}
	return a.stallTimeout()
}

// isServerLost reports whether the server's daemon has certainly failed after so many resolves without a reply: a busy link delays
// resolves and replies as well. A request that may be retried, but only after the end of its attempt, does not wait for certainty.
func (a *attempt) isServerLost(failures int) bool {
	sequential := a.r.idempotent && a.r.depth == 0 && a.race == nil && a.r.hasRetryLeft()
	if failures < maxResolveTries && !sequential || a.r.pool.IsAlive(a.ctx, a.sent.Server) {
		return false
	}
	return sequential || a.r.c.Choice.IsGone(a.r.req.Service, a.sent.Server)
}

// giveUp closes the stream of an attempt that the server no longer runs, unless its next frame has arrived since last or is arriving.
func (a *attempt) giveUp(last int64, found *proto.Resolution) {
	received := a.stream.Received()
	if !clock.Sleep(a.ctx, a.answerGrace(found)) {
		return
	}
	if a.lastFrame.Load() != last || a.unread.Load() || a.stream.Received() != received {
		a.schedule(a.stallTimeout(), a.checkStall)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.ackTimedOut = !a.acked
	// That a non-idempotent request never runs is proved only by the revocation of its connection, which the ledger does not forget.
	if found.State != proto.StateRevoked || a.r.idempotent {
		a.stallResolution.Store(found)
	}
	a.r.c.counters.silent.Add(1)
	a.stream.CloseSilent()
}

// schedule runs the next check of the attempt after wait, unless the attempt is closed. It replaces a check that another goroutine has
// scheduled meanwhile: an ack may arrive during a resolve.
func (a *attempt) schedule(wait time.Duration, check func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if a.stallTimer != nil {
		a.stallTimer.Stop()
	}
	a.stallTimer = time.AfterFunc(wait, check)
}
