package choice

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	errorWeight   = 0.2 // weight of the latest result in the share of errors
	errorPenalty  = 10  // factor on the latency of a server whose every result is an error, less 1
	errorsToAvoid = 5   // consecutive errors; fewer occur by chance at a healthy server
	minAvoid      = time.Second
	maxAvoid      = 20 * time.Second
	// darkFor is how long a server is avoided whose daemon did not take a connection. Members learn of a dead daemon later.
	darkFor = time.Second
	// forgetAfter is how long a server's errors count without a new result. Without it a server with a penalty would never
	// be tried again while others have room.
	forgetAfter = 5 * time.Second
)

// avoidance tracks the failing servers of one service.
type avoidance struct {
	servers map[netip.AddrPort]*failing // only servers with recent errors
}

type failing struct {
	share  float64 // recent share of errors
	row    int     // consecutive errors
	rounds int     // times avoided in a row
	until  time.Time
	dark   time.Time // unreachable until then; not bounded by a share, since nothing can be sent there
	last   time.Time
	reason string
}

func newAvoidance() avoidance {
	return avoidance{servers: make(map[netip.AddrPort]*failing)}
}

// RecordResult tells how an attempt ended at a server. An error is a failure of the server or a response with a 5xx status, not
// a refusal: refusals are part of the load reports.
func (c *Chooser) RecordResult(service string, server netip.AddrPort, failed bool, reason string) {
	s := c.service(service)
	if !failed && !s.penalties.Load() {
		return
	}
	l := s.list.Load()
	if l == nil {
		return
	}
	now := c.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		s.avoid.succeeded(server, now)
		s.penalties.Store(len(s.avoid.servers) > 0)
		return
	}
	s.penalties.Store(true)
	period := s.avoid.failed(server, now, reason, len(l.servers)/3)
	if period > 0 {
		c.Log.Info("server-avoided", "service", service, "server", server.String(), "period", period.String(), "reason", reason)
	}
}

// MarkUnreachable tells that no byte of an attempt left for a server.
func (c *Chooser) MarkUnreachable(service string, server netip.AddrPort) {
	s := c.service(service)
	now := c.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.penalties.Store(true)
	known := s.avoid.servers[server]
	if known == nil {
		known = &failing{}
		s.avoid.servers[server] = known
	}
	again := known.dark.After(now)
	known.last = now
	known.dark = now.Add(darkFor + rand.N(darkFor))
	known.reason = "unreachable"
	if !again {
		c.Log.Info("server-unreachable", "service", service, "server", server.String())
	}
}

// MarkReachable tells that the daemon of a server has replied on a new connection.
func (c *Chooser) MarkReachable(service string, server netip.AddrPort) {
	s := c.service(service)
	if !s.penalties.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.avoid.servers[server]; known != nil {
		known.dark = time.Time{}
	}
}

func (a *avoidance) succeeded(server netip.AddrPort, now time.Time) {
	f := a.servers[server]
	if f == nil {
		return
	}
	f.last = now
	f.row = 0
	f.dark = time.Time{}
	f.share *= 1 - errorWeight
	if f.share < 0.01 && !f.until.After(now) {
		delete(a.servers, server)
	}
}

// failed counts an error and returns the period for which the server is avoided from now on, or 0. At most limit servers
// are avoided at once: when more fail, the cause is more likely shared, and the rest could not carry the load.
func (a *avoidance) failed(server netip.AddrPort, now time.Time, reason string, limit int) time.Duration {
	f := a.servers[server]
	if f == nil {
		f = &failing{}
		a.servers[server] = f
	}
	f.last = now
	f.row++
	f.share += (1 - f.share) * errorWeight
	if f.row < errorsToAvoid || f.until.After(now) || a.avoided(now) >= limit {
		return 0
	}
	period := min(minAvoid<<f.rounds, maxAvoid)
	period += rand.N(period) // jitter, so that the routers do not return together
	f.rounds = min(f.rounds+1, 5)
	f.row = errorsToAvoid - 1 // one more error after the period avoids it again
	f.until = now.Add(period)
	f.reason = reason
	return period
}

func (a *avoidance) avoided(now time.Time) int {
	n := 0
	for _, f := range a.servers {
		if f.until.After(now) {
			n++
		}
	}
	return n
}

// penalty returns the factor on a server's latency, and whether the server is avoided.
func (a *avoidance) penalty(server netip.AddrPort, now time.Time) (factor float64, avoided bool) {
	f := a.servers[server]
	if f == nil {
		return 1, false
	}
	if f.until.After(now) || f.dark.After(now) {
		return 1, true
	}
	if now.Sub(f.last) > forgetAfter+max(f.until.Sub(f.last), 0) {
		delete(a.servers, server)
		return 1, false
	}
	return 1 + errorPenalty*f.share, false
}
