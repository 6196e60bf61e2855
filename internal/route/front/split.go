package front

import (
	"slices"
	"sync"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// trafficSplits distributes the requests of each route over its services by weight, in rotation instead of at random.
type trafficSplits struct {
	mu      sync.Mutex
	byRoute map[string]*roundRobin // by route name
}

// roundRobin is a smooth weighted round robin: for each request, every part gains its weight as credit, and the part with the
// highest credit is selected and loses the sum of all weights.
type roundRobin struct {
	parts  []config.Part
	credit []int
}

// next returns the service for the route's next request.
func (s *trafficSplits) next(route *config.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRoute == nil {
		s.byRoute = make(map[string]*roundRobin)
	}
	t := s.byRoute[route.Name]
	if t == nil || !slices.Equal(t.parts, route.Parts) {
		t = &roundRobin{parts: route.Parts, credit: make([]int, len(route.Parts))}
		s.byRoute[route.Name] = t
	}
	best, total := 0, 0
	for i, part := range t.parts {
		t.credit[i] += part.Weight
		total += part.Weight
		if t.credit[i] > t.credit[best] {
			best = i
		}
	}
	t.credit[best] -= total
	return t.parts[best].Service
}
