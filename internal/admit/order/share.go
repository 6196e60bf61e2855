package order

import (
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

// shares is the recent use of the slots by the organisations of one priority, for max-min fairness: an organisation that needs at most
// an equal share gets all that it needs, and the others share the rest equally.
type shares struct {
	organisations map[string]*usage
	level         float64 // slot time that an organisation may have had recently, in seconds; 0 without a bound
	computed      time.Time
}

// usage is slot time in seconds.
type usage struct {
	demand, granted decaying
}

func (s *shares) of(organisation string) *usage {
	u := s.organisations[organisation]
	if u == nil {
		if s.organisations == nil {
			s.organisations = make(map[string]*usage)
		}
		u = &usage{demand: decaying{window: shareWindow}, granted: decaying{window: shareWindow}}
		s.organisations[organisation] = u
	}
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
	return max(0, int(math.Ceil(2*(u.granted.value(now)/s.level-1))))
}

func (q *Queue) over(r *Request, now time.Time) int {
	if r.Nested {
		return 0
	}
	return q.shares[level(r)].over(r.Organisation, now)
}

// compute sets the level at which the demands, each cut off at the level, add up to the slot time that was granted.
func (s *shares) compute(now time.Time) {
	s.computed = now
	demands := make([]float64, 0, len(s.organisations))
	grants := make([]float64, 0, len(s.organisations))
	for name, u := range s.organisations {
		demand := u.demand.value(now)
		if demand < forgetBelow {
			delete(s.organisations, name)
			continue
		}
		demands = append(demands, demand)
		grants = append(grants, u.granted.value(now))
	}
	s.level = 0
	granted := sum(grants)
	if granted >= sum(demands) {
		return
	}
	for i, demand := range demands {
		equal := granted / float64(len(demands)-i)
		if demand >= equal {
			s.level = equal
			return
		}
		granted -= demand
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
