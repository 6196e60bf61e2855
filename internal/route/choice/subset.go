package choice

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// A router uses a subset of the servers of a large service: these numbers of servers in its own zone and in other zones, or more
// of one kind when there are fewer of the other. Connections and reports then do not grow with the service, and selecting among
// this many servers is nearly as good as selecting among all.
const (
	subsetOwn   = 10
	subsetOther = 6
)

// subset selects servers by rendezvous hashing, so that a server that joins or leaves changes the subsets of few routers only.
func (c *Chooser) subset(servers []member.Record) []member.Record {
	if len(servers) <= subsetOwn+subsetOther {
		return servers
	}
	scores := make(map[member.Record]uint64, len(servers))
	own := 0
	for _, r := range servers {
		scores[r] = c.score(r)
		if r.Zone == c.Zone {
			own++
		}
	}
	slices.SortFunc(servers, func(a, b member.Record) int { return cmp.Compare(scores[b], scores[a]) })
	keepOwn := min(own, subsetOwn)
	keepOther := min(len(servers)-own, subsetOwn+subsetOther-keepOwn)
	keepOwn = min(own, subsetOwn+subsetOther-keepOther)
	kept := servers[:0]
	for _, r := range servers {
		left := &keepOther
		if r.Zone == c.Zone {
			left = &keepOwn
		}
		if *left > 0 {
			*left--
			kept = append(kept, r)
		}
	}
	return kept
}

func (c *Chooser) score(r member.Record) uint64 {
	var buffer [96]byte
	text := c.Self.AppendTo(buffer[:0])
	text = append(text, ' ')
	return xxhash.Sum64(r.Address.AppendTo(text))
}
