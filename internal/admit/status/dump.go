package status

import "time"

// Dump is the state of the server in the state dump.
type Dump struct {
	ID       string
	Verified string // the last server that is known to run the daemon's service
	Release  string
	Slots    int
	Checked  bool
	Draining bool
	Left     bool
	Healthy  bool
	ColdFor  time.Duration
	WarmAge  time.Duration // time since the last proof that the server is warm
	Pace     int
	LastSent int // requests sent in the last second
}

// Dump returns the state for the state dump.
func (s *Server) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Dump{
		ID: s.id, Verified: s.verified, Release: s.release, Slots: s.slots, Checked: s.checkedIn, Draining: s.draining,
		Left: s.hasLeft(s.id, s.born), Healthy: !s.unhealthy,
		ColdFor: max(0, time.Until(s.coldUntil)), WarmAge: time.Since(s.warmProvenAt), Pace: s.load.Pace, LastSent: len(s.sent),
	}
}
