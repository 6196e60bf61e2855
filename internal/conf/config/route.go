package config

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Defaults of a route's keys.
const (
	DefaultRouteTimeout = 10 * time.Second
	DefaultObjective    = 500 * time.Millisecond
	DefaultRouteServers = 2
	DefaultPriority     = 1
)

// Defaults of the bounds on callers.
const (
	DefaultCallerHeader  = 64 << 10 // bytes
	DefaultCallerBody    = 1 << 30  // bytes
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 90 * time.Second
)

// RouteKind tells what may be repeated.
type RouteKind int

// The kinds of routes.
const (
	Idempotent RouteKind = iota // idempotent
	Once                        // once
	UploadOnce                  // upload
)

// Route leads the requests of a host below a prefix to one service or to several by weight.
type Route struct {
	Name      string
	Host      string // without a port
	Prefix    string // begins and ends with a slash
	Parts     []Part // at least one
	Kind      RouteKind
	Timeout   time.Duration // longest time that a caller is kept waiting
	Objective time.Duration // an answer within it has its full value
	Priority  int           // 0 is the highest
	Servers   int           // servers that one request may be sent to at most; at least 1

	urgent bool // set by Index
}

// Part is a service's part of a route.
type Part struct {
	Service string
	Weight  int // at least 0; the sum over a route is above 0
}

// CallerLimits bounds what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultCallerLimits returns the bounds in force when no file states them.
func DefaultCallerLimits() CallerLimits {
	return CallerLimits{
		HeaderBytes: DefaultCallerHeader, BodyBytes: DefaultCallerBody,
		HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout,
	}
}

// NewRoute returns a route with every default set.
func NewRoute(name string) *Route {
	return &Route{
		Name: name, Timeout: DefaultRouteTimeout, Objective: DefaultObjective, Priority: DefaultPriority, Servers: DefaultRouteServers,
	}
}

// Index prepares RouteFor. It is called once, before the configuration is published.
func (c *Config) Index() {
	c.markUrgent()
	c.hosts = make(map[string][]*Route)
	for _, route := range c.Routes {
		c.hosts[route.Host] = append(c.hosts[route.Host], route)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
}

// RouteFor returns the route of a request, or nil: the one with the longest prefix of the path among those of the host.
func (c *Config) RouteFor(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, route := range c.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// urgentRatio is the objective of a service's other requests over that of its checks.
const urgentRatio = 2

// markUrgent finds the routes whose requests are checks: those that may be repeated and whose objective is at most half of that
// of a service's requests that run once. Such short requests stand behind others' requests, which fail with them.
func (c *Config) markUrgent() {
	slowest := make(map[string]time.Duration)
	for _, route := range c.Routes {
		if route.Kind == Idempotent {
			continue
		}
		for _, part := range route.Parts {
			slowest[part.Service] = max(slowest[part.Service], route.Objective)
		}
	}
	for _, route := range c.Routes {
		for _, part := range route.Parts {
			if route.Kind != Idempotent || route.Objective*urgentRatio > slowest[part.Service] {
				continue
			}
			route.urgent = true
			if service := c.Services[part.Service]; service != nil {
				service.HasChecks = true
			}
		}
	}
}

// Class returns the class of the route's requests. Those of the highest priority go first too; no slots are kept for them.
func (r *Route) Class() ident.Class {
	switch {
	case r.Kind == UploadOnce:
		return ident.Upload
	case r.Kind == Once:
		return ident.Write
	case r.urgent || r.Priority == 0:
		return ident.Check
	}
	return ident.Lookup
}
