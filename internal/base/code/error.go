package code

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is a failure with its result code and outcome.
type Error struct {
	Code    Code
	Outcome Outcome // NotRun only if it is certain that no server ran the request
	Detail  string  // human-readable, one line
	Cause   error   // may be nil

	RetryAfter time.Duration // after which a repetition may succeed; for 429 and 503 only, 0 when not known
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%d, %s): %s", e.Code, int(e.Code), e.Outcome, e.Detail)
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// HTTPStatus returns the HTTP status for the error. A 503 guarantees that the request did not run, a 502 or 504 guarantees nothing:
// a 503 with an unknown outcome becomes 502, and a 502 or 504 of a request that certainly did not run becomes 503.
func (e *Error) HTTPStatus() int {
	status := e.Code.HTTPStatus()
	switch {
	case e.Outcome == Unknown && status == http.StatusServiceUnavailable:
		return http.StatusBadGateway
	case e.Outcome == NotRun && (status == http.StatusBadGateway || status == http.StatusGatewayTimeout):
		return http.StatusServiceUnavailable
	}
	return status
}

// NotRunf returns an error for a request that certainly did not run.
func NotRunf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// Unknownf returns an error for a request that may have run.
func Unknownf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Outcome: Unknown, Detail: fmt.Sprintf(format, args...)}
}

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	wrapped := *e
	wrapped.Cause = cause
	return &wrapped
}

// Of returns the first Error in the chain of err. An error without one is Internal with an unknown outcome.
func Of(err error) *Error {
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return &Error{Code: Internal, Outcome: Unknown, Detail: "unexpected failure", Cause: err}
}
