package code

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Error is a failure with its result code and outcome.
type Error struct {
	Code    Code
	Outcome Outcome // NotRun only with proof that no server ran the request
	Detail  string  // one line for people
	Cause   error   // may be nil
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

// HTTPStatus returns the status of a response that reports the failure. A 503 promises that the request has not run, and
// the other statuses of its kind promise nothing.
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

// Of returns the coded error in the chain of err. An error without a code is Internal with an unknown outcome.
func Of(err error) *Error {
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return &Error{Code: Internal, Outcome: Unknown, Detail: "unexpected failure", Cause: err}
}
