package call

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

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
		a.giveUp(last, &proto.Resolution{State: proto.StateUnknown}, answerGrace)
	case found.State == proto.StateRunning:
		if !a.isAcked() && time.Since(a.began) >= a.stallTimeout() {
			a.retryBeside() // the connection may have gone silent after the head
		}
		a.schedule(a.stallTimeout(), a.checkStall)
	default:
		a.giveUp(last, found, a.answerGrace(found))
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
	sequential := a.isRetriedAfterEnd()
	if failures < maxResolveTries && !sequential || a.r.pool.IsAlive(a.ctx, a.sent.Server) {
		return false
	}
	return sequential || a.r.c.Choice.IsGone(a.r.req.Service, a.sent.Server)
}

// isRetriedAfterEnd reports whether a retry may be made, but only after the end of this attempt.
func (a *attempt) isRetriedAfterEnd() bool {
	return a.r.idempotent && a.r.depth == 0 && a.race == nil && a.r.hasRetryLeft()
}

// giveUp closes the stream of an attempt that the server no longer runs, unless its next frame has arrived since last or arrives within the
// grace.
func (a *attempt) giveUp(last int64, found *proto.Resolution, grace time.Duration) {
	received := a.stream.Received()
	if !clock.Sleep(a.ctx, grace) {
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

// answerGrace returns how long the answer of a run that has ended may be in transit. Another attempt is made meanwhile where only the
// answer itself would help the caller.
func (a *attempt) answerGrace(found *proto.Resolution) time.Duration {
	isHeld := found.Answer != nil || found.Failure != nil
	// A daemon that has started again does not know what the process before it has answered.
	hasRestarted := found.State == proto.StateUnknown && a.isAcked() && !a.isRetriedAfterEnd()
	switch {
	case found.State == proto.StateRevoked && !a.isAcked():
		return 0
	case isHeld || found.State != proto.StateFinished && !hasRestarted:
		return answerGrace
	}
	a.retryBeside()
	return unheldAnswerGrace
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
