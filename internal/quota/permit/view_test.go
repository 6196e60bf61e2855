package permit

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
)

// Guards against daemons that rank the same members differently, an owner that changes for other reasons than its own departure, and an
// uneven distribution of the organisations.
func TestRankingsAreTheSameEverywhere(t *testing.T) {
	g := NewWithT(t)
	var members []netip.AddrPort
	for i := range 40 {
		members = append(members, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 9000))
	}
	ranked := func(organisation string, known []netip.AddrPort) []netip.AddrPort {
		return (&view{known: known, rankings: make(map[string][]netip.AddrPort)}).ranked(organisation)
	}
	owned := make(map[netip.AddrPort]int)
	for i := range 2000 {
		name := fmt.Sprint("organisation-", i)
		sorted := slices.SortedFunc(slices.Values(members), func(x, y netip.AddrPort) int {
			return cmp.Compare(score(xxhash.Sum64String(name), y), score(xxhash.Sum64String(name), x))
		})
		g.Expect(ranked(name, members)).To(Equal(sorted[:rankedCount]))
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		g.Expect(ranked(name, reversed)).To(Equal(sorted[:rankedCount]))
		without := slices.DeleteFunc(slices.Clone(members), func(m netip.AddrPort) bool { return m == sorted[0] })
		g.Expect(ranked(name, without)[0]).To(Equal(sorted[1]))
		owned[sorted[0]]++
	}
	for _, count := range owned {
		g.Expect(count).To(BeNumerically("~", 50, 35))
	}
	g.Expect(ranked("ann", members[:3])).To(HaveLen(3))
}
