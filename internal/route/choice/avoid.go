package choice

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	errorWeight   = 0.2 // weight of the latest result in the moving average of errors
	errorPenalty  = 10  // a server that returns only errors has its latency multiplied by 1 + errorPenalty
	errorsToAvoid = 5   // consecutive errors before a server is avoided; fewer occur by chance at a healthy server
	minAvoid      = time.Second
	maxAvoid      = 20 * time.Second
	// unreachablePeriod is the minimum time for which a server is avoided whose daemon did not accept a connection. The membership
	// detects a dead daemon only later.
	unreachablePeriod = time.Second
	// errorRetention is how long a server's errors count without a new result. If they never expired, a server with a penalty
	// would not be tried again while other servers have free capacity.
	errorRetention = 5 * time.Second
)

// avoidance tracks the failing servers of one service.
type avoidance struct {
	servers map[netip.AddrPort]*serverErrors // only servers with recent errors
}

type serverErrors struct {
	errorShare       float64 // moving average of errors among the results, 0 to 1
	consecutive      int     // consecutive errors; errorsToAvoid-1 after a period of avoidance
	periods          int     // periods of avoidance so far, at most 5; each doubles the next one
	avoidedUntil     time.Time
	unreachableUntil time.Time // not limited to a share of the servers, since nothing can be sent to an unreachable one
	lastResult       time.Time
	reason           string
}

func newAvoidance() avoidance {
	return avoidance{servers: make(map[netip.AddrPort]*serverErrors)}
}

// penalty returns the factor on a server's cost because of its errors, and whether it is avoided.
func (s *serviceState) penalty(server netip.AddrPort, now time.Time) (factor float64, avoided bool) {
	if !s.penalties.Load() {
		return 1, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.avoid.penalty(server, now)
}

// RecordResult records how an attempt ended at a server. Failures of the server and responses with a 5xx status count as
// errors. Refusals do not, because load reports already cover them.
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

// MarkUnreachable makes selections avoid a server for a short time because its daemon took no connection or did not reply.
func (c *Chooser) MarkUnreachable(service string, server netip.AddrPort) {
	s := c.service(service)
	now := c.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.penalties.Store(true)
	known := s.avoid.servers[server]
	if known == nil {
		known = &serverErrors{}
		s.avoid.servers[server] = known
	}
	again := known.unreachableUntil.After(now)
	known.lastResult = now
	known.unreachableUntil = now.Add(unreachablePeriod + rand.N(unreachablePeriod))
	known.reason = "unreachable"
	if !again {
		c.Log.Info("server-unreachable", "service", service, "server", server.String())
	}
}

// MarkReachable ends the effect of MarkUnreachable after the server's daemon has replied on a new connection.
func (c *Chooser) MarkReachable(service string, server netip.AddrPort) {
	s := c.service(service)
	if !s.penalties.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.avoid.servers[server]; known != nil {
		known.unreachableUntil = time.Time{}
	}
}

func (a *avoidance) succeeded(server netip.AddrPort, now time.Time) {
	f := a.servers[server]
	if f == nil {
		return
	}
	f.lastResult = now
	f.consecutive = 0
	f.unreachableUntil = time.Time{}
	f.errorShare *= 1 - errorWeight
	if f.errorShare < 0.01 && !f.avoidedUntil.After(now) {
		delete(a.servers, server)
	}
}

// failed counts an error and returns the period for which the server is avoided from now on, or 0. At most limit servers
// are avoided at once: when more of them fail, a common cause is more likely, and the others could not carry the load.
func (a *avoidance) failed(server netip.AddrPort, now time.Time, reason string, limit int) time.Duration {
	f := a.servers[server]
	if f == nil {
		f = &serverErrors{}
		a.servers[server] = f
	}
	f.lastResult = now
	f.consecutive++
	f.errorShare += (1 - f.errorShare) * errorWeight
	if f.consecutive < errorsToAvoid || f.avoidedUntil.After(now) || a.avoided(now) >= limit {
		return 0
	}
	period := min(minAvoid<<f.periods, maxAvoid)
	period += rand.N(period) // jitter, so that the routers do not resume sending at the same time
	f.periods = min(f.periods+1, 5)
	f.consecutive = errorsToAvoid - 1 // after the period, a single error is enough to avoid the server again
	f.avoidedUntil = now.Add(period)
	f.reason = reason
	return period
}

func (a *avoidance) avoided(now time.Time) int {
	n := 0
	for _, f := range a.servers {
		if f.avoidedUntil.After(now) {
			n++
		}
	}
	return n
}

// penalty returns the factor by which errors raise a server's latency, and whether the server is avoided now.
func (a *avoidance) penalty(server netip.AddrPort, now time.Time) (factor float64, avoided bool) {
	f := a.servers[server]
	if f == nil {
		return 1, false
	}
	if f.avoidedUntil.After(now) || f.unreachableUntil.After(now) {
		return 1, true
	}
	if now.Sub(f.lastResult) > errorRetention+max(f.avoidedUntil.Sub(f.lastResult), 0) {
		delete(a.servers, server)
		return 1, false
	}
	return 1 + errorPenalty*f.errorShare, false
}
