// Package ledger records the attempts that reached an admission role, so that each runs at most once and its outcome can
// be resolved after its connection went silent.
package ledger

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Bounds of what a ledger keeps.
const (
	MaxAnswerBytes = 64 << 10         // bytes of one held answer; a larger one is not held
	MaxHeldBytes   = 16 << 20         // bytes of all held answers
	MaxEntries     = 64 << 10         // ended attempts; older ones are forgotten early
	Retention      = 30 * time.Second // an ended attempt is forgotten after this
	MaxElapsed     = 10 * time.Minute // an attempt sent longer ago is not answered from absence
	// markFor exceeds MaxElapsed: a resolve for an attempt that an expired mark covered is older than MaxElapsed, and the
	// extra minute allows for clocks of different rates.
	markFor    = MaxElapsed + time.Minute
	sweepEvery = time.Second
	shards     = 16
)

// Ledger is the table of attempts of one admission role. Its zero value is ready, except for Incarnation.
type Ledger struct {
	Incarnation ident.Incarnation // of this daemon; an attempt sent to another one resolves to unknown

	shards [shards]shard
}

// Running describes a request that has begun and not ended.
type Running struct {
	Deadline time.Time
	Class    ident.Class
	Depth    int
}

// Entry is an attempt that has begun.
type Entry struct {
	shard  *shard
	record *record
}

// Dump is the state of a ledger.
type Dump struct {
	Running   int
	Ended     int
	Revoked   int
	HeldBytes int
	Routers   int // router incarnations with a mark of forgotten attempts, counted per shard
}

// Run forgets ended attempts in time until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			l.sweep(now)
		}
	}
}

// Begin registers the attempt as running. It refuses an attempt whose connection or id is revoked as not run; a repeated
// id has an unknown outcome, since the first one may run.
func (l *Ledger) Begin(peer *proto.Peer, head *proto.Head, deadline time.Time) (Entry, *code.Error) {
	s := l.shardOf(head.ID.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	// Resolve revokes the connection before it locks the shard, so a flag that is not set here means that a later
	// resolve finds the attempt running.
	if peer.Revoked() {
		return Entry{}, code.NotRunf(code.Revoked, "connection %d is revoked", peer.Hello.Conn)
	}
	if found := s.find(head.ID); found != nil {
		if found.state == revoked {
			return Entry{}, code.NotRunf(code.Revoked, "attempt %d of %s is revoked", head.ID.Attempt, head.ID.Request)
		}
		return Entry{}, code.Unknownf(code.DuplicateID, "attempt %d of %s came before", head.ID.Attempt, head.ID.Request)
	}
	added := &record{id: head.ID, state: running, info: Running{Deadline: deadline, Class: head.Class, Depth: head.Depth}}
	s.add(added)
	return Entry{shard: s, record: added}, nil
}

// Answered ends the attempt with the server's complete response. A nil answer, or one above the bounds, is not held: a
// resolve then learns only that the attempt ended.
func (e Entry) Answered(answer *proto.Answer) {
	e.shard.end(e.record, answer, nil, time.Now())
}

// Failed ends the attempt without a complete response.
func (e Entry) Failed(failure *code.Error) {
	held := &proto.Failure{Code: failure.Code, Outcome: failure.Outcome, Detail: failure.Detail}
	e.shard.end(e.record, nil, held, time.Now())
}

// Resolved reports whether a router has asked for the attempt since it began.
func (e Entry) Resolved() bool {
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	return e.record.asked
}

// Resolve answers what became of an attempt, and revokes one that was never seen. The caller has revoked the connection
// that the attempt was sent on before.
func (l *Ledger) Resolve(ask *proto.Resolve) *proto.Resolution {
	if ask.Incarnation != l.Incarnation {
		return &proto.Resolution{State: proto.StateUnknown}
	}
	s := l.shardOf(ask.ID.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	found := s.find(ask.ID)
	switch {
	case found != nil && ask.Done:
		s.drop(found)
		return found.resolution()
	case found != nil:
		found.asked = true
		return found.resolution()
	case ask.Done, ask.Elapsed > MaxElapsed, s.forgotten(ask.ID.Request):
		return &proto.Resolution{State: proto.StateUnknown}
	}
	added := &record{id: ask.ID, state: revoked}
	s.add(added)
	s.retire(added, now)
	return added.resolution()
}

// Lookup returns what is known of a request while one of its attempts runs.
func (l *Ledger) Lookup(id ident.RequestID) (Running, bool) {
	s := l.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := s.requests[id]; r != nil; r = r.next {
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
		l.shards[i].count(&total)
	}
	return total
}

func (l *Ledger) sweep(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.expire(now)
		s.expireMarks(now)
		s.mu.Unlock()
	}
}

// shardOf keeps all attempts of a request in one shard.
func (l *Ledger) shardOf(id ident.RequestID) *shard {
	return &l.shards[(id.Seq+uint64(id.Router))%shards]
}
