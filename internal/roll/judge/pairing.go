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
}

// paired holds the counts of one daemon. The weight of a response is the number of responses of the target release in its period, divided
// by that of the old release.
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
		p.close(olds, periods, float64(targets)/float64(responses))
		p.target = *target.Clone()
	}
	whole, weighted, merged := p.references(olds)
	return compare(whole, weighted, merged, target, badChance)
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

func (p *Pairing) close(olds []Source, periods []*tally.Tally, weight float64) {
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

// references returns the counts of the daemons that are not worse than the others: without weights, with weights, and merged.
func (p *Pairing) references(olds []Source) (whole, weighted reference, merged *tally.Tally) {
	totals := make([]counts, len(olds))
	references := make([]reference, len(olds))
	for i, old := range olds {
		references[i] = referenceOf(old.Tally)
		totals[i] = *references[i].total()
	}
	whole, weighted, merged = reference{}, reference{}, &tally.Tally{}
	for i, worse := range outliers(totals) {
		if !worse {
			whole.merge(references[i])
			merged.Merge(olds[i].Tally)
			weighted.merge(p.olds[olds[i].Address].counts)
		}
	}
	return whole, weighted, merged
}
