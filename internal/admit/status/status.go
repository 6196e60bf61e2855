// Package status tracks the state of the daemon's own backend server: which lifetime runs, and whether it is leaving or cold.
package status

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

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
	// silentAfter is the time of three check-ins.
	silentAfter = 5 * time.Second
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

// Server is the state of the daemon's own server. Its exported fields are set before the first use.
type Server struct {
	Service    string
	ColdRate   func() float64  // requests per second that the server can take when cold; 0 when unknown
	OnLoad     func(hdrs.Load) // called with each load that the server reports; may be nil
	OnVerified func(id string) // called when a server other than the last one is known to run Service; may be nil
	PollHealth func()          // requests a health poll ahead of schedule; does not block
	Log        logr.Logger

	mu           sync.Mutex
	id           string // of the server that answers at the address; empty before the first check-in or health response
	verified     string // of the last server that is known to run Service, which need not be the present one; empty if none is
	born         time.Time
	sequence     uint64
	release      string // of the present lifetime, by its last check-in
	slots        int
	checkedIn    bool      // the server has checked in during this lifetime
	heardAt      time.Time // last check-in that was accepted
	draining     bool
	departed     map[string]time.Time // by id, the latest start of a lifetime whose departure is known; zero if it is not known
	unhealthy    bool                 // the last health response reported an unhealthy server
	polled       bool                 // a health response of this lifetime has arrived
	awaiting     time.Time            // start of this process, while it may lack a departure that an earlier one acknowledged; else zero
	coldUntil    time.Time            // zero when warm
	warmProvenAt time.Time            // when the last poll that found the server warm was sent; zero without proof
	load         hdrs.Load
	loadAt       time.Time
	sent         []time.Time // when the requests of the last second were sent, oldest first
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

func (s *Server) setDraining(draining bool, reason string) {
	if s.draining == draining {
		return
	}
	s.draining = draining
	s.Log.Info("server-draining", "server", s.id, "draining", draining, "reason", reason)
}

func (s *Server) markCold(until time.Time, reason string) {
	s.warmProvenAt = time.Time{}
	if s.coldUntil.IsZero() {
		s.Log.Info("server-cold", "server", s.id, "for", time.Until(until), "reason", reason)
	}
	s.coldUntil = until
}

// Health is a response from the server's health endpoint.
type Health struct {
	ID      string
	Healthy bool
	ColdFor time.Duration
}

// SetHealth updates the state from the response to a health poll that was sent at polledAt.
func (s *Server) SetHealth(h Health, polledAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.ID != "" && h.ID != s.id {
		s.startLifetime(h.ID)
	}
	if s.unhealthy == h.Healthy {
		s.Log.Info("server-health-changed", "server", s.id, "healthy", h.Healthy)
	}
	s.unhealthy, s.polled = !h.Healthy, true
	if h.ColdFor > 0 {
		s.markCold(polledAt.Add(h.ColdFor), "health")
		return
	}
	if !s.coldUntil.IsZero() {
		s.Log.Info("server-warm", "server", s.id)
	}
	s.coldUntil = time.Time{}
	s.warmProvenAt = polledAt
}

// DropWarmProof discards the proof that the server is warm and requests a health poll. It is called after a connection to the
// server has failed or another server has answered, since the server may have restarted.
func (s *Server) DropWarmProof() {
	s.mu.Lock()
	s.warmProvenAt = time.Time{}
	s.mu.Unlock()
	s.PollHealth()
}

// SetLoad updates the state from the load that the server reports.
func (s *Server) SetLoad(load hdrs.Load) {
	s.mu.Lock()
	s.load, s.loadAt = load, time.Now()
	s.slots = load.Slots
	s.mu.Unlock()
	if s.OnLoad != nil {
		s.OnLoad(load)
	}
}

// Release returns the release of the server's software, or the empty string before the first check-in of its lifetime.
func (s *Server) Release() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.release
}

// Silent reports whether the server has ceased to check in.
func (s *Server) Silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkedIn && time.Since(s.heardAt) > silentAfter
}

// Slots returns how many requests the server runs at once, or 0 while unknown.
func (s *Server) Slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots
}

// Pace returns the last reported pace: the time that work takes on the server's instance, in percent of the usual time.
func (s *Server) Pace() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadAt.IsZero() {
		return hdrs.NormalPace
	}
	return s.load.Pace
}

// Cold reports whether the server is known to be cold.
func (s *Server) Cold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.coldUntil)
}

// Refusing returns the reason why the server gets no new work, or nil. An unhealthy response counts only until the first
// check-in of the lifetime: the endpoint can misreport, but a daemon that has just started knows nothing else. While a departure may be
// unknown, the check-in may be from before it, and counts only together with a healthy response.
func (s *Server) Refusing() *code.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.id == "":
		return code.NotRunf(code.NoServer, "the daemon's server is not known yet: no check-in or health response")
	case s.hasLeft(s.id, s.born):
		return code.NotRunf(code.ServerLeaving, "server %s has left", s.id)
	case s.draining:
		return code.NotRunf(code.ServerLeaving, "server %s is draining", s.id)
	case s.unhealthy && !s.checkedIn:
		return code.NotRunf(code.ServerLeaving, "server %s is not healthy and has not checked in", s.id)
	case s.id != s.verified:
		return code.NotRunf(code.NoServer, "server %s has not checked in for service %s", s.id, s.Service)
	case s.unhealthy && !s.awaiting.IsZero():
		return code.NotRunf(code.ServerLeaving, "server %s is not healthy, and may have left before the daemon's start", s.id)
	case !s.polled && !s.awaiting.IsZero():
		return code.NotRunf(code.NoServer, "server %s may have left before the daemon's start", s.id)
	}
	return nil
}

// Departing reports whether the server is leaving or has left.
func (s *Server) Departing() bool {
	refused := s.Refusing()
	return refused != nil && refused.Code == code.ServerLeaving
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
