package call

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// attempt sends a request to one server.
type attempt struct {
	r              *request
	id             ident.AttemptID
	ctx            context.Context // cancelled with the request's context until detach is called
	cancel         context.CancelFunc
	detach         func() bool // stops the cancellation of ctx by the request's context
	race           *race       // nil without a hedge
	sent           pool.Selection
	began          time.Time
	bodyGeneration uint32 // generation of the body that this attempt may read
	offset         int64  // in the body, after the piece sent with the head

	sendingBody atomic.Bool // sendBody is running
	retried     atomic.Bool // retryBeside has made another attempt, which has not failed
	rest        rest

	mu            sync.Mutex
	stream        proto.ClientStream
	acked         bool
	ackOverdue    bool // no ack within ackTimeout, and none since
	ackTimedOut   bool // the stream was given up without an ack; a later ack is ignored
	closed        bool
	timersStopped bool // when the attempt was closed, no callback of its timers was running or due
	ackTimer      *time.Timer
	stallTimer    *time.Timer

	lastFrame       atomic.Int64                     // time of the last frame, or of the last begin of a wait, as a duration since began
	unread          atomic.Bool                      // the response has begun, and nobody waits for its next frame
	stallResolution atomic.Pointer[proto.Resolution] // result of the resolve that ended a stalled stream
	bodyErr         atomic.Pointer[code.Error]       // failure to read the caller's body
}

func (r *request) newAttempt(ctx context.Context) *attempt {
	a := &attempt{r: r, bodyGeneration: r.body.generation.Load()}
	a.ctx, a.cancel = context.WithCancel(context.WithoutCancel(ctx))
	a.detach = context.AfterFunc(ctx, a.cancel)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	a.id = ident.AttemptID{Request: r.id, Attempt: r.attempts}
	return a
}

// run makes the attempt and returns its response, or a coded error with the outcome of the attempt.
func (a *attempt) run() (*Response, error) {
	head, err := a.head()
	if err != nil {
		a.cancel()
		return nil, err
	}
	if err := a.choose(head); err != nil {
		a.cancel()
		return nil, err
	}
	a.began = time.Now()
	head.SentAt = a.began.Sub(a.r.c.Start)
	head.Remaining = a.r.deadline.Sub(a.began)
	head.PeerLatency = a.sent.PeerLatency
	a.statePrecedence(head)
	a.mu.Lock()
	a.ackTimer = time.AfterFunc(a.ackTimeout(), a.onAckTimeout)
	a.mu.Unlock()
	stream, err := a.r.c.Transport.Call(a.ctx, a.sent.Server, head)
	if err != nil {
		return nil, a.fail(a.sendFailed(code.Of(err)))
	}
	a.r.c.counters.attempts.Add(1)
	a.mu.Lock()
	a.stream = stream
	a.mu.Unlock()
	answer, err := a.awaitAnswer(head.End)
	if err == nil {
		err = checkAnswer(answer)
	}
	if err != nil {
		return nil, a.fail(code.Of(err))
	}
	if a.race != nil && !a.race.win(a) {
		a.abandon()
		return nil, code.Unknownf(code.Cancelled, "another attempt answered first").WithCause(errLost)
	}
	a.r.pool.Answered(a.sent, answer.Report)
	failed := answer.Status >= http.StatusInternalServerError
	a.r.c.Choice.RecordResult(a.r.req.Service, a.sent.Server, failed, "status 5xx")
	if a.r.latencySensitive() {
		a.r.latencies.add(time.Since(a.began), failed)
	}
	return newResponse(a, answer), nil
}

// checkAnswer returns an error for a status that no final response may have (RFC 9110, section 15), or an invalid field. Daemons of
// versions that did not check the responses of their servers pass both on.
func checkAnswer(answer *proto.Answer) error {
	if answer.Status < http.StatusOK || answer.Status > 599 {
		return code.Unknownf(code.ServerUnreachable, "the response has the invalid status %03d", answer.Status)
	}
	if err := hdrs.CheckFields(answer.Header); err != nil {
		return code.Unknownf(code.ServerUnreachable, "the response has a malformed header").WithCause(err)
	}
	return nil
}

// sendFailed handles an attempt whose head could not be sent. If the server's daemon could not be reached at all, the server is
// avoided for a short time.
func (a *attempt) sendFailed(failure *code.Error) *code.Error {
	if failure.Outcome == code.Unknown {
		a.r.c.counters.attempts.Add(1)
		return a.contextFailure(failure)
	}
	if a.ctx.Err() == nil && failure.Code == code.PeerUnreachable {
		a.r.c.Choice.MarkUnreachable(a.r.req.Service, a.sent.Server)
	}
	return failure
}

// ackRoundTrips is the number of average round trips to the server that are added to the ack timeout. On a loaded link or instance,
// individual round trips take several times the average.
const ackRoundTrips = 3

func (a *attempt) ackTimeout() time.Duration {
	timeout := a.r.c.AckTimeout
	if timeout == 0 {
		timeout = DefaultAckTimeout
	}
	return timeout + ackRoundTrips*a.r.pool.RoundTrip(a.sent.Server)
}

// onAckTimeout checks an attempt without an ack in time. The ack of a loaded instance or link may only be late, so that the stream stays
// open, and the server goes on, until a resolve shows that nothing is lost with it.
func (a *attempt) onAckTimeout() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked || a.closed {
		return
	}
	// Other servers are selected until a resolve gets a reply.
	a.r.c.Choice.MarkUnreachable(a.r.req.Service, a.sent.Server)
	if a.stream == nil {
		a.ackTimedOut = true
		a.r.c.counters.silent.Add(1)
		a.cancel() // Call has not returned a stream yet
		return
	}
	a.ackOverdue = true
	a.stallTimer = time.AfterFunc(0, func() { a.checkRun(a.lastFrame.Load(), 0) })
}

// recordAck records an ack. It reports false if the stream was given up before: admission may have revoked the attempt.
func (a *attempt) recordAck() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ackTimedOut {
		return false
	}
	a.acked, a.ackOverdue = true, false
	a.ackTimer.Stop()
	return true
}

// awaitAnswer receives frames until the response header arrives or the attempt fails. Unless bodySent, the rest of the body is
// sent after the ack.
func (a *attempt) awaitAnswer(bodySent bool) (*proto.Answer, error) {
	for {
		frame, err := a.recv()
		if err != nil {
			return a.resolveFailure(err)
		}
		a.lastFrame.Store(int64(time.Since(a.began)))
		switch f := frame.(type) {
		case *proto.Ack:
			if !a.recordAck() {
				return a.resolveFailure(errLateAck)
			}
			a.r.pool.Acked(a.sent, f.Report)
			if f.Verdict == proto.Refused {
				a.finish()
				return nil, &code.Error{Code: f.Code, Outcome: code.NotRun, Detail: f.Detail, RetryAfter: a.r.retryAfter(f.RetryAfter)}
			}
			a.startStallChecks()
			if !bodySent {
				a.startBody()
			}
		case *proto.Answer:
			if !a.isAcked() && !a.recordAck() {
				return a.resolveFailure(errLateAck)
			}
			return f, nil
		case *proto.Failure:
			if !a.isAcked() && !a.recordAck() {
				return a.resolveFailure(errLateAck)
			}
			a.r.pool.AddReport(f.Report)
			a.finish()
			return nil, &code.Error{Code: f.Code, Outcome: f.Outcome, Detail: f.Detail, RetryAfter: a.r.retryAfter(f.RetryAfter)}
		default:
			return nil, code.Unknownf(code.Internal, "unexpected frame %T before the answer", frame)
		}
	}
}

// recv receives a frame. If the stream ends before the response does, it returns io.ErrUnexpectedEOF, so that the error cannot be
// taken for the io.EOF at the end of a complete response.
func (a *attempt) recv() (proto.Frame, error) {
	frame, err := a.stream.Recv()
	a.rest.lost = err != nil
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return frame, err
}

// awaitFrame waits for the next frame of a response that has begun. The stream counts as idle only while somebody waits: a response whose
// caller takes an earlier one of its connection first stays unread for any time.
func (a *attempt) awaitFrame() (proto.Frame, error) {
	a.lastFrame.Store(int64(time.Since(a.began)))
	a.unread.Store(false)
	frame, err := a.recv()
	a.unread.Store(true)
	a.lastFrame.Store(int64(time.Since(a.began)))
	return frame, err
}

var errLateAck = errors.New("the ack arrived after the timeout")

func (a *attempt) isAcked() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acked
}

// contextFailure replaces the failure of a stream by its cause if the context of the attempt has ended. It returns other failures
// unchanged.
func (a *attempt) contextFailure(failure *code.Error) *code.Error {
	if failure.Outcome == code.NotRun {
		return failure
	}
	if bodyErr := a.bodyErr.Load(); bodyErr != nil {
		return bodyErr
	}
	switch {
	case a.race != nil && a.race.winner.Load() != nil && a.race.winner.Load() != a:
		return code.Unknownf(code.Cancelled, "another attempt answered first").WithCause(errLost)
	case !time.Now().Before(a.r.deadline):
		return code.Unknownf(code.DeadlineExceeded, "no answer before the deadline").WithCause(failure)
	case a.ctx.Err() != nil && !a.hasAckTimedOut():
		return code.Unknownf(code.Cancelled, "the caller cancelled the request").WithCause(failure)
	}
	return failure
}

func (a *attempt) hasAckTimedOut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ackTimedOut
}

// fail closes the attempt because of a failure and reports the failure to the chooser if the server caused it.
func (a *attempt) fail(failure *code.Error) *code.Error {
	a.logFailure(failure)
	if failure.Outcome == code.Unknown && isServerFault(failure.Code) {
		a.r.c.Choice.RecordResult(a.r.req.Service, a.sent.Server, true, failure.Code.String())
	}
	unacked := a.leavesUnackedRun()
	if unacked && a.r.idempotent {
		a.stream.CloseSilent() // no other call may use the connection: endRun closes it at the other end
	}
	a.abandon()
	if unacked {
		go a.endRun()
	}
	return failure
}

// isServerFault reports whether a failure counts as an error of the server. Missed deadlines and failures caused by the caller do not.
func isServerFault(c code.Code) bool {
	return c != code.Cancelled && c != code.BadRequest && c != code.DeadlineExceeded
}

// close marks the attempt as closed and stops its timers. It reports false if it was already closed.
func (a *attempt) close() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.closed = true
	a.timersStopped = a.ackTimer.Stop() || a.acked
	if a.stallTimer != nil {
		a.timersStopped = a.stallTimer.Stop()
	}
	a.r.pool.Ended(a.sent, a.acked)
	return true
}

// abandon cancels the attempt. Frames that still arrive for it are dropped.
func (a *attempt) abandon() {
	if !a.close() {
		return
	}
	a.cancel()
	if a.stream != nil {
		_ = a.stream.Close() // an error here has no consequence
	}
}

// finish closes an attempt that the server's daemon has finished as well. A stream that is complete in both directions returns its
// connection to the connection pool; a stream whose body is still being sent is cancelled.
func (a *attempt) finish() {
	if a.close() {
		a.end()
	}
}

func (a *attempt) end() {
	a.detach()
	_ = a.stream.Close() // an error here has no consequence
	// The context is not cancelled when nothing waits for it. The cancellation would race with the end of the stream, which drpc's
	// reader may not have processed yet, and drpc would then send a cancellation for a complete stream.
	if a.sendingBody.Load() || !a.timersStopped {
		a.cancel()
	}
}
