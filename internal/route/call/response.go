package call

import (
	"context"
	"io"
	"net/http"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/route/claim"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Response is the answer to a request.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64       // -1 when unknown
	Trailer       http.Header // complete after Next has returned io.EOF; may be nil

	a      *attempt // nil for a stored response
	cancel context.CancelFunc
	first  []byte // not yet returned by Next
	done   bool
	passed int64 // bytes returned by Next
	kept   []byte
	keep   bool // kept holds the whole body so far, for the claim's result
}

func newResponse(a *attempt, answer *proto.Answer) *Response {
	x := &Response{
		Status: answer.Status, Header: answer.Header, ContentLength: answer.ContentLength,
		a: a, first: answer.Body, done: answer.End, keep: a.r.claim != nil,
	}
	if x.done {
		x.complete(answer.Body)
	} else {
		x.note(answer.Body)
	}
	return x
}

func storedResponse(stored *claim.Result) *Response {
	return &Response{
		Status: stored.Status, Header: stored.Header, ContentLength: int64(len(stored.Body)),
		first: stored.Body, done: true, cancel: func() {},
	}
}

// Next returns the next part of the body, io.EOF after a complete one, or a coded error when the response is truncated.
// The part is valid until the following call.
func (x *Response) Next() ([]byte, error) {
	if len(x.first) > 0 {
		piece := x.first
		x.first = nil
		x.passed += int64(len(piece))
		return piece, nil
	}
	if x.done {
		return nil, io.EOF
	}
	frame, err := x.a.recv()
	if err != nil {
		return x.resume(err)
	}
	x.a.last.Store(int64(time.Since(x.a.began)))
	switch f := frame.(type) {
	case *proto.Piece:
		return x.take(f)
	case *proto.Failure:
		return nil, x.truncated(code.Unknownf(code.ResponseTruncated, "%s: %s", f.Code, f.Detail))
	default:
		return nil, x.truncated(code.Unknownf(code.ResponseTruncated, "unexpected frame %T in the response", frame))
	}
}

func (x *Response) take(piece *proto.Piece) ([]byte, error) {
	x.passed += int64(len(piece.Data))
	if !piece.End {
		x.note(piece.Data)
		return piece.Data, nil
	}
	x.done = true
	x.Trailer = piece.Trailer
	x.complete(piece.Data)
	if len(piece.Data) == 0 {
		return nil, io.EOF
	}
	return piece.Data, nil
}

// resume continues a response whose stream has failed with the held copy, where admission holds one.
func (x *Response) resume(cause error) ([]byte, error) {
	answer, err := x.heldAnswer(cause)
	if err != nil {
		return nil, x.truncated(code.Unknownf(code.ResponseTruncated, "the response ended early").WithCause(err))
	}
	if answer.Status != x.Status || int64(len(answer.Body)) < x.passed {
		return nil, x.truncated(code.Unknownf(code.ResponseTruncated, "the held response does not continue this one"))
	}
	x.done = true
	rest := answer.Body[x.passed:]
	x.passed += int64(len(rest))
	x.complete(rest)
	if len(rest) == 0 {
		return nil, io.EOF
	}
	return rest, nil
}

// heldAnswer resolves the attempt. Admission holds responses of non-idempotent requests only.
func (x *Response) heldAnswer(cause error) (*proto.Answer, error) {
	if x.a.r.idempotent {
		return nil, x.a.ended(code.Of(cause))
	}
	return x.a.broken(cause)
}

func (x *Response) truncated(failure *code.Error) *code.Error {
	x.a.r.c.counters.truncated.Add(1)
	_ = x.a.fail(failure)
	return failure
}

// note keeps a part of the body while it may become a claim's result.
func (x *Response) note(data []byte) {
	if !x.keep {
		return
	}
	if len(x.kept)+len(data) > claim.MaxRowBytes {
		x.keep, x.kept = false, nil
		return
	}
	x.kept = append(x.kept, data...)
}

// complete ends the attempt of a complete response.
func (x *Response) complete(last []byte) {
	x.note(last)
	x.a.finished()
	if x.keep && len(x.Trailer) == 0 {
		x.a.r.c.Claims.Finish(*x.a.r.claim, claim.Result{Status: x.Status, Header: x.Header, Body: x.kept})
	}
}

// Close frees the response. A response that is not complete is cancelled.
func (x *Response) Close() {
	if x.a != nil {
		x.a.abandon()
	}
	x.cancel()
}
