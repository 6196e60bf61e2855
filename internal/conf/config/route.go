package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Defaults of routes.
const (
	DefaultRouteTimeout = 10 * time.Second
	DefaultObjective    = 500 * time.Millisecond
	DefaultRouteServers = 2
	DefaultPriority     = 1
)

// Defaults of the limits for callers.
const (
	DefaultCallerHeader  = 64 << 10 // bytes
	DefaultCallerBody    = 1 << 30  // bytes
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 90 * time.Second
)

// RouteKind is whether the requests of a route may be run more than once, and whether their bodies or responses are large.
type RouteKind int

// The kinds of routes.
const (
	Idempotent RouteKind = iota // idempotent
	Once                        // once
	UploadOnce                  // upload
	Download                    // download
)

// IsIdempotent reports whether requests of the kind may run more than once.
func (k RouteKind) IsIdempotent() bool {
	return k == Idempotent || k == Download
}

// Route sends the requests for a host and path prefix to one service, or to several in proportion to their weights.
type Route struct {
	Name      string
	Host      string // without a port
	Prefix    string // begins and ends with a slash
	Parts     []Part // at least one
	Kind      RouteKind
	Timeout   time.Duration // maximum time until the caller gets a response
	Objective time.Duration // target latency; a later response is worth less to the caller
	Priority  int           // 0 is the highest
	Servers   int           // maximum number of servers that one request is sent to; at least 1
	Public    bool          // requests need no key, also while organisations are configured

	isCheck bool // requests have class check because of their short objective; set by Index
}

// Part is one of the services of a route.
type Part struct {
	Service string
	Weight  int // at least 0; the sum of the weights of a route is above 0
}

// CallerLimits limits what callers may send and how long they may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultCallerLimits returns the limits that apply unless a file sets them.
func DefaultCallerLimits() CallerLimits {
	return CallerLimits{
		HeaderBytes: DefaultCallerHeader, BodyBytes: DefaultCallerBody,
		HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout,
	}
}

// NewRoute returns a route with the default values.
func NewRoute(name string) *Route {
	return &Route{
		Name: name, Timeout: DefaultRouteTimeout, Objective: DefaultObjective, Priority: DefaultPriority, Servers: DefaultRouteServers,
		Public: true,
	}
}

// Index prepares RouteFor and OrganisationByKey, and marks the routes whose requests are checks. It must be called once, before the
// configuration is published.
func (c *Config) Index() {
	c.markChecks()
	c.indexKeys()
	c.routesByHost = make(map[string][]*Route)
	for _, route := range c.Routes {
		c.routesByHost[route.Host] = append(c.routesByHost[route.Host], route)
	}
	for _, routes := range c.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
}

// RouteFor returns the route of a request: of the routes of the host, the one with the longest prefix of the path. It returns
// nil if no route matches.
func (c *Config) RouteFor(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, route := range c.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// checkObjectiveRatio is the minimum ratio between the longest objective of a service's non-idempotent requests and the
// objective of its checks.
const checkObjectiveRatio = 2

// markChecks marks the routes whose requests are checks: idempotent routes whose objective is at most half of the longest
// objective of the non-idempotent routes of the same service. Callers make such short requests while they serve requests of
// their own, which fail if the check fails.
func (c *Config) markChecks() {
	longestObjective := make(map[string]time.Duration)
	for _, route := range c.Routes {
		if route.Kind.IsIdempotent() {
			continue
		}
		for _, part := range route.Parts {
			longestObjective[part.Service] = max(longestObjective[part.Service], route.Objective)
		}
	}
	for _, route := range c.Routes {
		for _, part := range route.Parts {
			if route.Kind != Idempotent || route.Objective*checkObjectiveRatio > longestObjective[part.Service] {
				continue
			}
			route.isCheck = true
			if service := c.Services[part.Service]; service != nil {
				service.HasChecks = true
			}
		}
	}
}

// Class returns the class of the route's requests of a priority, which is that of the route or of the caller's organisation. Idempotent
// requests of priority 0 have the class check too, so that they take precedence, but no slots are reserved for them.
func (r *Route) Class(priority int) ident.Class {
	switch {
	case r.Kind == UploadOnce:
		return ident.Upload
	case r.Kind == Once:
		return ident.Write
	case r.isCheck || priority == 0:
		return ident.Check
	}
	return ident.Lookup
}
