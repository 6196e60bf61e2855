package choice

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
)

// Policy is a way to select a server: Cheapest, Probing, RoundRobin, RandomTwo, LeastInFlight or Perfect.
type Policy interface{ isPolicy() }

// Probing selects by load reports: servers with much load are hot; among cold ones low latency decides, then low load.
type Probing struct{}

// Cheapest takes the server at which a request costs least by fresh reports: the requests there, with those that this router
// has sent since, times the time that work takes at the server now. It suits servers that tell their pace.
type Cheapest struct{}

// RoundRobin takes servers in turn. It is a baseline for measurements.
type RoundRobin struct{}

// RandomTwo draws two servers and takes the one with fewer requests by its report, or by the own count without one. It
// is a baseline for measurements.
type RandomTwo struct{}

// LeastInFlight takes the server with the fewest own requests. It is a baseline for measurements.
type LeastInFlight struct{}

// Perfect takes the server with the lowest cost that an outside observer knows. Only tests can provide one.
type Perfect struct {
	Cost func(server netip.AddrPort) time.Duration
}

func (Cheapest) isPolicy()      {}
func (Probing) isPolicy()       {}
func (RoundRobin) isPolicy()    {}
func (RandomTwo) isPolicy()     {}
func (LeastInFlight) isPolicy() {}
func (Perfect) isPolicy()       {}

const (
	// hotQuantile of the loads in the pool separates hot servers from cold ones.
	hotQuantile = 0.84
	// latencyTolerance is the ratio up to which latencies count as equal: a median over few responses varies by as much, and
	// following that noise would send all routers to one server.
	latencyTolerance = 2.5
	// sampleSize is the number of cold servers compared. All routers see nearly the same reports, and comparing every server
	// would send all requests of one round trip to the same one.
	sampleSize = 5
	// minReports is the number of reports below which servers are drawn without them.
	minReports = 3
	// warmingOneIn is one in how many selections may take a free slot of a warming server ahead of the others. It needs
	// some work to show that it is warm, and every router sees the same free slot.
	warmingOneIn = 8
	// slowWaitFactor is the multiple of the usual latency at which a waiting attempt shows that its server is slow. About one
	// in 150 responses of a healthy server with exponential service times takes as long.
	slowWaitFactor = 3
	// idleRetryOneIn is one in how many selections may try an idle server whose latest latency was high.
	idleRetryOneIn = 32
	// maxOwnZoneLoad is the load up to which the own zone is preferred; above it the difference in queueing outweighs a
	// millisecond between zones.
	maxOwnZoneLoad = 0.8
)

// selection is one selection.
type selection struct {
	chooser *Chooser
	state   *serviceState
	list    *candidateList
	tried   []netip.AddrPort
	class   ident.Class
}

// Pick implements pool.Picker.
func (p *selection) Pick(look *pool.Look) (netip.AddrPort, bool) {
	if len(p.list.servers) == 0 {
		return netip.AddrPort{}, false
	}
	switch policy := p.chooser.Policy.(type) {
	case Cheapest:
		return p.cheapest(look)
	case RoundRobin:
		next := p.state.next.Add(1)
		return p.list.servers[next%uint64(len(p.list.servers))], true
	case RandomTwo:
		return p.randomTwo(look, true), true
	case LeastInFlight:
		return p.lowest(look, func(server netip.AddrPort) float64 { return float64(look.InFlight(server)) }), true
	case Perfect:
		return p.lowest(look, func(server netip.AddrPort) float64 { return float64(policy.Cost(server)) }), true
	default: // Probing
		return p.probing(look), true
	}
}

// lowest returns the server with the lowest cost, a random one of equals.
func (p *selection) lowest(look *pool.Look, cost func(netip.AddrPort) float64) netip.AddrPort {
	best, low, equal := p.list.servers[0], math.Inf(1), 0
	for _, server := range p.list.servers {
		value := cost(server)
		switch {
		case value < low:
			best, low, equal = server, value, 1
		case value == low:
			equal++
			if look.Rand.IntN(equal) == 0 {
				best = server
			}
		}
	}
	return best
}

// randomTwo draws two usable servers and returns the one with the lower count.
func (p *selection) randomTwo(look *pool.Look, reports bool) netip.AddrPort {
	first, second := p.draw(look), p.draw(look)
	count := func(server netip.AddrPort) int {
		if reports {
			for i := range look.Views {
				if look.Views[i].Server == server {
					return look.Views[i].Load
				}
			}
		}
		return look.InFlight(server)
	}
	if count(second) < count(first) {
		return second
	}
	return first
}

// draw returns a random server that is neither tried nor avoided, unless a few draws find none.
func (p *selection) draw(look *pool.Look) netip.AddrPort {
	var server netip.AddrPort
	for range 4 {
		server = p.list.servers[look.Rand.IntN(len(p.list.servers))]
		if _, ok := p.usable(server, look.Now); ok {
			return server
		}
	}
	for _, other := range p.list.servers {
		if _, ok := p.usable(other, look.Now); ok {
			return other
		}
	}
	return server
}

// usable returns the factor on the server's latency, and false for a server that is tried or avoided.
func (p *selection) usable(server netip.AddrPort, now time.Time) (float64, bool) {
	if slices.Contains(p.tried, server) {
		return 1, false
	}
	if !p.state.penalties.Load() {
		return 1, true
	}
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	factor, avoided := p.state.avoid.penalty(server, now)
	return factor, !avoided
}

// candidate is a report that may be followed.
type candidate struct {
	server  netip.AddrPort
	ratio   float64 // load after this request, relative to the limit
	latency float64 // with the error penalty, in nanoseconds; 0 when unknown
	ownZone bool    // in the own zone
	idle    bool    // no request is at the server
}

// probing is the policy of the Probing type.
func (p *selection) probing(look *pool.Look) netip.AddrPort {
	var space [pool.Size]candidate
	candidates := space[:0]
	for i := range look.Views {
		v := &look.Views[i]
		index, listed := p.list.index[v.Server]
		if !listed || v.Refusing != code.None {
			continue
		}
		factor, ok := p.usable(v.Server, look.Now)
		if !ok {
			continue
		}
		if v.Warming && v.Load < v.Limit && look.Rand.IntN(warmingOneIn) == 0 {
			return v.Server
		}
		candidates = append(candidates, candidate{
			server:  v.Server,
			ratio:   float64(v.Load+1) / float64(v.Limit),
			latency: float64(expectedLatency(v)) * factor,
			ownZone: index < p.list.ownZone,
			idle:    v.Load == 0,
		})
	}
	if len(candidates) < min(minReports, len(p.list.servers)) {
		return p.randomTwo(look, false)
	}
	fast, slow := partitionFast(candidates)
	if server, ok := retryIdle(look, slow); ok {
		return server
	}
	light := partitionLight(fast)
	if len(light) == 0 {
		return leastLoaded(look, fast)
	}
	if local := partitionOwnZone(light); len(local) > 0 {
		light = local
	}
	return leastLoaded(look, light)
}

// retryIdle returns an idle one of the slow servers for one in retrialShare selections. Without requests a server that has
// recovered cannot show it; a single request at a time costs little when it has not.
func retryIdle(look *pool.Look, slow []candidate) (netip.AddrPort, bool) {
	for i := range slow {
		if slow[i].idle && look.Rand.IntN(idleRetryOneIn) == 0 {
			return slow[i].server, true
		}
	}
	return netip.AddrPort{}, false
}

// partitionFast separates the options whose expected time is as good as the lowest from the slow ones. It comes before the
// division into hot and cold: a slow server that is drained is cold, and would attract load whenever the others are hot.
func partitionFast(candidates []candidate) (fast, slow []candidate) {
	low := math.Inf(1)
	for i := range candidates {
		if candidates[i].latency > 0 {
			low = min(low, candidates[i].expectedTime())
		}
	}
	fast = partition(candidates, func(o *candidate) bool { return o.expectedTime() <= low*latencyTolerance })
	return fast, candidates[len(fast):]
}

// expectedTime is the time that the request would take, with its share of the queue.
func (o *candidate) expectedTime() float64 {
	return o.latency * max(o.ratio, 1)
}

// expectedLatency is what a new request may expect. A server that has just become slow has few responses that show it, so an
// attempt that waits much longer than usual counts as well.
func expectedLatency(v *pool.View) time.Duration {
	if v.Latency > 0 && v.Waiting > v.Latency*slowWaitFactor {
		return v.Waiting
	}
	return v.Latency
}

// partitionLight moves the options that are not hot to the front. A server that would queue the request is always hot.
func partitionLight(candidates []candidate) []candidate {
	var space [pool.Size]float64
	ratios := space[:0]
	for i := range candidates {
		ratios = append(ratios, candidates[i].ratio)
	}
	slices.Sort(ratios)
	bound := min(ratios[int(hotQuantile*float64(len(ratios)-1))], 1)
	return partition(candidates, func(o *candidate) bool { return o.ratio <= bound })
}

// partitionOwnZone moves the options in the own zone that have room to the front.
func partitionOwnZone(candidates []candidate) []candidate {
	return partition(candidates, func(o *candidate) bool { return o.ownZone && o.ratio <= maxOwnZoneLoad })
}

func partition(candidates []candidate, match func(*candidate) bool) []candidate {
	n := 0
	for i := range candidates {
		if match(&candidates[i]) {
			candidates[n], candidates[i] = candidates[i], candidates[n]
			n++
		}
	}
	return candidates[:n]
}

// leastLoaded returns the lowest load among a random sample, a random one of equals.
func leastLoaded(look *pool.Look, candidates []candidate) netip.AddrPort {
	n := min(sampleSize, len(candidates))
	best, equal := 0, 0
	for i := range n {
		j := i + look.Rand.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		switch {
		case i == 0 || candidates[i].ratio < candidates[best].ratio:
			best, equal = i, 1
		case candidates[i].ratio == candidates[best].ratio:
			equal++
			if look.Rand.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return candidates[best].server
}
