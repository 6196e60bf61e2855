package judge

import (
	"net/netip"

	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

// minPeriod is the least number of responses of the old release in one period of a pairing: its shares are estimated for each period.
const minPeriod = 20

// Source is the tally of one daemon with an old server. Tally is cumulative.
type Source struct {
	Address netip.AddrPort
	Tally   *tally.Tally
}

// Pairing compares the releases over the same times, without the old servers that are worse than the other old ones. Target servers get
// their requests in bursts, so that without pairing a fault of a called service that lasts a second can weigh more in the responses of the
// target release than in those of the old one. It is not safe for concurrent use.
type Pairing struct {
	target tally.Tally // at the end of the last period
	olds   map[netip.AddrPort]*paired
	// The sums over all periods of the weights of the old release's responses, and of their squares. The weight of a response is the number
	// of responses of the target release in its period, divided by that of the old release.
	weights, squares float64
}

// paired holds the weighted counts of one daemon.
type paired struct {
	last   *tally.Tally // at the end of the last period
	counts reference
}

// Compare compares the releases up to now; all tallies are those of one order.
func (p *Pairing) Compare(olds []Source, target *tally.Tally) Finding {
	if p.olds == nil {
		p.olds = map[netip.AddrPort]*paired{}
	}
	recent := target.Clone().Since(&p.target)
	targets, _ := recent.Total()
	var responses uint64
	periods := make([]*tally.Tally, len(olds))
	for i, old := range olds {
		periods[i] = p.period(old)
		n, _ := periods[i].Total()
		responses += n
	}
	if responses >= minPeriod {
		p.close(olds, periods, float64(targets)/float64(responses), float64(responses))
		p.target = *target.Clone()
	}
	if p.squares == 0 {
		return compare(reference{}, target)
	}
	return compare(p.reference(), target)
}

// period returns the counts of a daemon since the last period.
func (p *Pairing) period(old Source) *tally.Tally {
	known := p.olds[old.Address]
	if known == nil {
		known = &paired{last: &tally.Tally{}, counts: reference{}}
		p.olds[old.Address] = known
	}
	now := old.Tally.Clone()
	before, _ := known.last.Total()
	if n, _ := now.Total(); n < before { // the daemon has restarted
		return now
	}
	return now.Since(known.last)
}

func (p *Pairing) close(olds []Source, periods []*tally.Tally, weight, responses float64) {
	p.weights += weight * responses
	p.squares += weight * weight * responses
	for i, old := range olds {
		known := p.olds[old.Address]
		known.last = old.Tally.Clone()
		if weight == 0 {
			continue
		}
		for r := range periods[i].Routes {
			known.counts.add(&periods[i].Routes[r], weight)
		}
	}
}

// reference returns the counts of the daemons that are not worse than the others, scaled to the number of unweighted responses that would
// be as informative.
func (p *Pairing) reference() reference {
	factor := p.weights / p.squares
	var daemons []counts
	var references []reference
	for _, known := range p.olds {
		total := known.counts.total()
		if total.responses > 0 {
			daemons, references = append(daemons, *total.times(factor)), append(references, known.counts)
		}
	}
	merged := reference{}
	for i, worse := range outliers(daemons) {
		if !worse {
			merged.merge(references[i], factor)
		}
	}
	return merged
}
