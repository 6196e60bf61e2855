// Package ledger records the attempts that a gate has received, so that each one runs at most once, and so that a router that
// has lost the connection can resolve the outcome of an attempt. It holds the responses for such a resolve.
package ledger

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Limits of the memory and the retention of a ledger.
const (
	MaxAnswerBytes = 64 << 10         // size of one held response; a larger response is not held
	MaxHeldBytes   = 16 << 20         // total size of the held responses
	MaxEntries     = 64 << 10         // number of ended and revoked attempts; above it the oldest ones are removed before Retention
	Retention      = 30 * time.Second // time after which an ended or revoked attempt is removed
	MaxElapsed     = 10 * time.Minute // for an attempt sent longer ago, a missing record does not prove that it never ran
	// watermarkRetention exceeds MaxElapsed, so that a resolve for an attempt whose watermark has expired always has an Elapsed above
	// MaxElapsed. The extra minute allows for the clock drift between hosts.
	watermarkRetention = MaxElapsed + time.Minute
	sweepInterval      = time.Second
	shardCount         = 16
)

// Ledger is the table of the attempts that one gate has received. The zero value is ready for use once Incarnation is set.
type Ledger struct {
	Incarnation ident.Incarnation // of this daemon; an attempt sent to another incarnation resolves to StateUnknown

	shards [shardCount]shard
}

// Running describes a request of which an attempt has begun and not ended.
type Running struct {
	Deadline time.Time
	Class    ident.Class
	Depth    int
}

// Entry refers to an attempt that has begun.
type Entry struct {
	shard  *shard
	record *record
}

// Dump is the state of a ledger, for the state dump.
type Dump struct {
	Running   int
	Ended     int
	Revoked   int
	HeldBytes int
	Routers   int // watermarks, one for each shard and router incarnation of which attempts were removed
}

// Run periodically removes expired records and watermarks until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	clock.Every(ctx, sweepInterval, l.sweep)
	return nil
}

// Begin registers the attempt as running. An attempt whose connection or id is revoked is refused with the outcome NotRun, and a
// duplicate id with the outcome Unknown, since the first attempt with the id may be running or have run.
func (l *Ledger) Begin(peer *proto.Peer, head *proto.Head, deadline time.Time) (Entry, *code.Error) {
	s := l.shardOf(head.ID.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The connection is revoked before Resolve locks the shard. If it is not revoked here, any later resolve therefore finds the
	// attempt running.
	if peer.Revoked() {
		return Entry{}, code.NotRunf(code.Revoked, "connection %d is revoked", peer.Hello.Conn)
	}
	if found := s.find(head.ID); found != nil {
		if found.state == revoked {
			return Entry{}, code.NotRunf(code.Revoked, "attempt %d of %s is revoked", head.ID.Attempt, head.ID.Request)
		}
		return Entry{}, code.Unknownf(code.DuplicateID, "attempt %d of %s was already received", head.ID.Attempt, head.ID.Request)
	}
	r := &record{id: head.ID, state: running, info: Running{Deadline: deadline, Class: head.Class, Depth: head.Depth}}
	s.add(r)
	return Entry{shard: s, record: r}, nil
}

// Answered ends the attempt with the complete response of the server. A nil answer, or one larger than MaxAnswerBytes, is not held: a
// resolve then learns only that the attempt has ended.
func (e Entry) Answered(answer *proto.Answer) {
	e.shard.end(e.record, answer, nil, time.Now())
}

// Failed ends the attempt without a complete response.
func (e Entry) Failed(failure *code.Error) {
	held := &proto.Failure{Code: failure.Code, Outcome: failure.Outcome, Detail: failure.Detail}
	e.shard.end(e.record, nil, held, time.Now())
}

// OnUnneeded sets what is called, at most once and by another goroutine, when a router tells that it needs no response while the attempt is
// running. It must be called before Answered and Failed.
func (e Entry) OnUnneeded(cancel func()) {
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	e.record.cancel = cancel
}

// Ended reports whether Answered or Failed was called.
func (e Entry) Ended() bool {
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	return e.record.state != running
}

// Resolved reports whether a router has sent a resolve for the attempt since it began.
func (e Entry) Resolved() bool {
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	return e.record.resolved
}

// Resolve returns the state of an attempt. An attempt that has certainly not been received is revoked, so that it can no longer run. A
// running one is cancelled if the router needs no response any longer. The caller must have revoked the connection on which the attempt
// was sent, if the request names it.
func (l *Ledger) Resolve(request *proto.Resolve) *proto.Resolution {
	if request.Incarnation != l.Incarnation {
		return &proto.Resolution{State: proto.StateUnknown}
	}
	s := l.shardOf(request.ID.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	found := s.find(request.ID)
	switch {
	case found != nil && request.Done:
		s.dropAnswer(found)
		found.cancelRun()
		return found.resolution()
	case found != nil:
		found.resolved = true
		return found.resolution()
	case request.Elapsed > MaxElapsed, s.mayHaveRemoved(request.ID.Request):
		return &proto.Resolution{State: proto.StateUnknown}
	}
	r := &record{id: request.ID, state: revoked}
	s.add(r)
	s.retire(r, now)
	return r.resolution()
}

// Lookup returns the description of a request while one of its attempts is running.
func (l *Ledger) Lookup(id ident.RequestID) (Running, bool) {
	s := l.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := s.requests[id]; r != nil; r = r.nextAttempt {
		if r.state == running {
			return r.info, true
		}
	}
	return Running{}, false
}

// Dump returns the state of the ledger.
func (l *Ledger) Dump() any {
	var total Dump
	for i := range l.shards {
		l.shards[i].addTo(&total)
	}
	return total
}

func (l *Ledger) sweep(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.expire(now)
		s.expireWatermarks(now)
		s.mu.Unlock()
	}
}

// shardOf returns the shard of a request, which holds all of its attempts.
func (l *Ledger) shardOf(id ident.RequestID) *shard {
	return &l.shards[(id.Seq+uint64(id.Router))%shardCount]
}
