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

var pieceBuffers = sync.Pool{New: func() any { return new([proto.MaxPiece]byte) }}

// reply forwards the response to the router. The ledger records the end of the attempt before the last frame is sent, so that a
// resolve finds the response when that frame is lost.
func (c *call) reply(ctx context.Context, response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		c.release()
		return c.fail(code.Unknownf(code.ResponseTruncated, "the server sent status %d, not a final response", response.StatusCode))
	}
	answer := &proto.Answer{
		Status:        response.StatusCode,
		Header:        stripHopByHop(response.Header),
		ContentLength: response.ContentLength,
		Report:        c.gate.Report(),
	}
	if length := response.ContentLength; hasNoBody(c.head.Method, response) || length >= 0 && length <= proto.MaxPiece {
		return c.replyWhole(ctx, response, answer)
	}
	return c.replyStreamed(ctx, response, answer)
}

func hasNoBody(method string, response *http.Response) bool {
	return method == http.MethodHead || response.Body == http.NoBody ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

// replyWhole sends a response that fits into one frame, once its body is complete.
func (c *call) replyWhole(ctx context.Context, response *http.Response, answer *proto.Answer) error {
	if !hasNoBody(c.head.Method, response) {
		answer.Body = make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, answer.Body); err != nil {
			return c.failTruncated(ctx, err)
		}
	}
	answer.End = true
	c.releaseIfSent()
	if !c.early {
		c.finish(answer)
	}
	return c.stream.Send(answer)
}

// replyStreamed forwards a response piece by piece. For a non-idempotent request it reads the response to its end even when the
// stream has failed, so that the ledger can hold the response for a resolve.
func (c *call) replyStreamed(ctx context.Context, response *http.Response, answer *proto.Answer) error {
	sendErr := c.stream.Send(answer)
	buffer, isBuffer := pieceBuffers.Get().(*[proto.MaxPiece]byte)
	if !isBuffer {
		buffer = new([proto.MaxPiece]byte)
	}
	defer pieceBuffers.Put(buffer)
	buffered := *answer
	holdable := !c.head.Idempotent
	for {
		n, err := response.Body.Read(buffer[:])
		if holdable = holdable && len(buffered.Body)+n <= ledger.MaxAnswerBytes; holdable {
			buffered.Body = append(buffered.Body, buffer[:n]...)
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return c.failTruncated(ctx, err)
		}
		if err != nil {
			buffered.End = true
			c.releaseIfSent()
			if !c.early {
				c.finishIf(holdable, &buffered, response)
			}
			return c.stream.Send(&proto.Piece{Data: buffer[:n], End: true, Trailer: response.Trailer})
		}
		if sendErr == nil && n > 0 {
			sendErr = c.stream.Send(&proto.Piece{Data: buffer[:n]})
		}
		if sendErr != nil && c.head.Idempotent {
			c.release()
			return c.fail(code.Unknownf(code.Cancelled, "the call ended before its response was sent").WithCause(sendErr))
		}
	}
}

// finishIf records the end of the attempt, with the response if all of it was buffered. A response with trailers is not held, because
// the ledger stores no trailers.
func (c *call) finishIf(complete bool, answer *proto.Answer, response *http.Response) {
	if !complete || len(response.Trailer) > 0 {
		c.entry.Answered(nil)
		return
	}
	c.finish(answer)
}

func (c *call) finish(answer *proto.Answer) {
	if c.head.Idempotent || !c.body.complete.Load() {
		answer = nil
	}
	c.entry.Answered(answer)
}

// failTruncated ends a call whose response body could not be read to its end. The router never takes such a response as complete,
// since no frame with End is sent.
func (c *call) failTruncated(ctx context.Context, err error) error {
	c.release()
	failed := code.Unknownf(code.ResponseTruncated, "the response of the server was truncated").WithCause(err)
	switch {
	case ctx.Err() == nil:
		c.gate.Limit.Truncated()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failed = code.Unknownf(code.DeadlineExceeded, "the deadline passed during the response").WithCause(err)
	default:
		failed = code.Unknownf(code.Cancelled, "the call was cancelled during the response").WithCause(err)
	}
	c.rollout.truncated(failed)
	return c.fail(failed)
}
