package call

import (
	"context"
	"io"
	"net/http"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/route/claim"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Response is the response to a request.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64       // -1 when unknown
	Trailer       http.Header // complete after Next has returned io.EOF; may be nil

	a         *attempt // nil for a stored response
	cancel    context.CancelFunc
	pending   []byte // not yet returned by Next
	done      bool
	late      bool  // the response was complete before the request body had been sent
	returned  int64 // bytes returned by Next
	claimBody []byte
	keepsBody bool // claimBody holds the body so far, which may become the claim's result
}

func newResponse(a *attempt, answer *proto.Answer) *Response {
	x := &Response{
		Status: answer.Status, Header: answer.Header, ContentLength: answer.ContentLength,
		a: a, pending: answer.Body, done: answer.End, keepsBody: a.r.claim != nil,
	}
	if x.done {
		x.complete(answer.Body)
	} else {
		a.unread.Store(true)
		x.keepForClaim(answer.Body)
	}
	return x
}

func storedResponse(stored *claim.Result) *Response {
	return &Response{
		Status: stored.Status, Header: stored.Header, ContentLength: int64(len(stored.Body)),
		pending: stored.Body, done: true, cancel: func() {},
	}
}

// Next returns the next part of the body, io.EOF after a complete one, or a coded error when the response is truncated.
// The part is valid until the following call.
func (x *Response) Next() ([]byte, error) {
	if len(x.pending) > 0 {
		piece := x.pending
		x.pending = nil
		x.returned += int64(len(piece))
		return piece, nil
	}
	if x.done {
		return nil, io.EOF
	}
	frame, err := x.a.awaitFrame()
	if err != nil {
		return x.resume(err)
	}
	switch f := frame.(type) {
	case *proto.Piece:
		return x.nextPiece(f)
	case *proto.Failure:
		return nil, x.truncate(code.Unknownf(code.ResponseTruncated, "%s: %s", f.Code, f.Detail))
	default:
		return nil, x.truncate(code.Unknownf(code.ResponseTruncated, "unexpected frame %T in the response", frame))
	}
}

func (x *Response) nextPiece(piece *proto.Piece) ([]byte, error) {
	x.returned += int64(len(piece.Data))
	if !piece.End {
		x.keepForClaim(piece.Data)
		return piece.Data, nil
	}
	if err := hdrs.CheckFields(piece.Trailer); err != nil {
		return nil, x.truncate(code.Unknownf(code.ResponseTruncated, "the response has a malformed trailer").WithCause(err))
	}
	x.done = true
	x.Trailer = piece.Trailer
	x.complete(piece.Data)
	if len(piece.Data) == 0 {
		return nil, io.EOF
	}
	return piece.Data, nil
}

// resume completes a response whose stream has failed from the copy that admission holds, if there is one.
func (x *Response) resume(cause error) ([]byte, error) {
	answer, err := x.heldAnswer(cause)
	if err != nil {
		return nil, x.truncate(code.Unknownf(code.ResponseTruncated, "the response ended before it was complete").WithCause(err))
	}
	if answer.Status != x.Status || int64(len(answer.Body)) < x.returned {
		return nil, x.truncate(code.Unknownf(code.ResponseTruncated, "the response held by admission does not match the part received"))
	}
	x.done = true
	rest := answer.Body[x.returned:]
	x.returned += int64(len(rest))
	x.complete(rest)
	if len(rest) == 0 {
		return nil, io.EOF
	}
	return rest, nil
}

// heldAnswer gets the held response by resolving the attempt. Admission holds responses to non-idempotent requests only.
func (x *Response) heldAnswer(cause error) (*proto.Answer, error) {
	if x.a.r.idempotent {
		return nil, x.a.contextFailure(code.Of(cause))
	}
	return x.a.resolveFailure(cause)
}

func (x *Response) truncate(failure *code.Error) *code.Error {
	x.a.r.c.counters.truncated.Add(1)
	_ = x.a.fail(failure)
	return failure
}

// keepForClaim adds data to the body that is stored as the claim's result. A body larger than claim.MaxRowBytes is not stored.
func (x *Response) keepForClaim(data []byte) {
	if !x.keepsBody {
		return
	}
	if len(x.claimBody)+len(data) > claim.MaxRowBytes {
		x.keepsBody, x.claimBody = false, nil
		return
	}
	x.claimBody = append(x.claimBody, data...)
}

// complete finishes the attempt, unless the rest of the request body is still being sent. A response without trailers is stored as the
// result of the claim, if there is one. last is the last part of the body.
func (x *Response) complete(last []byte) {
	x.keepForClaim(last)
	x.a.r.durations[x.a.r.class].Add(time.Since(x.a.r.began))
	if x.late = x.a.closeBeforeRest(); x.late {
		return
	}
	x.a.finish()
	x.storeForClaim()
}

func (x *Response) storeForClaim() {
	if x.keepsBody && len(x.Trailer) == 0 {
		x.a.r.c.Claims.Finish(*x.a.r.claim, claim.Result{Status: x.Status, Header: x.Header, Body: x.claimBody})
	}
}

// Close releases the response. An incomplete response, or the rest of the request body, is cancelled.
func (x *Response) Close() {
	switch {
	case x.late:
		x.a.end()
	case x.a != nil:
		x.a.abandon()
	}
	x.cancel()
}
