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

// record is one attempt. The lock of its shard guards it.
type record struct {
	id          ident.AttemptID
	state       state // running to ended, or revoked from the start; never back
	resolved    bool  // a resolve found it
	info        Running
	answer      *proto.Answer  // held response; only when ended
	failure     *proto.Failure // only when ended
	endedAt     time.Time      // when it ended or was revoked
	nextAttempt *record        // another attempt of the same request
	nextEnded   *record        // the next in the order of since
}

// watermark is the highest sequence number that a shard has forgotten of a router incarnation.
type watermark struct {
	seq uint64
	at  time.Time // when an attempt was last forgotten
}

type shard struct {
	mu          sync.Mutex
	requests    map[ident.RequestID]*record // first attempt of each request
	oldestEnded *record                     // records that no longer run, in the order of since
	newestEnded *record
	endedCount  int                             // length of that list
	answered    []*record                       // records that got a held answer, oldest first; some have dropped it
	heldBytes   int                             // bytes of held answers; at most MaxHeld/shards
	watermarks  map[ident.Incarnation]watermark // covers every forgotten attempt that ran, for markFor
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

func (s *shard) end(r *record, answer *proto.Answer, failure *proto.Failure, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	r.state = ended
	r.failure = failure
	s.holdAnswer(r, answer)
	s.retire(r, now)
}

// holdAnswer keeps the answer and drops the oldest held ones that no longer fit.
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

// dropAnswer forgets the answer of r, and keeps that it ended.
func (s *shard) dropAnswer(r *record) {
	if r.answer == nil {
		return
	}
	s.heldBytes -= len(r.answer.Body)
	r.answer = nil
}

// retire puts a record that no longer runs at the end of the list to forget.
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
		s.forgetOldest(now)
	}
}

func (s *shard) expire(now time.Time) {
	for s.oldestEnded != nil && now.Sub(s.oldestEnded.endedAt) >= Retention {
		s.forgetOldest(now)
	}
}

// forgetOldest removes the record that ended first. It marks the sequence number, so that a later resolve does not take
// the absence as proof that the attempt never ran.
func (s *shard) forgetOldest(now time.Time) {
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

func (s *shard) mayHaveForgotten(id ident.RequestID) bool {
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
	failure := &proto.Failure{Code: code.OutcomeUnknown, Outcome: code.Unknown, Detail: "the response is not held"}
	return &proto.Resolution{State: proto.StateFinished, Failure: failure}
}
