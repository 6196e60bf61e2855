package lint

import (
	"slices"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

func serviceID(name, key string) files.ID {
	return files.ID{Section: files.ServiceSection, Name: name, Key: key}
}

func (c *checker) checkServices() {
	routes := map[string][]*config.Route{} // by service
	for _, name := range sortedNames(c.conf.Routes) {
		route := c.conf.Routes[name]
		for _, part := range route.Parts {
			routes[part.Service] = append(routes[part.Service], route)
		}
	}
	for _, name := range sortedNames(c.conf.Services) {
		service := c.conf.Services[name]
		if len(c.conf.Routes) > 0 && len(routes[name]) == 0 {
			c.add(Unused, serviceID(name, ""), "no route leads to the service")
		}
		c.checkZones(service)
		c.checkPatterns(service)
		c.checkShares(service, routes[name])
		if !service.Claim && c.isSet(serviceID(name, "claim-retention")) {
			c.add(NoEffect, serviceID(name, "claim-retention"), "the service claims no keys")
		}
	}
}

// checkZones finds services that no zone may carry.
func (c *checker) checkZones(service *config.Service) {
	if len(service.Zones) > 0 && !slices.ContainsFunc(service.Zones, func(zone string) bool { return !c.conf.ZoneOut(zone) }) {
		c.add(Contradiction, serviceID(service.Name, "zones"), "all zones of the service are out")
	}
}

// checkPatterns finds patterns that are overridden by the same pattern of another list.
func (c *checker) checkPatterns(service *config.Service) {
	for _, pattern := range service.Idempotent {
		if slices.Contains(service.NonIdempotent, pattern) {
			c.add(NoEffect, serviceID(service.Name, "idempotent"), "non-idempotent has the pattern %s too and takes precedence", text(pattern))
		}
	}
	for _, pattern := range service.Uploads {
		if slices.Contains(service.Checks, pattern) {
			c.add(Contradiction, serviceID(service.Name, "uploads"), "checks has the pattern %s too", text(pattern))
		}
	}
}

func text(pattern config.Pattern) string {
	if pattern.Method == "" {
		return "* " + pattern.Path
	}
	return pattern.Method + " " + pattern.Path
}

// checkShares finds shares and reserves that no request of the service can use.
func (c *checker) checkShares(service *config.Service, routes []*config.Route) {
	all := func(matches func(*config.Route) bool) bool {
		return len(routes) > 0 && !slices.ContainsFunc(routes, func(route *config.Route) bool { return !matches(route) })
	}
	retry, hedge := serviceID(service.Name, "retry-share"), serviceID(service.Name, "hedge-share")
	oneServer := all(func(route *config.Route) bool { return route.Servers == 1 })
	if oneServer && c.isSet(retry) && service.RetryShare > 0 {
		c.add(Contradiction, retry, "additional attempts need a second server, and all routes allow one")
	}
	if oneServer && c.isSet(hedge) && service.HedgeShare > 0 {
		c.add(Contradiction, hedge, "hedges need a second server, and all routes allow one")
	}
	if c.isSet(hedge) && service.HedgeShare > 0 && all(func(route *config.Route) bool { return !route.Kind.IsIdempotent() }) {
		c.add(NoEffect, hedge, "only idempotent requests are hedged, and no route has such")
	}
	reserve := serviceID(service.Name, "check-reserve")
	if c.isSet(reserve) && service.CheckReserve > 0 && len(service.Checks) == 0 && !service.HasChecks && service.Class.String() != "check" {
		c.add(NoEffect, reserve, "no request of the service is a check")
	}
}
