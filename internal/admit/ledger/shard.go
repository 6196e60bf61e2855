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
	id      ident.AttemptID
	state   state // running to ended, or revoked from the start; never back
	asked   bool  // a resolve found it
	info    Running
	answer  *proto.Answer  // held response; only when ended
	failure *proto.Failure // only when ended
	since   time.Time      // when it ended or was revoked
	next    *record        // another attempt of the same request
	younger *record        // the next in the order of since
}

// mark is the highest sequence number that a shard has forgotten of a router incarnation.
type mark struct {
	seq uint64
	at  time.Time // when an attempt was last forgotten
}

type shard struct {
	mu       sync.Mutex
	requests map[ident.RequestID]*record // first attempt of each request
	oldest   *record                     // records that no longer run, in the order of since
	youngest *record
	retired  int                        // length of that list
	holding  []*record                  // records that got a held answer, oldest first; some have dropped it
	held     int                        // bytes of held answers; at most MaxHeld/shards
	marks    map[ident.Incarnation]mark // covers every forgotten attempt that ran, for markFor
}

func (s *shard) find(id ident.AttemptID) *record {
	for r := s.requests[id.Request]; r != nil; r = r.next {
		if r.id.Attempt == id.Attempt {
			return r
		}
	}
	return nil
}

func (s *shard) add(r *record) {
	if s.requests == nil {
		s.requests = make(map[ident.RequestID]*record)
		s.marks = make(map[ident.Incarnation]mark)
	}
	r.next = s.requests[r.id.Request]
	s.requests[r.id.Request] = r
}

func (s *shard) end(r *record, answer *proto.Answer, failure *proto.Failure, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	r.state = ended
	r.failure = failure
	s.hold(r, answer)
	s.retire(r, now)
}

// hold keeps the answer and drops the oldest held ones that no longer fit.
func (s *shard) hold(r *record, answer *proto.Answer) {
	if answer == nil || len(answer.Body) > MaxAnswerBytes {
		return
	}
	for len(s.holding) > 0 && s.held+len(answer.Body) > MaxHeldBytes/shards {
		s.drop(s.holding[0])
		s.holding = s.holding[1:]
	}
	r.answer = answer
	s.held += len(answer.Body)
	s.holding = append(s.holding, r)
}

// drop forgets the answer of r, and keeps that it ended.
func (s *shard) drop(r *record) {
	if r.answer == nil {
		return
	}
	s.held -= len(r.answer.Body)
	r.answer = nil
}

// retire puts a record that no longer runs at the end of the list to forget.
func (s *shard) retire(r *record, now time.Time) {
	r.since = now
	if s.youngest == nil {
		s.oldest = r
	} else {
		s.youngest.younger = r
	}
	s.youngest = r
	s.retired++
	for s.retired > MaxEntries/shards {
		s.forgetOldest(now)
	}
}

func (s *shard) expire(now time.Time) {
	for s.oldest != nil && now.Sub(s.oldest.since) >= Retention {
		s.forgetOldest(now)
	}
}

// forgetOldest removes the record that ended first. It marks the sequence number, so that a later resolve does not take
// the absence as proof that the attempt never ran.
func (s *shard) forgetOldest(now time.Time) {
	r := s.oldest
	s.oldest = r.younger
	if s.oldest == nil {
		s.youngest = nil
	}
	s.retired--
	s.drop(r)
	for len(s.holding) > 0 && s.holding[0].answer == nil {
		s.holding = s.holding[1:]
	}
	s.remove(r)
	router := r.id.Request.Router
	s.marks[router] = mark{seq: max(s.marks[router].seq, r.id.Request.Seq), at: now}
}

func (s *shard) remove(r *record) {
	first := s.requests[r.id.Request]
	if first == r {
		first = r.next
	} else {
		for other := first; other != nil; other = other.next {
			if other.next == r {
				other.next = r.next
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

func (s *shard) forgotten(id ident.RequestID) bool {
	m, marked := s.marks[id.Router]
	return marked && id.Seq <= m.seq
}

func (s *shard) expireMarks(now time.Time) {
	for router, m := range s.marks {
		if now.Sub(m.at) >= markFor {
			delete(s.marks, router)
		}
	}
}

func (s *shard) count(total *Dump) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, first := range s.requests {
		for r := first; r != nil; r = r.next {
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
	total.HeldBytes += s.held
	total.Routers += len(s.marks)
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
