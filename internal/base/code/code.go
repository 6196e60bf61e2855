// Package code defines the numbered result codes and outcomes that marigoldwinch reports.
package code

import "net/http"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Code,Outcome -linecomment -output=names.go

// Code identifies a result that marigoldwinch itself reports. Its numbers are stable: new codes are added at the end.
type Code int

// The result codes, documented in docs/codes.md.
const (
	None                Code = iota // none
	BadRequest                      // bad-request
	UnknownService                  // unknown-service
	DeadlineExceeded                // deadline-exceeded
	NoConfiguration                 // no-configuration
	Isolated                        // isolated
	ZoneOut                         // zone-out
	ServerLeaving                   // server-leaving
	Overloaded                      // overloaded
	WarmingUp                       // warming-up
	QueueDeadline                   // queue-deadline
	Revoked                         // revoked
	NoServer                        // no-server
	OutcomeUnknown                  // outcome-unknown
	ResponseTruncated               // response-truncated
	BodyTooLarge                    // body-too-large
	HeaderTooLarge                  // header-too-large
	ClaimUnavailable                // claim-unavailable
	AlreadyClaimed                  // already-claimed
	ServerUnreachable               // server-unreachable
	ServerShed                      // server-shed
	WrongServer                     // wrong-server
	DuplicateID                     // duplicate-id
	Stopping                        // stopping
	VersionMismatch                 // version-mismatch
	Cancelled                       // cancelled
	Internal                        // internal
	PeerUnreachable                 // peer-unreachable
	ProbeBudget                     // probe-budget
	ChangeConflict                  // change-conflict
	ChangeOverridden                // change-overridden
	InvalidConfig                   // invalid-configuration
	PlatformUnavailable             // platform-unavailable
	StaleRevision                   // stale-revision
	Unauthorized                    // unauthorized
	NotFound                        // not-found
	BadSettings                     // bad-settings
	StaleTransit                    // stale-transit
	NoRoute                         // no-route
	OverCap                         // over-cap
	OutOfService                    // out-of-service
	LowPrecedence                   // low-precedence
)

// Outcome says whether a server ran the request.
type Outcome int

// The outcomes. NotRun is reported only when it is certain that no server ran the request.
const (
	Unknown Outcome = iota // unknown
	NotRun                 // not-run
)

// HTTPStatus returns the HTTP status for this code. Error.HTTPStatus also takes the outcome into account.
func (c Code) HTTPStatus() int {
	switch c {
	case None:
		return http.StatusOK
	case BadRequest, InvalidConfig, BadSettings:
		return http.StatusBadRequest
	case Unauthorized:
		return http.StatusUnauthorized
	case UnknownService, NotFound, NoRoute:
		return http.StatusNotFound
	case AlreadyClaimed, DuplicateID, ChangeConflict, ChangeOverridden, StaleRevision:
		return http.StatusConflict
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case HeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case OverCap:
		return http.StatusTooManyRequests
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	case OutcomeUnknown, ResponseTruncated, ServerUnreachable, PeerUnreachable, VersionMismatch:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
