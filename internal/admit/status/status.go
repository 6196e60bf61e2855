// Package status tracks the state of the daemon's own backend server: which lifetime runs, and whether it is leaving or cold.
package status

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// silentAfter is the time of three check-ins.
const silentAfter = 5 * time.Second

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

func (s *Server) setDraining(draining bool, reason string) {
	if s.draining == draining {
		return
	}
	s.draining = draining
	s.Log.Info("server-draining", "server", s.id, "draining", draining, "reason", reason)
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
