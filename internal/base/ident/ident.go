// Package ident defines the identities that travel between daemons: incarnations, request ids, classes and call contexts.
package ident

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Class -linecomment -output=names.go

// ContextHeader carries the call context to a server, which copies it to its own calls.
const ContextHeader = "Marigoldwinch-Context"

// MaxDepth limits the length of a call chain, which stops endless loops between services.
const MaxDepth = 32

// Incarnation identifies one run of a daemon. A later run of the same daemon has a higher incarnation.
type Incarnation uint64

// incarnationRandomBits is the number of low random bits, which distinguish two starts in the same millisecond.
const incarnationRandomBits = 20

// NewIncarnation returns an incarnation from the start time, with random low bits.
func NewIncarnation(start time.Time) Incarnation {
	low := rand.Uint64N(1 << incarnationRandomBits)
	return Incarnation(uint64(start.UnixMilli())<<incarnationRandomBits | low)
}

// Start returns the time at which the daemon started, by its own clock.
func (i Incarnation) Start() time.Time {
	return time.UnixMilli(int64(i >> incarnationRandomBits))
}

// RequestID identifies a request over all its attempts.
type RequestID struct {
	Router Incarnation // the router that accepted the request
	Seq    uint64      // increases by one per request of that router
}

// String returns the id in the form that headers and logs use.
func (id RequestID) String() string {
	return strconv.FormatUint(uint64(id.Router), 16) + "-" + strconv.FormatUint(id.Seq, 16)
}

// ParseRequestID reads the form that String writes.
func ParseRequestID(text string) (RequestID, error) {
	router, seq, found := strings.Cut(text, "-")
	if !found {
		return RequestID{}, errors.Newf("request id %q has no separator", text)
	}
	high, err := strconv.ParseUint(router, 16, 64)
	if err != nil {
		return RequestID{}, errors.Wrapf(err, "request id %q", text)
	}
	low, err := strconv.ParseUint(seq, 16, 64)
	if err != nil {
		return RequestID{}, errors.Wrapf(err, "request id %q", text)
	}
	return RequestID{Router: Incarnation(high), Seq: low}, nil
}

// AttemptID identifies one attempt of a request. A router sends each attempt at most once.
type AttemptID struct {
	Request RequestID
	Attempt uint32 // starts at 1
}

// Class is the priority class of a request; admission orders its queue by it.
type Class int

// The classes in the order of their priority in the queue, highest first.
const (
	Check  Class = iota // check
	Lookup              // lookup
	Write               // write
	Upload              // upload
)

// Classes is the number of classes.
const Classes = int(Upload) + 1

// ParseClass reads the name of a class.
func ParseClass(text string) (Class, error) {
	for class := Check; class <= Upload; class++ {
		if class.String() == text {
			return class, nil
		}
	}
	return Lookup, errors.Newf("unknown class %q: want check, lookup, write or upload", text)
}

// CallContext is what a request passes on to the nested calls made on its behalf.
type CallContext struct {
	Request RequestID
	Depth   int // number of nested calls; 0 for a request from outside
	Class   Class
}

// String returns the value of ContextHeader.
func (c CallContext) String() string {
	text := make([]byte, 0, 64) // the longest text has 43 bytes, so that append never allocates again
	text = strconv.AppendUint(text, uint64(c.Request.Router), 16)
	text = append(text, '-')
	text = strconv.AppendUint(text, c.Request.Seq, 16)
	text = append(text, ';')
	text = strconv.AppendInt(text, int64(c.Depth), 10)
	text = append(text, ';')
	return string(append(text, c.Class.String()...))
}

// ParseCallContext reads the value of ContextHeader.
func ParseCallContext(text string) (CallContext, error) {
	parts := strings.Split(text, ";")
	if len(parts) != 3 {
		return CallContext{}, errors.Newf("call context %q: want 3 parts", text)
	}
	id, err := ParseRequestID(parts[0])
	if err != nil {
		return CallContext{}, errors.Wrap(err, "call context")
	}
	depth, err := strconv.Atoi(parts[1])
	if err != nil || depth < 0 || depth > MaxDepth {
		return CallContext{}, errors.Newf("call context %q: depth must be 0 to %d", text, MaxDepth)
	}
	class, err := ParseClass(parts[2])
	if err != nil {
		return CallContext{}, errors.Wrap(err, "call context")
	}
	return CallContext{Request: id, Depth: depth, Class: class}, nil
}
