// Package stock holds the permits that a router was granted for the requests of one organisation. The time is passed in.
package stock

import (
	"math"
	"net/netip"
	"time"
)

const (
	// Lifetime is how long a permit is valid after it was requested. It bounds the permits that an owner has granted and that may still
	// be used when another daemon grants in its place.
	Lifetime = 200 * time.Millisecond
	// returnAge is the maximum age of an unused permit that is returned to its owner. The owner grants it again, so later returns would
	// shift requests from one window into another.
	returnAge = 2 * Lifetime
	// minDenial limits the requests for permits of a router whose organisation has reached its cap. At 250 requests per second 5 permits
	// become available in this time.
	minDenial = 20 * time.Millisecond
	// demandTime is the time constant of the average rate of requests.
	demandTime = 500 * time.Millisecond
	// ahead is the time for which permits are requested in advance. It is shorter than Lifetime, so that most are used.
	ahead = 100 * time.Millisecond
)

// Permit allows one request to be sent to servers.
type Permit struct {
	Owner     netip.AddrPort // daemon that granted it
	Requested time.Time
}

// Valid reports whether the permit has not expired.
func (p Permit) Valid(now time.Time) bool {
	return now.Sub(p.Requested) < Lifetime
}

// lot is a number of permits that were granted together.
type lot struct {
	Permit
	count int
}

// Stock holds the permits of one organisation. Its zero value is empty.
type Stock struct {
	lots        []lot // in the order of their requests
	unused      []lot // expired ones that can be returned, newest last
	deniedUntil time.Time
	demand      float64 // requests per second, moving average
	demandAt    time.Time
}

// Record counts a request of the organisation, whether it gets a permit or not.
func (s *Stock) Record(now time.Time) {
	s.decay(now)
	s.demand += 1 / demandTime.Seconds()
}

func (s *Stock) decay(now time.Time) {
	if elapsed := now.Sub(s.demandAt); elapsed > 0 {
		s.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		s.demandAt = now
	}
}

// Take takes the permit that expires first.
func (s *Stock) Take(now time.Time) (Permit, bool) {
	s.expire(now)
	if len(s.lots) == 0 {
		return Permit{}, false
	}
	first := &s.lots[0]
	taken := first.Permit
	first.count--
	if first.count == 0 {
		s.lots = s.lots[1:]
	}
	return taken, true
}

// Put adds permits that were granted.
func (s *Stock) Put(now time.Time, granted Permit, count int) {
	if count <= 0 {
		return
	}
	at := len(s.lots)
	for at > 0 && s.lots[at-1].Requested.After(granted.Requested) {
		at--
	}
	s.lots = append(s.lots, lot{})
	copy(s.lots[at+1:], s.lots[at:])
	s.lots[at] = lot{Permit: granted, count: count}
	s.expire(now)
}

// Deny records that no permit is available before wait has passed.
func (s *Stock) Deny(now time.Time, wait time.Duration) {
	if until := now.Add(max(wait, minDenial)); until.After(s.deniedUntil) {
		s.deniedUntil = until
	}
}

// Denied returns the time until a permit may be available again, or 0.
func (s *Stock) Denied(now time.Time) time.Duration {
	return max(s.deniedUntil.Sub(now), 0)
}

// Held returns the number of permits.
func (s *Stock) Held(now time.Time) int {
	s.expire(now)
	held := 0
	for _, l := range s.lots {
		held += l.count
	}
	return held
}

// Demand returns the average rate of requests per second.
func (s *Stock) Demand(now time.Time) float64 {
	s.decay(now)
	return s.demand
}

// Wanted returns how many permits to request: one for each waiting request and those that will be needed soon. It is 0 while enough are
// held, or while none are available.
func (s *Stock) Wanted(now time.Time, waiting int) int {
	if s.Denied(now) > 0 {
		return 0
	}
	soon := s.Demand(now) * ahead.Seconds()
	held := s.Held(now)
	if waiting == 0 && (soon < 1 || float64(held) > soon/2) {
		return 0 // at a low rate, a permit requested in advance would usually expire
	}
	return max(waiting+int(soon)-held, waiting)
}

// Unused removes and returns the number of expired permits that can be returned to their owner.
func (s *Stock) Unused(now time.Time, owner netip.AddrPort) int {
	s.expire(now)
	count := 0
	for _, l := range s.unused {
		if l.Owner == owner && now.Sub(l.Requested) < returnAge {
			count += l.count
		}
	}
	s.unused = s.unused[:0]
	return count
}

// expire moves expired permits to the unused ones, of which it keeps those that can still be returned.
func (s *Stock) expire(now time.Time) {
	expired := 0
	for expired < len(s.lots) && !s.lots[expired].Valid(now) {
		s.unused = append(s.unused, s.lots[expired])
		expired++
	}
	s.lots = s.lots[expired:]
	old := 0
	for old < len(s.unused) && now.Sub(s.unused[old].Requested) >= returnAge {
		old++
	}
	s.unused = s.unused[old:]
	if len(s.lots) == 0 {
		s.lots = nil
	}
}
