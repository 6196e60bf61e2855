package lint

import (
	"net/url"
	"strings"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// Keys of routes that findings name.
const (
	keyHost      = "host"
	keyPrefix    = "prefix"
	keyServices  = "services"
	keyTimeout   = "timeout"
	keyObjective = "objective"
	keyPriority  = "priority"
	keyServers   = "servers"
	keyPublic    = "public"
)

func routeID(name, key string) files.ID {
	return files.ID{Section: files.RouteSection, Name: name, Key: key}
}

func (c *checker) checkRoutes() {
	first := map[string]string{} // name of the route that a host and prefix lead to
	for _, name := range sortedNames(c.conf.Routes) {
		route := c.conf.Routes[name]
		place := route.Host + route.Prefix
		if other, taken := first[place]; taken {
			c.add(NeverMatches, routeID(name, keyPrefix), "route %s has the same host and prefix", other)
		} else {
			first[place] = name
		}
		c.checkHostAndPrefix(route)
		c.checkParts(route)
		c.checkLimits(route)
		c.addRank(route.Priority, routeID(name, keyPriority))
	}
}

// checkHostAndPrefix finds hosts and prefixes that no request can have.
func (c *checker) checkHostAndPrefix(route *config.Route) {
	if route.Host != strings.ToLower(route.Host) {
		c.add(NeverMatches, routeID(route.Name, keyHost), "callers send the host in lower-case letters")
	}
	parsed, err := url.ParseRequestURI(route.Prefix)
	if err != nil || parsed.EscapedPath() != route.Prefix {
		c.add(NeverMatches, routeID(route.Name, keyPrefix), "no path has the prefix: it has a character that is sent percent-encoded")
	}
}

func (c *checker) checkParts(route *config.Route) {
	id, seen := routeID(route.Name, keyServices), map[string]bool{}
	for _, part := range route.Parts {
		if part.Weight == 0 {
			c.add(NoEffect, id, "service %s has the weight 0 and gets no request", part.Service)
		}
		if seen[part.Service] {
			c.add(Contradiction, id, "service %s is listed twice", part.Service)
		}
		seen[part.Service] = true
	}
}

func (c *checker) checkLimits(route *config.Route) {
	if route.Objective > route.Timeout && (c.isSet(routeID(route.Name, keyObjective)) || c.isSet(routeID(route.Name, keyTimeout))) {
		c.add(Contradiction, routeID(route.Name, keyTimeout), "the timeout of %s is under the objective of %s", route.Timeout, route.Objective)
	}
	if route.Kind == config.Once && c.isSet(routeID(route.Name, keyServers)) && route.Servers > 1 && c.allowsNoRetry(route) {
		c.add(NoEffect, routeID(route.Name, keyServers), "no service of the route allows additional attempts")
	}
	if !route.Public && len(c.conf.Organisations) == 0 {
		c.add(NoEffect, routeID(route.Name, keyPublic), "no organisation is configured, so no key is asked for")
	}
}

// allowsNoRetry reports whether no service of the route allows additional attempts.
func (c *checker) allowsNoRetry(route *config.Route) bool {
	for _, part := range route.Parts {
		if service := c.conf.Services[part.Service]; service != nil && service.RetryShare > 0 {
			return false
		}
	}
	return true
}
