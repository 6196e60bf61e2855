package judge

import "marigoldwinch.example/marigoldwinch/internal/roll/tally"

// reference holds the counts of the old release by route. They may be weighted.
type reference map[string]*counts

// counts are those of a route, or of all routes together.
type counts struct {
	responses, failures float64
	durations           [tally.Buckets]float64
}

func (c *counts) add(r *tally.Route, weight float64) {
	c.responses += weight * float64(r.Responses)
	c.failures += weight * float64(r.Failures)
	for b, n := range r.Durations {
		c.durations[b] += weight * float64(n)
	}
}

func (c *counts) merge(other *counts) {
	c.responses += other.responses
	c.failures += other.failures
	for b, n := range other.durations {
		c.durations[b] += n
	}
}

// above returns the number of responses in the buckets above b.
func (c *counts) above(b int) (sum float64) {
	for _, n := range c.durations[b+1:] {
		sum += n
	}
	return sum
}

func referenceOf(t *tally.Tally) reference {
	ref := reference{}
	if t != nil {
		for i := range t.Routes {
			ref.add(&t.Routes[i], 1)
		}
	}
	return ref
}

func (ref reference) of(route string) *counts {
	c := ref[route]
	if c == nil {
		c = &counts{}
		ref[route] = c
	}
	return c
}

func (ref reference) add(r *tally.Route, weight float64) {
	ref.of(r.Name).add(r, weight)
}

func (ref reference) merge(other reference) {
	for route, c := range other {
		ref.of(route).merge(c)
	}
}

// total returns the counts of all routes together.
func (ref reference) total() *counts {
	total := &counts{}
	for _, c := range ref {
		total.merge(c)
	}
	return total
}
