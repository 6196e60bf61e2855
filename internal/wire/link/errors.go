package link

import (
	"context"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// drpc transmits a 64-bit number with each error. Here it holds the code and the outcome, and errorMark to distinguish it
// from the small numbers that drpc uses itself.
const (
	errorMark    = 1 << 32
	outcomeShift = 16
	codeMask     = 1<<outcomeShift - 1
)

// toWire encodes the code and the outcome of an error in the number that drpc sends.
func toWire(err error) error {
	if err == nil {
		return nil
	}
	coded := code.Of(err)
	number := errorMark | uint64(coded.Outcome)<<outcomeShift | uint64(coded.Code)&codeMask
	return drpcerr.WithCode(errors.New(coded.Detail), number)
}

// fromWire decodes an error of a stream. An error without a code from the peer has outcome Unknown, because it does not
// show whether the request ran.
func fromWire(err error) *code.Error {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded
	}
	if number := drpcerr.Code(err); number&errorMark != 0 {
		remote := code.Unknownf(code.Code(number&codeMask), "the peer returned an error")
		if number>>outcomeShift&1 == uint64(code.NotRun) {
			remote.Outcome = code.NotRun
		}
		return remote.WithCause(err)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return code.Unknownf(code.DeadlineExceeded, "the deadline passed while the stream was open").WithCause(err)
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

// notRun returns the error of a call of which no byte was sent. Codes that say what is wrong with the request or the
// handshake are kept; all others become PeerUnreachable.
func notRun(err error) *code.Error {
	coded := fromWire(err)
	switch coded.Code {
	case code.HeaderTooLarge, code.BodyTooLarge, code.BadRequest, code.VersionMismatch, code.Revoked:
	default:
		coded = code.NotRunf(code.PeerUnreachable, "the connection failed before any byte of the request was sent").WithCause(err)
	}
	return withOutcome(coded, code.NotRun)
}
