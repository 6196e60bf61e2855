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
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// attempt is one attempt of a request.
type attempt struct {
	r      *request
	id     ident.AttemptID
	ctx    context.Context // ends with the request until the stream is finished
	cancel context.CancelFunc
	detach func() bool // separates ctx from the request
	race   *race       // nil without a hedge
	sent   pool.Selection
	began  time.Time
	turn   uint32 // of the body
	offset int64  // of the body after the first piece

	pumping atomic.Bool // the rest of the body is being sent

	mu     sync.Mutex
	stream proto.ClientStream
	acked  bool
	silent bool // no ack within the bound: an ack that comes later is not followed
	over   bool
	quiet  bool // no timer of the attempt was running when it ended
	ack    *time.Timer
	stall  *time.Timer

	last    atomic.Int64                     // time of the last frame, since began
	settled atomic.Pointer[proto.Resolution] // what the check of a quiet stream found
	bodyErr atomic.Pointer[code.Error]       // the caller's body failed
}

func (r *request) newAttempt(ctx context.Context) *attempt {
	a := &attempt{r: r, turn: r.body.turn.Load()}
	a.ctx, a.cancel = context.WithCancel(context.WithoutCancel(ctx))
	a.detach = context.AfterFunc(ctx, a.cancel)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	a.id = ident.AttemptID{Request: r.id, Attempt: r.attempts}
	return a
}

// run makes the attempt and returns its response, or a coded error that tells the attempt's outcome.
func (a *attempt) run() (*Response, error) {
	head, err := a.head()
	if err != nil {
		a.cancel()
		return nil, err
	}
	if err := a.choose(); err != nil {
		a.cancel()
		return nil, err
	}
	a.began = time.Now()
	head.SentAt = a.began.Sub(a.r.c.Start)
	head.Remaining = a.r.deadline.Sub(a.began)
	head.PeerLatency = a.sent.PeerLatency
	a.mu.Lock()
	a.ack = time.AfterFunc(a.ackBound(), a.ackLate)
	a.mu.Unlock()
	stream, err := a.r.c.Transport.Call(a.ctx, a.sent.Server, head)
	if err != nil {
		return nil, a.fail(a.notSent(code.Of(err)))
	}
	a.r.c.counters.attempts.Add(1)
	a.mu.Lock()
	a.stream = stream
	a.mu.Unlock()
	answer, err := a.await(head.End)
	if err != nil {
		return nil, a.fail(code.Of(err))
	}
	if a.race != nil && !a.race.win(a) {
		a.abandon()
		return nil, code.Unknownf(code.Cancelled, "another attempt answered first").WithCause(errLost)
	}
	a.r.pool.Answered(a.sent, answer.Report)
	failed := answer.Status >= http.StatusInternalServerError
	a.r.c.Choice.RecordResult(a.r.ask.Service, a.sent.Server, failed, "status 5xx")
	if a.r.timed() {
		a.r.delays.add(time.Since(a.began), failed)
	}
	return newResponse(a, answer), nil
}

// notSent judges an attempt whose head could not be sent. When no byte of it left, the server is not tried again for now.
func (a *attempt) notSent(failure *code.Error) *code.Error {
	if failure.Outcome == code.Unknown {
		a.r.c.counters.attempts.Add(1)
		return a.ended(failure)
	}
	if a.ctx.Err() == nil && failure.Code == code.PeerUnreachable {
		a.r.c.Choice.MarkUnreachable(a.r.ask.Service, a.sent.Server)
	}
	return failure
}

// choose selects the server.
func (a *attempt) choose() error {
	r := a.r
	r.mu.Lock()
	defer r.mu.Unlock()
	sent, err := r.c.Choice.Select(r.ask.Service, r.tried, r.class)
	if err != nil {
		return err
	}
	a.sent = sent
	r.tried = append(r.tried, sent.Server)
	return nil
}

// smallBody is the size up to which a body is sent with its head. A larger one waits for the ack of a server's daemon that tells its
// load, since the bodies of refused attempts would fill its link.
const smallBody = 16 << 10

// head builds the first message with the first piece of the body.
func (a *attempt) head() (*proto.Head, error) {
	r := a.r
	head := &proto.Head{
		ID: a.id, Service: r.ask.Service, Method: r.ask.Method, Target: r.ask.Target, Host: r.ask.Host,
		Header: r.ask.Header, ContentLength: r.ask.ContentLength, Class: r.class, Idempotent: r.idempotent,
		Depth: r.depth, Revision: r.revision, End: r.ask.Body == nil,
	}
	if head.End || r.ask.WaitForAck || r.service.ReportsLoad && r.ask.ContentLength > smallBody {
		return head, nil
	}
	piece := make([]byte, min(proto.MaxPiece, r.body.size))
	n, err := r.body.read(a.turn, 0, piece)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, code.NotRunf(code.BadRequest, "the request body could not be read").WithCause(err)
	}
	head.Body = piece[:n]
	a.offset = int64(n)
	// A body with trailers ends in a piece, because a head carries none.
	head.End = err != nil && r.ask.Trailer == nil
	return head, nil
}

// roundTrips is the number of average round trips to the server that are added to the bound of an ack. On a loaded link or
// instance, single ones take several times the average.
const roundTrips = 3

func (a *attempt) ackBound() time.Duration {
	bound := a.r.c.AckTimeout
	if bound == 0 {
		bound = DefaultAckTimeout
	}
	return bound + roundTrips*a.r.pool.RoundTrip(a.sent.Server)
}

// ackLate closes a connection on which no ack has come in time. Recv then fails and the attempt is resolved.
func (a *attempt) ackLate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked || a.over {
		return
	}
	a.silent = true
	a.r.c.counters.silent.Add(1)
	// No ack came from a paused daemon or on a silent connection; until a resolve tells, others are selected.
	a.r.c.Choice.MarkUnreachable(a.r.ask.Service, a.sent.Server)
	if a.stream == nil {
		a.cancel() // the connection is not open yet
		return
	}
	a.stream.CloseSilent()
}

// takeAck notes an ack. It reports false when the attempt is already being resolved: admission may then have revoked it.
func (a *attempt) takeAck() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent {
		return false
	}
	a.acked = true
	a.ack.Stop()
	return true
}

// await receives until the answer's header has come or the attempt has failed.
func (a *attempt) await(whole bool) (*proto.Answer, error) {
	for {
		frame, err := a.recv()
		if err != nil {
			return a.broken(err)
		}
		a.last.Store(int64(time.Since(a.began)))
		switch f := frame.(type) {
		case *proto.Ack:
			if !a.takeAck() {
				return a.broken(errLateAck)
			}
			a.r.pool.Acked(a.sent, f.Report)
			if f.Verdict == proto.Refused {
				a.finished()
				return nil, code.NotRunf(f.Code, "%s", f.Detail)
			}
			a.watch()
			if !whole {
				a.pumping.Store(true)
				go a.pump()
			}
		case *proto.Answer:
			if !a.isAcked() && !a.takeAck() {
				return a.broken(errLateAck)
			}
			return f, nil
		case *proto.Failure:
			if !a.isAcked() && !a.takeAck() {
				return a.broken(errLateAck)
			}
			a.r.pool.AddReport(f.Report)
			a.finished()
			return nil, &code.Error{Code: f.Code, Outcome: f.Outcome, Detail: f.Detail}
		default:
			return nil, code.Unknownf(code.Internal, "unexpected frame %T before the answer", frame)
		}
	}
}

// recv receives a frame. The end of a stream before the end of the response is unexpected, and its error must not be
// taken for the io.EOF that ends a complete response.
func (a *attempt) recv() (proto.Frame, error) {
	frame, err := a.stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return frame, err
}

var errLateAck = errors.New("the ack came after the bound")

func (a *attempt) isAcked() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acked
}

// pump sends the rest of the body.
func (a *attempt) pump() {
	defer a.pumping.Store(false)
	piece := make([]byte, proto.MaxPiece)
	offset := a.offset
	for a.ctx.Err() == nil {
		n, err := a.r.body.read(a.turn, offset, piece)
		offset += int64(n)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			a.bodyErr.Store(code.Unknownf(code.BadRequest, "the request body could not be read").WithCause(err))
			a.cancel()
			return
		}
		next := &proto.Piece{Data: piece[:n], End: end}
		if end && a.r.ask.Trailer != nil {
			next.Trailer = a.r.ask.Trailer()
		}
		if a.stream.Send(next) != nil || end {
			return // Recv reports the failure of the stream
		}
	}
}

// ended replaces the failure of a stream whose context has ended by the reason for that.
func (a *attempt) ended(failure *code.Error) *code.Error {
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
	case a.ctx.Err() != nil && !a.isSilent():
		return code.Unknownf(code.Cancelled, "the caller has gone").WithCause(failure)
	}
	return failure
}

func (a *attempt) isSilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent
}

// fail ends the attempt without a response.
func (a *attempt) fail(failure *code.Error) *code.Error {
	a.explain(failure)
	if failure.Outcome == code.Unknown && isServers(failure.Code) {
		a.r.c.Choice.RecordResult(a.r.ask.Service, a.sent.Server, true, failure.Code.String())
	}
	a.abandon()
	return failure
}

// isServers reports whether a failure counts against the server. A short deadline or a caller that goes does not.
func isServers(c code.Code) bool {
	return c != code.Cancelled && c != code.BadRequest && c != code.DeadlineExceeded
}

// close marks the attempt as over. It reports false when it already was.
func (a *attempt) close() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over {
		return false
	}
	a.over = true
	a.quiet = a.ack.Stop() || a.acked
	if a.stall != nil {
		a.quiet = a.stall.Stop()
	}
	a.r.pool.Ended(a.sent, a.acked)
	return true
}

// abandon cancels the attempt; what still arrives of it is dropped.
func (a *attempt) abandon() {
	if !a.close() {
		return
	}
	a.cancel()
	if a.stream != nil {
		_ = a.stream.Close() // there is nothing left to lose
	}
}

// finished ends an attempt that the other side has finished too. A stream that is complete in both directions returns its
// connection to the pool; one whose body is still being sent is cancelled.
func (a *attempt) finished() {
	if !a.close() {
		return
	}
	a.detach()
	_ = a.stream.Close() // there is nothing left to lose
	// The cancellation of a context that nothing waits for is left out. It would race with the end of the stream that is
	// still in drpc's reader, and drpc would then send a cancellation for a stream that is complete.
	if a.pumping.Load() || !a.quiet {
		a.cancel()
	}
}
