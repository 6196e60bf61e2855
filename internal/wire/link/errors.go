package link

import (
	"context"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// drpc sends a number with an error. Ours holds the code and the outcome, and a mark, because drpc uses small numbers
// itself.
const (
	errorMark    = 1 << 32
	outcomeShift = 16
	codeMask     = 1<<outcomeShift - 1
)

// toWire prepares an error for drpc to send.
func toWire(err error) error {
	if err == nil {
		return nil
	}
	coded := code.Of(err)
	number := errorMark | uint64(coded.Outcome)<<outcomeShift | uint64(coded.Code)&codeMask
	return drpcerr.WithCode(errors.New(coded.Detail), number)
}

// fromWire gives an error of a stream its code. Without a code from the other side it tells nothing about the request.
func fromWire(err error) *code.Error {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded
	}
	if number := drpcerr.Code(err); number&errorMark != 0 {
		remote := code.Unknownf(code.Code(number&codeMask), "the peer failed")
		if number>>outcomeShift&1 == uint64(code.NotRun) {
			remote.Outcome = code.NotRun
		}
		return remote.WithCause(err)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return code.Unknownf(code.DeadlineExceeded, "the stream ended with its deadline").WithCause(err)
	case errors.Is(err, context.Canceled):
		return code.Unknownf(code.Cancelled, "the stream was cancelled or its connection closed").WithCause(err)
	default:
		return code.Unknownf(code.PeerUnreachable, "the connection failed").WithCause(err)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// withOutcome returns a copy of err with another outcome.
func withOutcome(err error, outcome code.Outcome) *code.Error {
	coded := *fromWire(err)
	coded.Outcome = outcome
	return &coded
}

// notRun returns the error for a call of which nothing left this daemon. A code of the codec stays, because it tells what
// is wrong with the request.
func notRun(err error) *code.Error {
	coded := fromWire(err)
	switch coded.Code {
	case code.HeaderTooLarge, code.BodyTooLarge, code.BadRequest, code.VersionMismatch, code.Revoked:
	default:
		coded = code.NotRunf(code.PeerUnreachable, "no byte of the request left").WithCause(err)
	}
	return withOutcome(coded, code.NotRun)
}
