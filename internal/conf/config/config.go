// Package config holds the merged, typed configuration that operators have accepted.
package config

import (
	"net/netip"
	"path"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=ZoneState,ServerState,RouteKind -linecomment -output=names.go

// Defaults of a service's keys.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultSlots          = 12
	DefaultQueue          = 48 // at 90% busy, bursts fill twice the slots every few minutes; the deadline bounds the wait
	DefaultCheckReserve   = 2
	DefaultUploadShare    = 0.5
	DefaultRetryShare     = 0.1
	DefaultHedgeShare     = 0.1
	DefaultClaimRetention = 24 * time.Hour
	DefaultProbes         = 20 // probes per server and second
	DefaultHeadReads      = 40 // reads of the configuration head per second by the whole fleet
	DefaultExchanges      = 8  // eager exchanges per daemon and second
)

// ZoneState is an operator's decision about an availability zone.
type ZoneState int

// The zone states.
const (
	ZoneIn  ZoneState = iota // in
	ZoneOut                  // out
)

// ServerState is an operator's decision about a server.
type ServerState int

// The server states.
const (
	ServerIn      ServerState = iota // in
	ServerLeaving                    // leaving
)

// Config is one revision of the merged configuration. It is never changed after it is published.
type Config struct {
	Revision uint64
	Services map[string]*Service            // by name
	Zones    map[string]ZoneState           // a zone without an entry is in
	Servers  map[netip.AddrPort]ServerState // by the daemon's inner address; one without an entry is in
	Routes   map[string]*Route              // by name
	Callers  CallerLimits
	Budgets  Budgets

	hosts map[string][]*Route // by host, longest prefix first; set by Index
}

// Service is the routing intent for one service.
type Service struct {
	Name           string
	Owner          string        // the team that owns the service, for people
	Zones          []string      // zones that may carry it; empty means all
	Timeout        time.Duration // deadline of a request without Request-Timeout; above 0
	Class          ident.Class   // of a request that no class pattern matches
	Checks         []Pattern     // requests of class check
	Uploads        []Pattern     // requests of class upload
	NonIdempotent  []Pattern     // win over Idempotent
	Idempotent     []Pattern
	Slots          int           // requests that a server runs at once; at least 1
	Queue          int           // requests that may wait at a server
	CheckReserve   int           // slots that only checks may use; below Slots
	UploadShare    float64       // share of the slots that uploads may hold; in (0, 1]
	RetryShare     float64       // additional attempts per request; 0 to 0.1
	HedgeShare     float64       // hedges per request; 0 turns hedging off; at most 0.1
	Claim          bool          // claim idempotency keys in the table before a run
	ClaimRetention time.Duration // how long a claim blocks a repeat
	ShedsBeforeRun bool          // a 503 of this server proves that it did not run the request
	ReportsLoad    bool          // servers tell slots and load with each answer, and identity and cold time by their health
	HealthPath     string        // of the servers; empty: the one of the settings
	Connections    int           // to a server at most; 0: as in the settings
	HasChecks      bool          // routes lead checks here that slots are kept for; set by Index
	ColdRate       float64       // requests per second that a cold server bears; 0: unknown
}

// Budgets bounds what the system spends on itself.
type Budgets struct {
	Probes    float64 // probes per server and second, all routers together
	HeadReads float64 // reads of the configuration head per second, whole fleet
	Exchanges float64 // eager exchanges per daemon and second
}

// Pattern selects requests by method and path.
type Pattern struct {
	Method string // empty matches every method
	Path   string // as in path.Match; a trailing /** matches everything below
}

// NewService returns a service with every default set.
func NewService(name string) *Service {
	return &Service{
		Name:           name,
		Timeout:        DefaultTimeout,
		Class:          ident.Lookup,
		Slots:          DefaultSlots,
		Queue:          DefaultQueue,
		CheckReserve:   DefaultCheckReserve,
		UploadShare:    DefaultUploadShare,
		RetryShare:     DefaultRetryShare,
		HedgeShare:     DefaultHedgeShare,
		ClaimRetention: DefaultClaimRetention,
	}
}

// DefaultBudgets returns the budgets in force when no file states them.
func DefaultBudgets() Budgets {
	return Budgets{Probes: DefaultProbes, HeadReads: DefaultHeadReads, Exchanges: DefaultExchanges}
}

// Matches reports whether the pattern selects a request.
func (p Pattern) Matches(method, target string) bool {
	if p.Method != "" && p.Method != method {
		return false
	}
	const below = "/**"
	if len(p.Path) >= len(below) && p.Path[len(p.Path)-len(below):] == below {
		prefix := p.Path[:len(p.Path)-len(below)]
		return target == prefix || len(target) > len(prefix) && target[:len(prefix)] == prefix && target[len(prefix)] == '/'
	}
	matched, err := path.Match(p.Path, target)
	return err == nil && matched
}

// ZoneOut reports whether operators have taken the zone out.
func (c *Config) ZoneOut(zone string) bool {
	return c.Zones[zone] == ZoneOut
}

// Leaving reports whether operators have told the server at this address to leave.
func (c *Config) Leaving(address netip.AddrPort) bool {
	return c.Servers[address] == ServerLeaving
}

// AllowsZone reports whether the zone may carry the service.
func (s *Service) AllowsZone(zone string) bool {
	if len(s.Zones) == 0 {
		return true
	}
	for _, allowed := range s.Zones {
		if allowed == zone {
			return true
		}
	}
	return false
}
