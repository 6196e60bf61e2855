// Package status keeps what a daemon knows of the server beside it: which one runs, whether it leaves and whether it is cold.
package status

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

const (
	// warmFor is how long a health response proves that the server is warm. It can turn cold right after it.
	warmFor = 300 * time.Millisecond
	// coldRateShare is the part of the rate that a cold server bears which it gets when it is known to be cold.
	coldRateShare = 1.0
	// unsureRateShare is the same while it may have turned cold unnoticed.
	unsureRateShare = 1.3
	// askShare is the part of the bound above which a new health response is asked for, before the bound holds requests.
	askShare = 0.5
	second   = time.Second
)

// CheckIn is what a server says of itself.
type CheckIn struct {
	ID       string
	Service  string
	Slots    int
	Draining bool
	ColdFor  time.Duration // how long it stays cold
	Sequence uint64        // rises within a lifetime
	Born     time.Time     // start of the lifetime by the server's own clock
}

// Server is the state of the own server. Its fields are set before the first use.
type Server struct {
	Service    string
	ColdRate   func() float64 // requests per second that it bears when cold; 0 when unknown
	PollHealth func()         // asks for a health response soon; does not block
	Log        logr.Logger

	mu        sync.Mutex
	id        string // empty before the first check-in or health response
	born      time.Time
	sequence  uint64
	slots     int
	checked   bool // a check-in has told about this lifetime
	draining  bool
	left      bool
	healthBad bool      // the last health response refused
	coldUntil time.Time // zero when warm
	warmAt    time.Time // of the last health response that told the server is warm
	load      hdrs.Load
	loadAt    time.Time
	sent      []time.Time // requests of the last second, oldest first
}

// CheckIn takes in what the server says. A check-in of an earlier lifetime, or one that was overtaken, changes nothing.
func (s *Server) CheckIn(c CheckIn) error {
	if c.ID == "" || c.Service != s.Service {
		return code.NotRunf(code.WrongServer, "check-in of %q for service %q: this daemon's server carries %s", c.ID, c.Service, s.Service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := c.Born.After(s.born) || s.born.IsZero()
	switch {
	case c.ID != s.id && !newer && !s.born.IsZero(), c.Born.Before(s.born):
		return code.NotRunf(code.WrongServer, "check-in of %q from an earlier lifetime", c.ID)
	case c.ID != s.id || newer && s.checked:
		s.begin(c.ID)
	case s.checked && c.Sequence <= s.sequence:
		return nil
	}
	s.checked = true
	s.born = c.Born
	s.sequence = c.Sequence
	if c.Slots > 0 {
		s.slots = c.Slots
	}
	s.setDraining(c.Draining, "check-in")
	if c.ColdFor > 0 {
		s.cold(time.Now().Add(c.ColdFor), "check-in")
	}
	return nil
}

// begin starts a lifetime.
func (s *Server) begin(id string) {
	s.Log.Info("server-lifetime", "server", id, "before", s.id)
	s.id, s.sequence, s.born = id, 0, time.Time{}
	s.checked, s.draining, s.left, s.healthBad = false, false, false, false
	s.coldUntil, s.warmAt = time.Time{}, time.Time{}
}

// Leave takes in that the server with the id has left or is about to. Another id is one that runs no more.
func (s *Server) Leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == "" {
		s.begin(id)
	}
	if id == s.id && !s.left {
		s.left = true
		s.Log.Info("server-left", "server", id)
	}
}

// Restore takes in that an earlier process of this daemon has acknowledged the departure of a lifetime. A later lifetime under the same
// identity is told from it by its check-in.
func (s *Server) Restore(id string, born time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != "" && s.id != id || s.checked && !s.born.Equal(born) {
		return
	}
	if s.id == "" {
		s.begin(id)
	}
	s.born, s.checked, s.left = born, !born.IsZero(), true
	s.Log.Info("server-left", "server", id, "reason", "restored")
}

// Departure returns the lifetime that leaves or has left, and false while there is none.
func (s *Server) Departure() (id string, born time.Time, departing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.born, s.draining || s.left
}

func (s *Server) setDraining(draining bool, reason string) {
	if s.draining == draining {
		return
	}
	s.draining = draining
	s.Log.Info("server-draining", "server", s.id, "draining", draining, "reason", reason)
}

func (s *Server) cold(until time.Time, reason string) {
	s.warmAt = time.Time{}
	if s.coldUntil.IsZero() {
		s.Log.Info("server-cold", "server", s.id, "for", time.Until(until), "reason", reason)
	}
	s.coldUntil = until
}

// Health is a response of the server's health endpoint.
type Health struct {
	ID      string
	Healthy bool
	ColdFor time.Duration
}

// SetHealth takes in a health response that was asked for at the time.
func (s *Server) SetHealth(h Health, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.ID != "" && h.ID != s.id {
		s.begin(h.ID)
	}
	if s.healthBad == h.Healthy {
		s.Log.Info("server-health-changed", "server", s.id, "healthy", h.Healthy)
	}
	s.healthBad = !h.Healthy
	if h.ColdFor > 0 {
		s.cold(asked.Add(h.ColdFor), "health")
		return
	}
	if !s.coldUntil.IsZero() {
		s.Log.Info("server-warm", "server", s.id)
	}
	s.coldUntil = time.Time{}
	s.warmAt = asked
}

// DropWarmProof drops the knowledge that the server is warm: a connection to it has failed, so it may have started again.
func (s *Server) DropWarmProof() {
	s.mu.Lock()
	s.warmAt = time.Time{}
	s.mu.Unlock()
	s.PollHealth()
}

// SetLoad takes in the load that the server tells.
func (s *Server) SetLoad(load hdrs.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt = load, time.Now()
	s.slots = load.Slots
}

// Identity returns the identity that the server must have to run a request, or empty before it is known.
func (s *Server) Identity() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Slots returns how many requests the server runs at once, or 0 before it is known.
func (s *Server) Slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots
}

// Pace returns the last pace that the server told, in percent.
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

// Refusing tells why the server gets no new work, or nil. Health that refuses counts only while no check-in has told about
// this lifetime: the endpoint can misreport, and a daemon that has just started knows nothing else.
func (s *Server) Refusing() *code.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.id == "":
		return code.NotRunf(code.NoServer, "it is not known yet which server runs here")
	case s.left:
		return code.NotRunf(code.ServerLeaving, "server %s has left", s.id)
	case s.draining:
		return code.NotRunf(code.ServerLeaving, "server %s is draining", s.id)
	case s.healthBad && !s.checked:
		return code.NotRunf(code.ServerLeaving, "server %s is not healthy and has not checked in", s.id)
	}
	return nil
}

// Departing reports whether the server leaves or has left.
func (s *Server) Departing() bool {
	refused := s.Refusing()
	return refused != nil && refused.Code == code.ServerLeaving
}

// Take reports whether a request may be sent now and counts it as sent. Unless the server is known to be warm, all requests
// of any second stay within the rate that a cold server bears.
func (s *Server) Take(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	drop := 0
	for drop < len(s.sent) && now.Sub(s.sent[drop]) > second {
		drop++
	}
	s.sent = append(s.sent[:0], s.sent[drop:]...)
	bound, limited := s.bound(now)
	if limited && len(s.sent) >= bound {
		return false
	}
	s.sent = append(s.sent, now)
	return true
}

// bound returns the number of requests in any second and whether it holds now.
func (s *Server) bound(now time.Time) (int, bool) {
	rate := s.ColdRate()
	if rate <= 0 {
		return 0, false
	}
	if now.Before(s.coldUntil) {
		return max(1, int(rate*coldRateShare)), true
	}
	bound := max(1, int(rate*unsureRateShare))
	age := now.Sub(s.warmAt)
	if float64(len(s.sent)) > askShare*float64(bound) && age > warmFor/2 {
		s.PollHealth()
	}
	return bound, age > warmFor
}

// Dump is the state of the own server.
type Dump struct {
	ID       string
	Slots    int
	Checked  bool
	Draining bool
	Left     bool
	Healthy  bool
	ColdFor  time.Duration
	WarmAge  time.Duration // since the last proof that it is warm
	Pace     int
	LastSent int // requests of the last second
}

// Dump returns the state for the state dump.
func (s *Server) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Dump{
		ID: s.id, Slots: s.slots, Checked: s.checked, Draining: s.draining, Left: s.left, Healthy: !s.healthBad,
		ColdFor: max(0, time.Until(s.coldUntil)), WarmAge: time.Since(s.warmAt), Pace: s.load.Pace, LastSent: len(s.sent),
	}
}
