// Package opts reads the settings of a process from an INI file and checks every key.
package opts

import (
	"log/slog"
	"net/netip"
	"reflect"
	"time"
)

// Settings are the settings of a daemon. They never change while it runs.
type Settings struct {
	Name    string // of the instance, for logs; may be empty
	Service string // that the server beside the daemon runs
	Zone    string
	Region  string

	Callers        netip.AddrPort // where callers connect
	Daemons        netip.AddrPort // where other daemons connect; identifies this daemon
	Admin          netip.AddrPort // administration API; needs AdminToken when it is not loopback
	AdminTokenFile string         // file with the administration token; empty for none
	// DaemonsBind is where connections to Daemons arrive when a forwarder stands between; not valid without one.
	DaemonsBind netip.AddrPort

	CheckIns netip.AddrPort // where the own server checks in; not valid when it does not
	Metrics  netip.AddrPort // where metrics are read without a token; not valid when only the administration API has them
	Ready    netip.AddrPort // where the platform asks whether the daemon takes callers; not valid when it does not

	Server             netip.AddrPort // the server beside the daemon
	HealthPath         string
	LoadPath           string
	ServerConnections  int           // at most this many connections to the server
	ServerDialInterval time.Duration // between new connections to the server
	ServerIdleBound    time.Duration // non-idempotent requests avoid connections idle for longer
	ServerPollInterval time.Duration // of the health endpoint and of the load endpoint

	Hosted          bool           // the daemon runs on the hosted platform: its store, headers, routes and check-ins
	Table           netip.AddrPort // of the platform
	Objects         netip.AddrPort // of the platform
	PlatformTimeout time.Duration

	Seeds            []netip.AddrPort // daemons to ask at start
	StartSpread      time.Duration    // over which daemons that start together announce themselves
	PeersFirst       time.Duration    // until the members are read from the platform instead of peers
	ReportInterval   time.Duration    // between load reports in datagrams; 0: daemons probe instead
	ExchangeInterval time.Duration    // between periodic exchanges
	GoneAfter        time.Duration    // from suspect to gone
	IsolatedAfter    time.Duration    // without platform and peers until new work is refused

	AckTimeout        time.Duration // until a connection without an ack is taken to be silent
	PeerConnections   int           // open connections to one daemon at most
	AcceptedConns     int           // connections accepted from daemons at most
	CallerHeaderBytes int           // bytes of a caller's request header at most
	HeaderTimeout     time.Duration // for a caller's request header
	MaxDeadline       time.Duration // longest deadline that a caller may ask for

	StopGrace   time.Duration // from the announcement of the stop to the refusal of new work
	StopTimeout time.Duration // for requests in flight after that

	LogLevel slog.Level
}

// DaemonsListenAddr is the address at which connections of other daemons arrive.
func (s *Settings) DaemonsListenAddr() netip.AddrPort {
	if s.DaemonsBind.IsValid() {
		return s.DaemonsBind
	}
	return s.Daemons
}

// equal compares two settings.
func (s *Settings) equal(other *Settings) bool {
	return reflect.DeepEqual(s, other)
}
