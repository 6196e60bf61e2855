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
	// paceDecay is the age at which a reported pace no longer predicts the current one: the speed of an instance changes about this often.
	paceDecay = 150 * time.Millisecond
	// meanPace is the pace assumed for a server without a recent report, in percent of the usual service time.
	meanPace = 180
	// fullFactor multiplies the cost of a server that has reached its limit: the request would be queued or refused.
	fullFactor = 3
	// warmingFactor multiplies the cost of a cold server, which is slow and admits few requests.
	warmingFactor = 3
	// triedFactor multiplies the cost of a server that has been tried for this request or is avoided.
	triedFactor = 8
	// assumedLimit is the concurrency limit assumed for a server without a recent report.
	assumedLimit = 12
)

// weights determine how the terms of the cost are combined for a kind of request.
type weights struct {
	// load is the increase in cost, relative to an idle server, when the load equals the limit. Load below the limit hardly slows
	// a server; it only shows how likely the server is to be full by the time the request arrives.
	load float64
	// pace is the exponent of the server's pace. The pace may change several times during a long request, so the current one
	// predicts its duration less well.
	pace float64
	// otherZone multiplies the cost of a server in another zone. Traffic between zones is billed.
	otherZone float64
}

var (
	defaultWeights = weights{load: 1, pace: 1, otherZone: 1.2}
	// uploadWeights are for requests with large bodies: bodies that arrive at the same time share the server's link.
	uploadWeights = weights{load: 4, pace: 0.5, otherZone: 3}
)

const (
	// maxQueueShare is the length of a server's queue, as a share of its limit, from which it gets no more first attempts.
	// Requests wait in the queue only briefly, and a longer one would not drain in that time.
	maxQueueShare = 0.25
	// floorPassShare is the share of the attempts to which the floors of servers do not apply. A server that gets no requests of a
	// priority could not serve it at a quarter of the rate of the others.
	floorPassShare = 0.5
)

// cheapest implements the Cheapest policy. It reports false when every server refuses new work or is known to be full: the
// request would only be refused after a wait, so it is better to fail at once.
func (p *selection) cheapest(look *pool.Snapshot) (netip.AddrPort, bool) {
	p.passed = p.need.Priority == 0 || p.need.Nested || look.Rand.Float64() < floorPassShare
	return p.lowest(look, func(i int) (float64, bool) { return p.cost(look, p.list.servers[i], i < p.list.ownZone) })
}

func (p *selection) cost(look *pool.Snapshot, server netip.AddrPort, ownZone bool) (float64, bool) {
	load, pace, factor := float64(look.InFlight(server))/assumedLimit, float64(meanPace), 1.0
	if v := look.View(server); v != nil {
		capacity, ok := p.capacityFactor(v)
		if !ok {
			return 0, false
		}
		load, pace, factor = v.Ratio(), expectedPace(v), capacity
	}
	penalty, usable := p.usable(server, look.Now)
	if !usable {
		factor *= triedFactor
	}
	w := p.weights()
	if !ownZone {
		factor *= w.otherZone
	}
	return (1 + w.load*load) * math.Pow(pace, w.pace) * factor * penalty, true
}

func (p *selection) weights() weights {
	if p.class == ident.Upload {
		return uploadWeights
	}
	return defaultWeights
}

// capacityFactor returns the factor on the cost of a cold or full server. It reports false for a server that would not run the request.
func (p *selection) capacityFactor(v *pool.View) (factor float64, ok bool) {
	if v.Refusing != code.None {
		return 0, false
	}
	factor = 1
	if v.Warming {
		factor = warmingFactor
	}
	if v.Load < v.Limit {
		return factor, true
	}
	if p.need.ByPrecedence {
		below := v.Floor > 0 && p.need.Priority >= v.Floor && !p.passed
		p.floored = p.floored || below
		return factor * fullFactor, !below
	}
	if p.class == ident.Check {
		return factor * fullFactor, true // admission gives checks priority over other requests
	}
	queueFull := float64(v.Load) >= float64(v.Limit)*(1+maxQueueShare)
	return factor * fullFactor, !queueFull && len(p.tried) == 0
}

// expectedPace moves linearly from the reported pace to meanPace as the report ages.
func expectedPace(v *pool.View) float64 {
	reported := float64(v.Pace)
	if v.Pace == 0 {
		reported = hdrs.NormalPace
	}
	weight := max(0, 1-float64(v.Age)/float64(paceDecay))
	return meanPace + (reported-meanPace)*weight
}
