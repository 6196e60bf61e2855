package gate

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/admit/ledger"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

var pieces = sync.Pool{New: func() any { return new([proto.MaxPiece]byte) }}

// reply passes the response on. The attempt has ended in the ledger before its last frame is sent, so that a resolve
// after that frame was lost finds the response.
func (c *call) reply(ctx context.Context, response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		c.release()
		return c.fail(code.Unknownf(code.ResponseTruncated, "the server answered with status %d", response.StatusCode))
	}
	answer := &proto.Answer{
		Status:        response.StatusCode,
		Header:        strip(response.Header),
		ContentLength: response.ContentLength,
		Report:        c.gate.Report(),
	}
	if length := response.ContentLength; bodiless(c.head.Method, response) || length >= 0 && length <= proto.MaxPiece {
		return c.replyWhole(ctx, response, answer)
	}
	return c.replyPieces(ctx, response, answer)
}

func bodiless(method string, response *http.Response) bool {
	return method == http.MethodHead || response.Body == http.NoBody ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

// replyWhole sends a response that fits into one frame. Its header is not sent before the body is complete.
func (c *call) replyWhole(ctx context.Context, response *http.Response, answer *proto.Answer) error {
	if !bodiless(c.head.Method, response) {
		answer.Body = make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, answer.Body); err != nil {
			return c.truncated(ctx, err)
		}
	}
	answer.End = true
	c.release()
	c.finish(answer)
	return c.stream.Send(answer)
}

// replyPieces streams a response. A non-idempotent one is read to its end even when the stream is lost, to be held.
func (c *call) replyPieces(ctx context.Context, response *http.Response, answer *proto.Answer) error {
	sent := c.stream.Send(answer)
	buffer, isBuffer := pieces.Get().(*[proto.MaxPiece]byte)
	if !isBuffer {
		buffer = new([proto.MaxPiece]byte)
	}
	defer pieces.Put(buffer)
	held := *answer
	fits := !c.head.Idempotent
	for {
		n, err := response.Body.Read(buffer[:])
		if fits = fits && len(held.Body)+n <= ledger.MaxAnswerBytes; fits {
			held.Body = append(held.Body, buffer[:n]...)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return c.truncated(ctx, err)
		}
		if err != nil {
			c.release()
			held.End = true
			c.finishIf(fits, &held, response)
			return c.stream.Send(&proto.Piece{Data: buffer[:n], End: true, Trailer: response.Trailer})
		}
		if sent == nil && n > 0 {
			sent = c.stream.Send(&proto.Piece{Data: buffer[:n]})
		}
		if sent != nil && c.head.Idempotent {
			c.release()
			return c.fail(code.Unknownf(code.Cancelled, "the call ended before its response").WithCause(sent))
		}
	}
}

// finishIf ends the attempt, with the response when it was collected whole. Trailers have no place in a held response.
func (c *call) finishIf(whole bool, answer *proto.Answer, response *http.Response) {
	if !whole || len(response.Trailer) > 0 {
		c.entry.Answered(nil)
		return
	}
	c.finish(answer)
}

func (c *call) finish(answer *proto.Answer) {
	if c.head.Idempotent {
		answer = nil
	}
	c.entry.Answered(answer)
}

// truncated ends a call whose response broke off. A response without its end is never complete to the router.
func (c *call) truncated(ctx context.Context, err error) error {
	c.release()
	failed := code.Unknownf(code.ResponseTruncated, "the server's response broke off").WithCause(err)
	switch {
	case ctx.Err() == nil:
		c.gate.Limit.Truncated()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failed = code.Unknownf(code.DeadlineExceeded, "the deadline passed within the response").WithCause(err)
	default:
		failed = code.Unknownf(code.Cancelled, "the call ended within the response").WithCause(err)
	}
	return c.fail(failed)
}
