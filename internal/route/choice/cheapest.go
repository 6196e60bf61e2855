package choice

import (
	"math"
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

const (
	// paceFades is how long a told pace says something about the present one; a server's instance changes as often.
	paceFades = 150 * time.Millisecond
	// meanPace is the pace to expect of a server that has told none lately, in percent.
	meanPace = 180
	// fullCost multiplies the cost of a server whose limit is reached: the request would wait or be refused.
	fullCost = 3
	// warmingCost multiplies the cost of a cold server, which is slow and takes few requests.
	warmingCost = 3
	// triedCost multiplies the cost of a server that has refused an earlier attempt of the request.
	triedCost = 8
	// assumedLimit stands for the limit of a server that has told none lately.
	assumedLimit = 12
)

// weights are what the parts of a cost count for a kind of request.
type weights struct {
	// load is what a server's load at its limit adds to the cost of an idle one. Below its limit a server is hardly slower, so that
	// load only tells how likely the place is to be full before the request arrives.
	load float64
	// pace is the exponent of the pace at the server. A request that lasts long meets several paces, and the present one says less.
	pace float64
	// otherZone multiplies the cost of a server in another zone. Bytes between zones are paid for.
	otherZone float64
}

var (
	usual = weights{load: 1, pace: 1, otherZone: 1.2}
	// bulk is for requests with large bodies: what arrives at once shares the server's link.
	bulk = weights{load: 4, pace: 0.5, otherZone: 3}
)

const (
	// queueShare is the part of its limit up to which a server's queue may be filled by a first attempt. A longer queue
	// outlasts the short time that a request waits there.
	queueShare = 0.25
)

// cheapest is the policy of the Cheapest type. It reports false when every server refuses new work or is known to be full: a
// request that is sent there comes back after a wait, and its caller is better told at once.
func (p *pick) cheapest(look *pool.Snapshot) (netip.AddrPort, bool) {
	best, low, equal := netip.AddrPort{}, math.Inf(1), 0
	for i, server := range p.list.servers {
		cost, ok := p.cost(look, server, i < p.list.own)
		switch {
		case !ok:
		case cost < low:
			best, low, equal = server, cost, 1
		case cost == low:
			equal++
			if look.Rand.IntN(equal) == 0 {
				best = server
			}
		}
	}
	return best, best.IsValid()
}

func (p *pick) cost(look *pool.Snapshot, server netip.AddrPort, own bool) (float64, bool) {
	load, pace, factor := float64(look.InFlight(server))/assumedLimit, float64(meanPace), 1.0
	if v := look.View(server); v != nil {
		room, ok := p.room(v)
		if !ok {
			return 0, false
		}
		load, pace, factor = v.Ratio(), expectedPace(v), room
	}
	penalty, usable := p.usable(server, look.Now)
	if !usable {
		factor *= triedCost
	}
	w := p.weights()
	if !own {
		factor *= w.otherZone
	}
	return (1 + w.load*load) * math.Pow(pace, w.pace) * factor * penalty, true
}

func (p *pick) weights() weights {
	if p.class == ident.Upload {
		return bulk
	}
	return usual
}

// room returns the factor for a server that is cold or full, and false for one that would not run the request.
func (p *pick) room(v *pool.View) (factor float64, ok bool) {
	if v.Refusing != code.None {
		return 0, false
	}
	factor = 1
	if v.Warming {
		factor = warmingCost
	}
	if v.Load < v.Limit {
		return factor, true
	}
	if p.class == ident.Check {
		return factor * fullCost, true // admission lets checks go before the others
	}
	queueFull := float64(v.Load) >= float64(v.Limit)*(1+queueShare)
	return factor * fullCost, !queueFull && len(p.tried) == 0
}

// expectedPace fades from the told pace to the usual mean.
func expectedPace(v *pool.View) float64 {
	told := float64(v.Pace)
	if v.Pace == 0 {
		told = hdrs.NormalPace
	}
	fresh := max(0, 1-float64(v.Age)/float64(paceFades))
	return meanPace + (told-meanPace)*fresh
}
