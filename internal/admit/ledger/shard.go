package ledger

import (
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=state -linecomment -output=names.go

type state int

const (
	running state = iota // running
	ended                // ended
	revoked              // revoked
)

// record is the state of one attempt. The mutex of its shard guards it.
type record struct {
	id          ident.AttemptID
	state       state // from running to ended, or revoked from the start; no other transitions
	resolved    bool  // a resolve without Done has found the record
	info        Running
	cancel      func()         // cancels the running attempt; nil if it cannot be cancelled by a resolve
	answer      *proto.Answer  // held response; set only when ended
	failure     *proto.Failure // set only when ended
	endedAt     time.Time      // when the attempt ended or was revoked
	nextAttempt *record        // next attempt of the same request
	nextEnded   *record        // next record in the order of endedAt
}

// watermark is the highest sequence number of a router incarnation whose record a shard has removed.
type watermark struct {
	seq uint64
	at  time.Time // when a record of the router incarnation was last removed
}

type shard struct {
	mu          sync.Mutex
	requests    map[ident.RequestID]*record // head of the list of attempts of each request
	oldestEnded *record                     // head of the list of ended and revoked records, in the order of endedAt
	newestEnded *record
	endedCount  int                             // length of that list
	answered    []*record                       // records whose response was held, oldest first; some responses are already dropped
	heldBytes   int                             // total size of the held responses; at most MaxHeldBytes/shardCount
	watermarks  map[ident.Incarnation]watermark // cover all removed attempts that ran, for watermarkRetention after the removal
}

func (s *shard) find(id ident.AttemptID) *record {
	for r := s.requests[id.Request]; r != nil; r = r.nextAttempt {
		if r.id.Attempt == id.Attempt {
			return r
		}
	}
	return nil
}

func (s *shard) add(r *record) {
	if s.requests == nil {
		s.requests = make(map[ident.RequestID]*record)
		s.watermarks = make(map[ident.Incarnation]watermark)
	}
	r.nextAttempt = s.requests[r.id.Request]
	s.requests[r.id.Request] = r
}

// cancelRun cancels the attempt if it is running. The attempt ends later, by another goroutine.
func (r *record) cancelRun() {
	if r.state == running && r.cancel != nil {
		go r.cancel()
		r.cancel = nil
	}
}

func (s *shard) end(r *record, answer *proto.Answer, failure *proto.Failure, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	r.state, r.cancel = ended, nil
	r.failure = failure
	s.holdAnswer(r, answer)
	s.retire(r, now)
}

// holdAnswer stores the response for a resolve, and drops the oldest held responses to stay within MaxHeldBytes/shardCount.
func (s *shard) holdAnswer(r *record, answer *proto.Answer) {
	if answer == nil || len(answer.Body) > MaxAnswerBytes {
		return
	}
	for len(s.answered) > 0 && s.heldBytes+len(answer.Body) > MaxHeldBytes/shardCount {
		s.dropAnswer(s.answered[0])
		s.answered = s.answered[1:]
	}
	r.answer = answer
	s.heldBytes += len(answer.Body)
	s.answered = append(s.answered, r)
}

// dropAnswer discards the held response of r. The record itself stays.
func (s *shard) dropAnswer(r *record) {
	if r.answer == nil {
		return
	}
	s.heldBytes -= len(r.answer.Body)
	r.answer = nil
}

// retire appends an ended or revoked record to the list of records to remove.
func (s *shard) retire(r *record, now time.Time) {
	r.endedAt = now
	if s.newestEnded == nil {
		s.oldestEnded = r
	} else {
		s.newestEnded.nextEnded = r
	}
	s.newestEnded = r
	s.endedCount++
	for s.endedCount > MaxEntries/shardCount {
		s.removeOldest(now)
	}
}

func (s *shard) expire(now time.Time) {
	for s.oldestEnded != nil && now.Sub(s.oldestEnded.endedAt) >= Retention {
		s.removeOldest(now)
	}
}

// removeOldest removes the record that ended first. It raises the watermark of the router to the sequence number, so that a later
// resolve does not take the missing record as proof that the attempt never ran.
func (s *shard) removeOldest(now time.Time) {
	r := s.oldestEnded
	s.oldestEnded = r.nextEnded
	if s.oldestEnded == nil {
		s.newestEnded = nil
	}
	s.endedCount--
	s.dropAnswer(r)
	for len(s.answered) > 0 && s.answered[0].answer == nil {
		s.answered = s.answered[1:]
	}
	s.remove(r)
	router := r.id.Request.Router
	s.watermarks[router] = watermark{seq: max(s.watermarks[router].seq, r.id.Request.Seq), at: now}
}

func (s *shard) remove(r *record) {
	first := s.requests[r.id.Request]
	if first == r {
		first = r.nextAttempt
	} else {
		for other := first; other != nil; other = other.nextAttempt {
			if other.nextAttempt == r {
				other.nextAttempt = r.nextAttempt
				break
			}
		}
	}
	if first == nil {
		delete(s.requests, r.id.Request)
		return
	}
	s.requests[r.id.Request] = first
}

// mayHaveRemoved reports whether a record of the request may have existed and been removed.
func (s *shard) mayHaveRemoved(id ident.RequestID) bool {
	w, exists := s.watermarks[id.Router]
	return exists && id.Seq <= w.seq
}

func (s *shard) expireWatermarks(now time.Time) {
	for router, w := range s.watermarks {
		if now.Sub(w.at) >= watermarkRetention {
			delete(s.watermarks, router)
		}
	}
}

func (s *shard) addTo(total *Dump) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, first := range s.requests {
		for r := first; r != nil; r = r.nextAttempt {
			switch r.state {
			case running:
				total.Running++
			case ended:
				total.Ended++
			case revoked:
				total.Revoked++
			}
		}
	}
	total.HeldBytes += s.heldBytes
	total.Routers += len(s.watermarks)
}

func (r *record) resolution() *proto.Resolution {
	switch r.state {
	case running:
		return &proto.Resolution{State: proto.StateRunning}
	case revoked:
		return &proto.Resolution{State: proto.StateRevoked}
	}
	if r.answer != nil || r.failure != nil {
		return &proto.Resolution{State: proto.StateFinished, Answer: r.answer, Failure: r.failure}
	}
	failure := &proto.Failure{Code: code.OutcomeUnknown, Outcome: code.Unknown, Detail: "the attempt has ended, but its response is not held"}
	return &proto.Resolution{State: proto.StateFinished, Failure: failure}
}
