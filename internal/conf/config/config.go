// Package config holds the typed configuration that results from merging the operators' files.
package config

import (
	"maps"
	"net/netip"
	"path"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=ZoneState,ServerState,RouteKind -linecomment -output=names.go

// Defaults of services and of the budgets.
const (
	DefaultTimeout        = 2 * time.Second
	DefaultSlots          = 12
	DefaultQueue          = 48 // at 90% utilization, bursts queue twice the number of slots every few minutes; the deadline limits the wait
	DefaultCheckReserve   = 2
	DefaultUploadShare    = 0.5
	DefaultRetryShare     = 0.1
	DefaultHedgeShare     = 0.1
	DefaultClaimRetention = 24 * time.Hour
	DefaultProbes         = 20 // probes per server and second, by all routers together
	DefaultHeadReads      = 40 // reads of the configuration head per second, by all daemons together
	DefaultExchanges      = 8  // eager gossip exchanges per daemon and second
)

// ZoneState is the state that operators have set for an availability zone.
type ZoneState int

// The zone states. A zone that is out receives no new requests.
const (
	ZoneIn  ZoneState = iota // in
	ZoneOut                  // out
)

// ServerState is the state that operators have set for a server.
type ServerState int

// The server states. A server that is leaving receives no new requests.
const (
	ServerIn      ServerState = iota // in
	ServerLeaving                    // leaving
)

// Config is one revision of the merged configuration. It is not modified after it has been published.
type Config struct {
	Revision uint64
	Serial   uint64                         // that the operators give it; 0 when they give none
	Services map[string]*Service            // by name
	Zones    map[string]ZoneState           // a zone without an entry is in
	Servers  map[netip.AddrPort]ServerState // by the inner address of the server's daemon; a server without an entry is in
	Routes   map[string]*Route              // by name
	Callers  CallerLimits
	Budgets  Budgets

	Organisations map[string]*Organisation // by the name of their section
	Rollouts      map[string]*Rollout      // ordered roll-outs by service
	Precedence    bool                     // when there is too little room, requests are ordered by what a refusal costs callers

	routesByHost map[string][]*Route         // by host, longest prefix first; set by Index
	byKeyDigest  map[KeyDigest]*Organisation // set by Index
	rates        map[string]float64          // of organisations by the name that servers receive; set by Index
}

// Service is the configuration of one service.
type Service struct {
	Name           string
	Owner          string        // team that owns the service; for information only
	Zones          []string      // zones whose servers may serve it; all when empty
	Timeout        time.Duration // of a request without Request-Timeout; above 0
	Class          ident.Class   // of a request that matches neither Checks nor Uploads
	Checks         []Pattern     // select the requests of class check
	Uploads        []Pattern     // select the requests of class upload
	NonIdempotent  []Pattern     // take precedence over Idempotent
	Idempotent     []Pattern
	Slots          int           // requests that a server runs concurrently; at least 1
	Queue          int           // maximum number of requests queued at a server
	CheckReserve   int           // slots reserved for checks; below Slots
	UploadShare    float64       // maximum share of the slots that uploads may occupy; in (0, 1]
	RetryShare     float64       // maximum ratio of additional attempts to requests; 0 to 0.1
	HedgeShare     float64       // maximum ratio of hedges to requests; 0 to 0.1; 0 turns hedging off
	Claim          bool          // claim the idempotency key in the table service before a request is run
	ClaimRetention time.Duration // how long a claim blocks a repeated request
	ShedsBeforeRun bool          // a 503 response of a server proves that it did not run the request
	ReportsLoad    bool          // servers report slots and load in each response, and identity and remaining cold time in health responses
	HealthPath     string        // health endpoint of the servers; the one of the settings when empty
	Connections    int           // maximum number of connections to a server; as in the settings when 0
	HasChecks      bool          // routes send checks to the service, for which slots are reserved; set by Index
	ColdRate       float64       // requests per second that a cold server can handle; unknown when 0
}

// Budgets limits the load that the load balancer itself generates.
type Budgets struct {
	Probes    float64 // probes per server and second, by all routers together
	HeadReads float64 // reads of the configuration head per second, by all daemons together
	Exchanges float64 // eager gossip exchanges per daemon and second
}

// Pattern selects requests by method and path.
type Pattern struct {
	Method string // matches every method when empty
	Path   string // as in path.Match; a trailing /** matches the path itself and all paths below
}

// NewService returns a service with the default values.
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

// DefaultBudgets returns the budgets that apply unless a file sets them.
func DefaultBudgets() Budgets {
	return Budgets{Probes: DefaultProbes, HeadReads: DefaultHeadReads, Exchanges: DefaultExchanges}
}

// Matches reports whether the pattern selects a request with the method and path.
func (p Pattern) Matches(method, target string) bool {
	if p.Method != "" && p.Method != method {
		return false
	}
	const subtree = "/**"
	if len(p.Path) >= len(subtree) && p.Path[len(p.Path)-len(subtree):] == subtree {
		prefix := p.Path[:len(p.Path)-len(subtree)]
		return target == prefix || len(target) > len(prefix) && target[:len(prefix)] == prefix && target[len(prefix)] == '/'
	}
	matched, err := path.Match(p.Path, target)
	return err == nil && matched
}

// IsReplacedBy reports whether the serials tell that operators have replaced c by other or by a configuration before it.
func (c *Config) IsReplacedBy(other *Config) bool {
	return c.Serial != 0 && c.Serial < other.Serial
}

// withOrdersOf returns the configuration at the revision of next, with what operators order there beside their configuration: the states of
// zones and servers, and the roll-outs of known services.
func (c *Config) withOrdersOf(next *Config) *Config {
	combined := *c
	combined.Revision, combined.Zones, combined.Servers = next.Revision, next.Zones, next.Servers
	combined.Rollouts = maps.Clone(next.Rollouts)
	maps.DeleteFunc(combined.Rollouts, func(service string, _ *Rollout) bool { return c.Services[service] == nil })
	return &combined
}

// ZoneOut reports whether operators have taken the zone out of service.
func (c *Config) ZoneOut(zone string) bool {
	return c.Zones[zone] == ZoneOut
}

// Leaving reports whether operators have set the server beside the daemon at this address to leave.
func (c *Config) Leaving(address netip.AddrPort) bool {
	return c.Servers[address] == ServerLeaving
}

// AllowsZone reports whether servers in the zone may serve requests to the service.
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

// UsesClaims reports whether a service claims idempotency keys. It is false for a nil configuration.
func (c *Config) UsesClaims() bool {
	if c == nil {
		return false
	}
	for _, service := range c.Services {
		if service.Claim {
			return true
		}
	}
	return false
}
