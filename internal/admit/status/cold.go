package status

import "time"

const (
	// warmProofTTL is how long a health response counts as proof that the server is warm. It is short because the server can
	// turn cold right after the response.
	warmProofTTL = 300 * time.Millisecond
	// coldShare is the share of the cold rate that is sent to a server known to be cold.
	coldShare = 1.0
	// unprovenShare is the share of the cold rate that is sent while nothing proves that the server is still warm.
	unprovenShare = 1.3
	// pollShare is the share of the rate limit above which a health poll is requested, so that the proof is renewed before
	// the limit delays requests.
	pollShare  = 0.5
	rateWindow = time.Second
)

func (s *Server) markCold(until time.Time, reason string) {
	s.warmProvenAt = time.Time{}
	if s.coldUntil.IsZero() {
		s.Log.Info("server-cold", "server", s.id, "for", time.Until(until), "reason", reason)
	}
	s.coldUntil = until
}

// DropWarmProof discards the proof that the server is warm and requests a health poll. It is called after a connection to the
// server has failed or another server has answered, since the server may have restarted.
func (s *Server) DropWarmProof() {
	s.mu.Lock()
	s.warmProvenAt = time.Time{}
	s.mu.Unlock()
	s.PollHealth()
}

// Cold reports whether the server is known to be cold.
func (s *Server) Cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.coldUntil)
}

// Take reports whether a request may be sent now, and counts it as sent if so. Unless the server is proven to be warm, the
// requests within any second stay within the rate limit.
func (s *Server) Take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	expired := 0
	for expired < len(s.sent) && now.Sub(s.sent[expired]) > rateWindow {
		expired++
	}
	s.sent = append(s.sent[:0], s.sent[expired:]...)
	bound, limited := s.rateLimit(now)
	if limited && len(s.sent) >= bound {
		return false
	}
	s.sent = append(s.sent, now)
	return true
}

// rateLimit returns the limit on the requests within any second, and whether it applies now. It requests a health poll when
// the proof that the server is warm is about to expire and the requests come near the limit.
func (s *Server) rateLimit(now time.Time) (int, bool) {
	rate := s.ColdRate()
	if rate <= 0 {
		return 0, false
	}
	if now.Before(s.coldUntil) {
		return max(1, int(rate*coldShare)), true
	}
	bound := max(1, int(rate*unprovenShare))
	age := now.Sub(s.warmProvenAt)
	if float64(len(s.sent)) > pollShare*float64(bound) && age > warmProofTTL/2 {
		s.PollHealth()
	}
	return bound, age > warmProofTTL
}
