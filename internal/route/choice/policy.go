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

// Policy is a load balancing policy: Cheapest, Probing, RoundRobin, RandomTwo, LeastInFlight or Perfect.
type Policy interface{ isPolicy() }

// Probing selects by load reports. It discards servers that are much slower than the fastest one, then heavily loaded (hot) ones,
// and takes the least loaded server of a random sample of the rest, preferably in the router's zone.
type Probing struct{}

// Cheapest takes the server with the lowest estimated cost by recent reports: its load, including what this router has sent
// since the report, times its pace, the current service time relative to the usual one. It suits servers that report their pace.
type Cheapest struct{}

// RoundRobin takes one server after the other. It is a baseline for measurements.
type RoundRobin struct{}

// RandomTwo draws two random servers and takes the one with fewer requests according to its report or, without a report, with
// fewer requests in flight from this router (power of two choices). It is a baseline for measurements.
type RandomTwo struct{}

// LeastInFlight takes the server with the fewest requests in flight from this router. It is a baseline for measurements.
type LeastInFlight struct{}

// Perfect takes the server with the lowest cost according to the true state of all servers. Only tests can provide that.
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
	// hotQuantile is the quantile of the reported loads above which a server is hot.
	hotQuantile = 0.84
	// latencyTolerance is the ratio up to which latencies count as equal. A median over few responses varies by as much, and
	// following that noise would send all routers to the same server.
	latencyTolerance = 2.5
	// sampleSize is the number of servers whose loads are compared. All routers see nearly the same reports, and comparing every
	// server would send all requests of one round trip to the same one.
	sampleSize = 5
	// minReports is the number of usable reports below which servers are selected without reports.
	minReports = 3
	// warmingOneIn is the inverse of the probability that a selection takes a free slot of a server that is warming up before it
	// considers the others. Such a server needs some requests to show that it is warm, but every router sees the same free slot.
	warmingOneIn = 8
	// slowWaitFactor is the multiple of a server's latency at which an unanswered attempt shows that the server is slow. About one
	// in 150 responses of a healthy server with exponential service times takes as long.
	slowWaitFactor = 3
	// idleRetryOneIn is the inverse of the probability that a selection tries an idle server whose last reported latency was high.
	idleRetryOneIn = 32
	// maxOwnZoneLoad is the load, relative to the limit, up to which servers in the router's zone are preferred. Above it, the
	// difference in queueing time outweighs the millisecond between zones.
	maxOwnZoneLoad = 0.8
)

// selection is the selection of a server for one attempt.
type selection struct {
	chooser *Chooser
	state   *serviceState
	list    *candidateList
	tried   []netip.AddrPort
	class   ident.Class
	need    Need
	passed  bool // the floors of servers do not apply to this attempt
	floored bool // set if a server was left out because of its floor
}

// Pick implements pool.Picker.
func (p *selection) Pick(look *pool.Snapshot) (netip.AddrPort, bool) {
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
		return p.lowest(look, func(i int) (float64, bool) { return float64(look.InFlight(p.list.servers[i])), true })
	case Perfect:
		return p.lowest(look, func(i int) (float64, bool) { return float64(policy.Cost(p.list.servers[i])), true })
	default: // Probing
		return p.probing(look), true
	}
}

// lowest returns the server with the lowest cost among the candidates, of which cost gets the index and returns false for one that
// must not be selected. Ties are broken at random. It returns false when no candidate is left.
func (p *selection) lowest(look *pool.Snapshot, cost func(i int) (float64, bool)) (netip.AddrPort, bool) {
	best, low, equal := netip.AddrPort{}, math.Inf(1), 0
	for i, server := range p.list.servers {
		value, ok := cost(i)
		switch {
		case !ok:
		case value < low:
			best, low, equal = server, value, 1
		case value == low:
			equal++
			if look.Rand.IntN(equal) == 0 {
				best = server
			}
		}
	}
	return best, best.IsValid()
}

// randomTwo draws two usable servers and returns the one with the lower count.
func (p *selection) randomTwo(look *pool.Snapshot, reports bool) netip.AddrPort {
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

// draw returns a random server that is neither tried nor avoided. If a few draws find none, it returns the first such server, and
// if there is none at all, any server.
func (p *selection) draw(look *pool.Snapshot) netip.AddrPort {
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

// usable returns the error penalty of a server as a factor on its latency. It reports false for a server that is tried or avoided.
func (p *selection) usable(server netip.AddrPort, now time.Time) (float64, bool) {
	if slices.Contains(p.tried, server) {
		return 1, false
	}
	factor, avoided := p.state.penalty(server, now)
	return factor, !avoided
}

// candidate is a usable server with a report.
type candidate struct {
	server  netip.AddrPort
	ratio   float64 // load with this request, relative to the limit
	latency float64 // with the error penalty, in nanoseconds; 0 when unknown
	ownZone bool    // in the router's zone
	idle    bool    // the server has no requests
}

// probing implements the Probing policy.
func (p *selection) probing(look *pool.Snapshot) netip.AddrPort {
	var space [pool.MaxReports]candidate
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

// retryIdle returns an idle one of the slow servers in one of idleRetryOneIn selections. A server without requests
// cannot show that it has recovered, and if it has not, a single request at a time costs little.
func retryIdle(look *pool.Snapshot, slow []candidate) (netip.AddrPort, bool) {
	for i := range slow {
		if slow[i].idle && look.Rand.IntN(idleRetryOneIn) == 0 {
			return slow[i].server, true
		}
	}
	return netip.AddrPort{}, false
}

// partitionFast separates the candidates whose expected time is about as short as the lowest from the slow ones. This is done
// before hot servers are discarded: a slow server without requests is not hot and would attract load whenever the others are.
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

// expectedTime is the estimated time of the request at the server, including its time in the queue.
func (o *candidate) expectedTime() float64 {
	return o.latency * max(o.ratio, 1)
}

// expectedLatency estimates the latency of a new request. A server that has just become slow has few responses that show it, so
// the waiting time of an unanswered attempt is used once it is much longer than the reported latency.
func expectedLatency(v *pool.View) time.Duration {
	if v.Latency > 0 && v.Waiting > v.Latency*slowWaitFactor {
		return v.Waiting
	}
	return v.Latency
}

// partitionLight returns the candidates that are not hot. A server that would queue the request is always hot.
func partitionLight(candidates []candidate) []candidate {
	var space [pool.MaxReports]float64
	ratios := space[:0]
	for i := range candidates {
		ratios = append(ratios, candidates[i].ratio)
	}
	slices.Sort(ratios)
	bound := min(ratios[int(hotQuantile*float64(len(ratios)-1))], 1)
	return partition(candidates, func(o *candidate) bool { return o.ratio <= bound })
}

// partitionOwnZone returns the candidates in the router's zone with a load of at most maxOwnZoneLoad.
func partitionOwnZone(candidates []candidate) []candidate {
	return partition(candidates, func(o *candidate) bool { return o.ownZone && o.ratio <= maxOwnZoneLoad })
}

// partition moves the candidates that match to the front of the slice and returns them.
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

// leastLoaded returns the server with the lowest load in a random sample. Ties are broken at random.
func leastLoaded(look *pool.Snapshot, candidates []candidate) netip.AddrPort {
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
