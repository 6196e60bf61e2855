package status

import "time"

// maxDeparted bounds the ids whose departures are remembered. Only the latest servers at the address can still be heard of.
const maxDeparted = 16

// Leave records that the server with the id has left or is about to leave. The message tells no start. Where no check-in of this process
// has told it either, the departure is of a lifetime that began before now. A server that is not the present one may become present yet.
func (s *Server) Leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == "" {
		s.startLifetime(id)
	}
	latest := s.born
	if id != s.id || !s.checkedIn {
		latest = time.UnixMilli(time.Now().UnixMilli()) // stores and peers keep milliseconds
	}
	s.depart(id, latest, "leave")
}

// Restore records that an earlier process of this daemon has acknowledged the departure of a lifetime that began at born or before. A later
// lifetime with the same id is distinguished by the start time in its check-in. A departure without a start lasts until a check-in.
func (s *Server) Restore(id string, born time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == "" {
		s.startLifetime(id)
	}
	s.depart(id, born, "restored")
}

// depart records the departure of the lifetimes of the id that began at latest or before.
func (s *Server) depart(id string, latest time.Time, reason string) {
	before, known := s.departed[id]
	if known && !latest.After(before) {
		return
	}
	if s.departed == nil {
		s.departed = make(map[string]time.Time)
	}
	if !known && len(s.departed) >= maxDeparted {
		s.forgetEarliestDeparture()
	}
	s.departed[id] = latest
	s.Log.Info("server-left", "server", id, "born", latest, "present", s.id, "reason", reason)
}

func (s *Server) forgetEarliestDeparture() {
	earliest := ""
	for id, latest := range s.departed {
		if earliest == "" || latest.Before(s.departed[earliest]) {
			earliest = id
		}
	}
	delete(s.departed, earliest)
}

// hasLeft reports whether the lifetime has left or is about to. One whose start is not known counts as departed if any of its id has.
func (s *Server) hasLeft(id string, born time.Time) bool {
	latest, known := s.departed[id]
	return known && (born.IsZero() || !born.After(latest))
}

// Departure returns the current server, and whether it is leaving or has left. In that case born is the latest start of a lifetime that
// the departure covers, and otherwise the start of the current one; zero when the server tells none.
func (s *Server) Departure() (id string, born time.Time, departing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasLeft(s.id, s.born) {
		return s.id, s.departed[s.id], true
	}
	return s.id, s.born, s.draining
}
