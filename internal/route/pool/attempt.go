package pool

import (
	"net/netip"
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	// maxUnanswered is the maximum number of attempts per server whose waiting time is tracked. Only the oldest ones matter.
	maxUnanswered = 32
	// roundTripDivisor sets the weight of a new sample in the moving average of the round-trip time to 1/8.
	roundTripDivisor = 8
)

type serverState struct {
	inFlight    int // attempts sent and not yet ended
	unacked     int // attempts in flight without an ack, which the server's reports do not include yet
	roundTrip   time.Duration
	nextProbe   time.Time // earliest time of the next probe, as set by the server's last reply or by noReplyDelay
	lastUsed    time.Time
	lastLatency time.Duration // from the server's last report with a latency that was not taken during warm-up
	unanswered  []time.Time   // send times of the timed attempts without an answer, oldest first; at most maxUnanswered
}

// Selection is an attempt that Pick has counted as sent.
type Selection struct {
	Server netip.AddrPort
	SentAt time.Time
	Timed  bool // the answer is expected within the usual latency, unlike that of an upload

	Load  int           // load of the server when it was selected, see View
	Limit int           // 0 when there was no report
	Age   time.Duration // age of the report

	PeerLatency time.Duration // median latency of the other servers, set if the server may be warming up; 0 when unknown
}

// Picker selects a server.
type Picker interface {
	// Pick returns false when no server can be selected. It is called with the service's lock held.
	Pick(snapshot *Snapshot) (netip.AddrPort, bool)
}

// Pick selects a server and counts an attempt as sent to it, so that concurrent selections see each other. Every Pick that
// returns true must be followed by one call of Ended.
func (s *Service) Pick(picker Picker, timed bool) (Selection, bool) {
	s.requests.Add(1)
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{Views: s.currentViews(now), Rand: s.rand, Now: now, service: s}
	server, ok := picker.Pick(&snapshot)
	if !ok {
		return Selection{}, false
	}
	state := s.touch(server, now)
	state.inFlight++
	state.unacked++
	if timed && len(state.unanswered) < maxUnanswered {
		state.unanswered = append(state.unanswered, now)
	}
	if i := s.reportIndex(server); i >= 0 {
		s.reports[i].uses++
	}
	selection := Selection{Server: server, SentAt: now, Timed: timed}
	if v := snapshot.View(server); v == nil || v.Warming {
		selection.PeerLatency = s.medianPeerLatency(server)
	}
	if v := snapshot.View(server); v != nil {
		selection.Load, selection.Limit, selection.Age = v.Load, v.Limit, v.Age
	}
	return selection, true
}

// touch returns the state of a server, which is created on first use, and marks the server as used.
func (s *Service) touch(server netip.AddrPort, now time.Time) *serverState {
	state := s.servers[server]
	if state == nil {
		state = &serverState{}
		s.servers[server] = state
	}
	state.lastUsed = now
	return state
}

// Acked counts the ack of an attempt and stores the report in it.
func (s *Service) Acked(selection Selection, report proto.Report) {
	now := s.pool.now()
	elapsed := now.Sub(selection.SentAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.touch(selection.Server, now)
	state.unacked = max(state.unacked-1, 0)
	if state.roundTrip == 0 {
		state.roundTrip = elapsed
	} else {
		state.roundTrip += (elapsed - state.roundTrip) / roundTripDivisor
	}
	s.addReport(report, now)
}

// Answered counts the response header of an attempt and stores the report in it.
func (s *Service) Answered(selection Selection, report proto.Report) {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch(selection.Server, now).answered(selection)
	s.addReport(report, now)
}

// Ended counts the end of an attempt, whether or not it was acked.
func (s *Service) Ended(selection Selection, acked bool) {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.touch(selection.Server, now)
	state.inFlight = max(state.inFlight-1, 0)
	if !acked {
		state.unacked = max(state.unacked-1, 0)
	}
	state.answered(selection)
}

func (s *serverState) answered(selection Selection) {
	if !selection.Timed {
		return
	}
	if i := slices.Index(s.unanswered, selection.SentAt); i >= 0 {
		s.unanswered = slices.Delete(s.unanswered, i, i+1)
	}
}

// medianPeerLatency returns the median of the last latencies reported by the other servers of the service, or 0 when none is
// known. It is the reference for a server that is warming up, whose own earlier latencies may be those of a cold server.
func (s *Service) medianPeerLatency(except netip.AddrPort) time.Duration {
	var space [MaxReports]time.Duration
	latencies := space[:0]
	for server, state := range s.servers {
		if server != except && state.lastLatency > 0 {
			latencies = append(latencies, state.lastLatency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// RoundTrip returns the moving average of the time from sending an attempt to its ack, or 0 when none was measured.
func (s *Service) RoundTrip(server netip.AddrPort) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.servers[server]; state != nil {
		return state.roundTrip
	}
	return 0
}
