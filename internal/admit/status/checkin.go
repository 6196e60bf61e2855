package status

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// CheckIn is the periodic report of a server about itself. A lifetime is the time from one start of the server to its next.
type CheckIn struct {
	ID       string
	Service  string
	Slots    int
	Draining bool
	ColdFor  time.Duration // time for which it stays cold; 0 when it is not cold
	Sequence uint64        // rises within a lifetime
	Born     time.Time     // start of the lifetime by the server's own clock
	Release  string        // of the server's software; empty when unknown
}

// Bounds of an accepted check-in.
const (
	maxSlots    = 100000
	maxColdFor  = time.Hour
	maxSequence = 1 << 53
	maxRelease  = 200 // bytes
)

// maxBorn is the latest accepted start of a lifetime, in the year 2248. A server's clock may be fast.
var maxBorn = time.UnixMilli(1 << 43)

// check returns an error if the numbers of the check-in cannot be true. One of another writer would otherwise hide all later check-ins of
// the server.
func (c CheckIn) check() error {
	if c.Slots < 0 || c.Slots > maxSlots || c.ColdFor < 0 || c.ColdFor > maxColdFor || c.Sequence > maxSequence || c.Born.After(maxBorn) ||
		len(c.Release) > maxRelease {
		return code.NotRunf(code.BadRequest, "check-in of %q with a number out of range: %d slots, cold for %s, sequence %d, born %s",
			c.ID, c.Slots, c.ColdFor, c.Sequence, c.Born)
	}
	return nil
}

// CheckIn updates the state from a check-in. It rejects one of an earlier lifetime, and ignores one that arrives after a later
// one of the same lifetime.
func (s *Server) CheckIn(c CheckIn) error {
	verified, err := s.applyCheckIn(c)
	if verified && s.OnVerified != nil {
		s.OnVerified(c.ID)
	}
	return err
}

// applyCheckIn reports whether the check-in has verified another server than the last one.
func (s *Server) applyCheckIn(c CheckIn) (verified bool, err error) {
	if c.ID == "" || c.Service != s.Service {
		return false, code.NotRunf(code.WrongServer, "check-in of %q for service %q: this daemon's server runs service %s",
			c.ID, c.Service, s.Service)
	}
	if err := c.check(); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLifetime(c); err != nil {
		return false, err
	}
	switch {
	case s.beginsLifetime(c):
		s.startLifetime(c.ID)
	case s.checkedIn && c.Sequence <= s.sequence:
		return false, nil
	}
	verified = s.verify(c.ID)
	s.checkedIn, s.heardAt = true, time.Now()
	s.checkHistory(c.Born)
	s.born = c.Born
	s.sequence = c.Sequence
	s.release = c.Release
	if c.Slots > 0 {
		s.slots = c.Slots
	}
	s.setDraining(c.Draining, "check-in")
	if c.ColdFor > 0 {
		s.markCold(time.Now().Add(c.ColdFor), "check-in")
	}
	return verified, nil
}

// checkLifetime returns an error if the check-in is of an earlier lifetime than the present one.
func (s *Server) checkLifetime(c CheckIn) error {
	another := c.ID != s.id
	switch {
	case c.Born.Before(s.born), another && !s.born.IsZero() && !c.Born.After(s.born):
		return code.NotRunf(code.WrongServer, "check-in of %q from an earlier lifetime", c.ID)
	case another && s.id != "" && s.hasLeft(c.ID, c.Born):
		return code.NotRunf(code.WrongServer, "check-in of %q, which has left, while %q is at the address", c.ID, s.id)
	}
	return nil
}

// beginsLifetime reports whether the check-in is the first one of a lifetime that is not the present one.
func (s *Server) beginsLifetime(c CheckIn) bool {
	later := c.Born.After(s.born) || s.born.IsZero()
	return c.ID != s.id || later && s.checkedIn || s.hasLeft(c.ID, s.born) && !s.hasLeft(c.ID, c.Born)
}

// startLifetime resets the state for a new lifetime.
func (s *Server) startLifetime(id string) {
	s.Log.Info("server-lifetime", "server", id, "before", s.id)
	s.id, s.sequence, s.born = id, 0, time.Time{}
	s.checkedIn, s.draining, s.unhealthy, s.polled = false, false, false, false
	s.coldUntil, s.warmProvenAt = time.Time{}, time.Time{}
	s.release = ""
}
