package call

import (
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// choose selects the server. It checks the key of the request after the wait for load reports, so that only the connection to the server
// can still delay the attempt.
func (a *attempt) choose(head *proto.Head) error {
	r := a.r
	r.mu.Lock()
	tried := slices.Clone(r.tried)
	r.mu.Unlock()
	r.c.Choice.Refresh(a.ctx, r.req.Service, tried)
	header, err := r.authorize()
	if err != nil {
		return err
	}
	head.Header = header
	r.mu.Lock()
	defer r.mu.Unlock()
	sent, err := r.c.Choice.SelectFor(r.req.Service, r.tried, r.need())
	if err != nil {
		return r.withRetryAfter(err)
	}
	a.sent = sent
	r.tried = append(r.tried, sent.Server)
	return nil
}

// maxInlineBody is the size of the largest body whose first piece is sent with the head to a server that reports its load. Larger
// bodies are sent after the ack, because the bodies of refused attempts would saturate the server's link.
const maxInlineBody = 16 << 10

// head builds the first frame, usually with the first piece of the body.
func (a *attempt) head() (*proto.Head, error) {
	r := a.r
	head := &proto.Head{
		ID: a.id, Service: r.req.Service, Method: r.req.Method, Target: r.req.Target, Host: r.req.Host,
		ContentLength: r.req.ContentLength, Class: r.class, Idempotent: r.idempotent,
		Depth: r.depth, Revision: r.revision, End: r.req.Body == nil,
	}
	if head.End || r.req.WaitForAck || r.service.ReportsLoad && r.req.ContentLength > maxInlineBody {
		return head, nil
	}
	piece := make([]byte, min(proto.MaxPiece, r.body.readSize))
	n, err := r.body.read(a.bodyGeneration, 0, piece)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, a.bodyFailure(code.NotRun, err)
	}
	head.Body = piece[:n]
	a.offset = int64(n)
	// The end of a body with trailers is sent as a piece, because the head cannot carry trailers.
	head.End = err != nil && r.req.Trailer == nil
	return head, nil
}

// sendBody sends the rest of the body.
func (a *attempt) sendBody() {
	defer close(a.rest.ended)
	defer a.sendingBody.Store(false)
	piece := make([]byte, proto.MaxPiece)
	offset := a.offset
	for a.ctx.Err() == nil {
		n, err := a.readBody(offset, piece)
		offset += int64(n)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			a.bodyErr.Store(a.bodyFailure(code.Unknown, err))
			a.cancel()
			return
		}
		next := &proto.Piece{Data: piece[:n], End: end}
		if end && a.r.req.Trailer != nil {
			next.Trailer = a.r.req.Trailer()
		}
		if a.stream.Send(next) != nil {
			return // a failure of the stream is reported by Recv
		}
		if end {
			a.rest.sent.Store(true)
			return
		}
	}
}

// bodyFailure returns the failure of a request whose body could not be read. At the deadline or when the caller leaves, reading is
// aborted: the request is then late or cancelled, not malformed.
func (a *attempt) bodyFailure(outcome code.Outcome, cause error) *code.Error {
	failure := &code.Error{Code: code.BadRequest, Outcome: outcome, Detail: "the request body could not be read", Cause: cause}
	switch {
	case !time.Now().Before(a.r.deadline):
		failure.Code, failure.Detail = code.DeadlineExceeded, "the deadline passed before the request body was received"
	case a.r.bodyAborted.Load():
		failure.Code, failure.Detail = code.Cancelled, "the request was cancelled before its body was received"
	}
	return failure
}
