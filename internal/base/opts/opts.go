// Package opts reads the settings of a daemon from an INI file and validates every key.
package opts

import (
	"log/slog"
	"net/netip"
	"reflect"
	"time"
)

// Settings are the settings of a daemon. A value is never modified after it was read; Reloader replaces it as a whole.
type Settings struct {
	Name    string // of the instance, for logs; may be empty
	Service string // the service that the server beside the daemon runs
	Zone    string
	Region  string

	Callers        netip.AddrPort // where callers connect
	Daemons        netip.AddrPort // where other daemons connect; identifies this daemon
	Admin          netip.AddrPort // administration API; needs AdminTokenFile unless it is loopback
	AdminTokenFile string         // file with the administration token; empty for none
	// DaemonsBind is the address to listen on in place of Daemons when a forwarder relays connections; the zero value without one.
	DaemonsBind netip.AddrPort

	CheckIns netip.AddrPort // where the server beside the daemon checks in; the zero value if it does not
	Metrics  netip.AddrPort // serves metrics without a token; the zero value if only the administration API serves them
	Ready    netip.AddrPort // readiness endpoint that the platform polls; the zero value if it does not

	Server             netip.AddrPort // the server beside the daemon
	HealthPath         string
	LoadPath           string
	ServerConnections  int           // maximum number of connections to the server
	ServerDialInterval time.Duration // minimum time between new connections to the server
	ServerIdleBound    time.Duration // non-idempotent requests avoid connections that were idle for longer
	ServerPollInterval time.Duration // of the health endpoint and of the load endpoint

	Hosted          bool           // use the store, headers, routes and check-ins of the hosted platform
	Table           netip.AddrPort // the platform's table service
	Objects         netip.AddrPort // the platform's object store
	PlatformTimeout time.Duration  // of one request to the platform

	Seeds            []netip.AddrPort // daemons to ask for members and configuration at start
	StartSpread      time.Duration    // announcements of daemons that start together are spread over this time
	PeersFirst       time.Duration    // how long to ask only peers for the members before reading them from the platform
	FirstStart       bool             // the fleet starts for the first time, so that a configuration may come only later
	LoadQueries      bool             // ask for load in datagrams before each selection; otherwise daemons are probed
	ExchangeInterval time.Duration    // between periodic gossip exchanges with a random daemon
	GoneAfter        time.Duration    // time after which a suspect daemon is considered gone
	IsolatedAfter    time.Duration    // time without contact to the platform and to any peer after which new work is refused

	AckTimeout        time.Duration // time after which a connection without an ack is considered silent
	PeerConnections   int           // maximum number of open connections to one daemon
	AcceptedConns     int           // maximum number of connections accepted from daemons
	CallerHeaderBytes int           // maximum size of a caller's request header
	HeaderTimeout     time.Duration // for reading a caller's request header
	MaxDeadline       time.Duration // longest deadline that a caller may ask for
	MemoryMB          int           // memory of 10^6 bytes that the process may use

	ExposureShare float64       // of a service's requests that a release in trial may get, at most
	ExposureSlack int           // requests that it may get in addition
	RollbackTime  time.Duration // within which a bad release gets no more requests

	CapWindow  time.Duration // in which the requests of an organisation are counted
	CapOverage float64       // share of the cap by which it may be exceeded within the window
	CapSlack   int           // requests by which it may be exceeded in addition

	StopGrace   time.Duration // from the announcement of the stop to the refusal of new work
	StopTimeout time.Duration // for requests in flight after StopGrace
	KillAfter   time.Duration // from the signal to stop until the platform kills the process; 0 when that is not known

	LogLevel slog.Level
}

// DaemonsListenAddr returns the address to listen on for connections of other daemons.
func (s *Settings) DaemonsListenAddr() netip.AddrPort {
	if s.DaemonsBind.IsValid() {
		return s.DaemonsBind
	}
	return s.Daemons
}

// killReserve is the part of KillAfter in which the last responses leave and the process ends.
const killReserve = 800 * time.Millisecond

// StopPeriods returns how long a planned stop still takes new work, and how long it then waits for requests in flight. Both end in time
// before the platform kills the process.
func (s *Settings) StopPeriods() (grace, timeout time.Duration) {
	if s.KillAfter == 0 {
		return s.StopGrace, s.StopTimeout
	}
	left := max(s.KillAfter-killReserve, 0)
	grace = min(s.StopGrace, left)
	return grace, min(s.StopTimeout, left-grace)
}

func (s *Settings) equal(other *Settings) bool {
	return reflect.DeepEqual(s, other)
}
