package front

import (
	"slices"
	"sync"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// splits spreads the requests of each route over its services by weight, by turns instead of by chance.
type splits struct {
	mu    sync.Mutex
	turns map[string]*turns // by route
}

// turns is a smooth weighted round robin: each part's credit grows by its weight, and the highest pays the sum.
type turns struct {
	parts  []config.Part
	credit []int
}

// next returns the service of the route's next request.
func (s *splits) next(route *config.Route) string {
	if len(route.Parts) == 1 {
		return route.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turns == nil {
		s.turns = make(map[string]*turns)
	}
	t := s.turns[route.Name]
	if t == nil || !slices.Equal(t.parts, route.Parts) {
		t = &turns{parts: route.Parts, credit: make([]int, len(route.Parts))}
		s.turns[route.Name] = t
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
