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
	// sameLatency is the ratio up to which latencies count as equal: a median over few responses varies by as much, and
	// following that noise would send all routers to one server.
	sameLatency = 2.5
	// sample is the number of cold servers compared. All routers see nearly the same reports, and comparing every server
	// would send all requests of one round trip to the same one.
	sample = 5
	// fewReports is the number of reports below which servers are drawn without them.
	fewReports = 3
	// warmShare is one in how many selections may take a free slot of a warming server ahead of the others. It needs
	// some work to show that it is warm, and every router sees the same free slot.
	warmShare = 8
	// waitsLong is the multiple of the usual latency at which a waiting attempt shows that its server is slow. About one
	// in 150 responses of a healthy server with exponential service times takes as long.
	waitsLong = 3
	// retrialShare is one in how many selections may try an idle server whose latest latency was high.
	retrialShare = 32
	// zoneRoom is the load up to which the own zone is preferred; above it the difference in queueing outweighs a
	// millisecond between zones.
	zoneRoom = 0.8
)

// pick is one selection.
type pick struct {
	chooser *Chooser
	state   *state
	list    *list
	tried   []netip.AddrPort
	class   ident.Class
}

// Pick implements pool.Picker.
func (p *pick) Pick(look *pool.Snapshot) (netip.AddrPort, bool) {
	if len(p.list.servers) == 0 {
		return netip.AddrPort{}, false
	}
	switch policy := p.chooser.Policy.(type) {
	case Cheapest:
		return p.cheapest(look)
	case RoundRobin:
		turn := p.state.turn.Add(1)
		return p.list.servers[turn%uint64(len(p.list.servers))], true
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
func (p *pick) lowest(look *pool.Snapshot, cost func(netip.AddrPort) float64) netip.AddrPort {
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
func (p *pick) randomTwo(look *pool.Snapshot, reports bool) netip.AddrPort {
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
func (p *pick) draw(look *pool.Snapshot) netip.AddrPort {
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
func (p *pick) usable(server netip.AddrPort, now time.Time) (float64, bool) {
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

// option is a report that may be followed.
type option struct {
	server  netip.AddrPort
	ratio   float64 // load after this request, relative to the limit
	latency float64 // with the error penalty, in nanoseconds; 0 when unknown
	own     bool    // in the own zone
	idle    bool    // no request is at the server
}

// probing is the policy of the Probing type.
func (p *pick) probing(look *pool.Snapshot) netip.AddrPort {
	var space [pool.MaxReports]option
	options := space[:0]
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
		if v.Warming && v.Load < v.Limit && look.Rand.IntN(warmShare) == 0 {
			return v.Server
		}
		options = append(options, option{
			server:  v.Server,
			ratio:   float64(v.Load+1) / float64(v.Limit),
			latency: float64(latency(v)) * factor,
			own:     index < p.list.own,
			idle:    v.Load == 0,
		})
	}
	if len(options) < min(fewReports, len(p.list.servers)) {
		return p.randomTwo(look, false)
	}
	fast, slow := keepFast(options)
	if idle, ok := idleOne(look, slow); ok {
		return idle
	}
	cold := keepCold(fast)
	if len(cold) == 0 {
		return leastLoaded(look, fast)
	}
	if near := keepNear(cold); len(near) > 0 {
		cold = near
	}
	return leastLoaded(look, cold)
}

// idleOne returns an idle one of the slow servers for one in retrialShare selections. Without requests a server that has
// recovered cannot show it; a single request at a time costs little when it has not.
func idleOne(look *pool.Snapshot, slow []option) (netip.AddrPort, bool) {
	for i := range slow {
		if slow[i].idle && look.Rand.IntN(retrialShare) == 0 {
			return slow[i].server, true
		}
	}
	return netip.AddrPort{}, false
}

// keepFast separates the options whose expected time is as good as the lowest from the slow ones. It comes before the
// division into hot and cold: a slow server that is drained is cold, and would attract load whenever the others are hot.
func keepFast(options []option) (fast, slow []option) {
	low := math.Inf(1)
	for i := range options {
		if options[i].latency > 0 {
			low = min(low, options[i].expected())
		}
	}
	fast = keep(options, func(o *option) bool { return o.expected() <= low*sameLatency })
	return fast, options[len(fast):]
}

// expected is the time that the request would take, with its share of the queue.
func (o *option) expected() float64 {
	return o.latency * max(o.ratio, 1)
}

// latency is what a new request may expect. A server that has just become slow has few responses that show it, so an
// attempt that waits much longer than usual counts as well.
func latency(v *pool.View) time.Duration {
	if v.Latency > 0 && v.Waiting > v.Latency*waitsLong {
		return v.Waiting
	}
	return v.Latency
}

// keepCold moves the options that are not hot to the front. A server that would queue the request is always hot.
func keepCold(options []option) []option {
	var space [pool.MaxReports]float64
	ratios := space[:0]
	for i := range options {
		ratios = append(ratios, options[i].ratio)
	}
	slices.Sort(ratios)
	bound := min(ratios[int(hotQuantile*float64(len(ratios)-1))], 1)
	return keep(options, func(o *option) bool { return o.ratio <= bound })
}

// keepNear moves the options in the own zone that have room to the front.
func keepNear(options []option) []option {
	return keep(options, func(o *option) bool { return o.own && o.ratio <= zoneRoom })
}

func keep(options []option, good func(*option) bool) []option {
	n := 0
	for i := range options {
		if good(&options[i]) {
			options[n], options[i] = options[i], options[n]
			n++
		}
	}
	return options[:n]
}

// leastLoaded returns the lowest load among a random sample, a random one of equals.
func leastLoaded(look *pool.Snapshot, options []option) netip.AddrPort {
	n := min(sample, len(options))
	best, equal := 0, 0
	for i := range n {
		j := i + look.Rand.IntN(len(options)-i)
		options[i], options[j] = options[j], options[i]
		switch {
		case i == 0 || options[i].ratio < options[best].ratio:
			best, equal = i, 1
		case options[i].ratio == options[best].ratio:
			equal++
			if look.Rand.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return options[best].server
}
