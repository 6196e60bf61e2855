package order

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareWindow is the time constant of the use by organisations. A server gets about one request per second of each of 80
	// organisations, so that shorter windows take usual organisations for heavy ones.
	shareWindow = 5 * time.Second
	// shareRefresh is the interval at which the share of an organisation is recomputed.
	shareRefresh = 50 * time.Millisecond
	// forgetBelow is the recent demand in seconds of slot time below which an organisation is forgotten.
	forgetBelow = 1e-4
)

// shares is the recent use of the slots by the organisations of one priority, for weighted max-min fairness: an organisation that needs at
// most its share gets all that it needs, and the others share the rest in proportion to their weights. Organisations differ in size by a
// hundred times; without weights, the largest ones would always count as heavy.
type shares struct {
	organisations map[string]*usage
	level         float64 // slot time per weight that an organisation may have had recently, in seconds; 0 without a bound
	computed      time.Time
}

// usage is slot time in seconds.
type usage struct {
	demand, granted decaying
	weight          float64 // above 0
}

func (s *shares) of(r *Request) *usage {
	u := s.organisations[r.Organisation]
	if u == nil {
		if s.organisations == nil {
			s.organisations = make(map[string]*usage)
		}
		u = &usage{demand: decaying{window: shareWindow}, granted: decaying{window: shareWindow}}
		s.organisations[r.Organisation] = u
	}
	u.weight = cmp.Or(max(r.Weight, 0), 1)
	return u
}

// over returns by how many halves of its share an organisation has had more than its share, rounded up; 0 if it has not.
func (s *shares) over(organisation string, now time.Time) int {
	if len(s.organisations) < 2 {
		return 0
	}
	if now.Sub(s.computed) >= shareRefresh {
		s.compute(now)
	}
	u := s.organisations[organisation]
	if u == nil || s.level == 0 {
		return 0
	}
	return max(0, int(math.Ceil(2*(u.granted.value(now)/(s.level*u.weight)-1))))
}

func (q *Queue) over(r *Request, now time.Time) int {
	if r.Nested {
		return 0
	}
	return q.shares[level(r)].over(r.Organisation, now)
}

// compute sets the level at which the demands, each cut off at the level times its weight, add up to the slot time that was granted.
func (s *shares) compute(now time.Time) {
	s.computed = now
	type claim struct{ demand, weight float64 }
	claims := make([]claim, 0, len(s.organisations))
	var demands, grants, weights []float64
	for name, u := range s.organisations {
		demand := u.demand.value(now)
		if demand < forgetBelow {
			delete(s.organisations, name)
			continue
		}
		claims = append(claims, claim{demand, u.weight})
		demands = append(demands, demand)
		grants = append(grants, u.granted.value(now))
		weights = append(weights, u.weight)
	}
	s.level = 0
	granted, weight := sum(grants), sum(weights)
	if granted >= sum(demands) {
		return
	}
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.demand/a.weight, b.demand/b.weight), cmp.Compare(a.weight, b.weight))
	})
	for _, c := range claims {
		fair := granted / weight
		if c.demand >= fair*c.weight {
			s.level = fair
			return
		}
		granted -= c.demand
		weight -= c.weight
	}
}

// sum sorts the terms and returns their sum, which then does not depend on their order in a map.
func sum(terms []float64) float64 {
	slices.Sort(terms)
	total := 0.0
	for _, term := range terms {
		total += term
	}
	return total
}
