package choice

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

func fleet(zones map[string]int) []member.Record {
	var records []member.Record
	for zone, count := range zones {
		for i := range count {
			address := netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:1", zone[0], i+1))
			records = append(records, member.Record{Address: address, Zone: zone, State: member.Serving})
		}
	}
	return records
}

// Guards against a subset that has all servers of a large service, none in the router's zone, or too few in total.
func TestSubset(t *testing.T) {
	for _, c := range []struct {
		zones      map[string]int
		own, other int
	}{
		{map[string]int{"a": 5, "b": 11}, 5, 11},
		{map[string]int{"a": 20, "b": 20, "c": 20}, subsetOwn, subsetOther},
		{map[string]int{"a": 3, "b": 30}, 3, 13},
		{map[string]int{"a": 30, "b": 2}, 14, 2},
		{map[string]int{"b": 30}, 0, 16},
	} {
		g := NewWithT(t)
		chooser := &Chooser{Zone: "a", Self: netip.MustParseAddrPort("10.0.0.1:1")}
		own, other := 0, 0
		for _, r := range chooser.subset(fleet(c.zones)) {
			if r.Zone == "a" {
				own++
			} else {
				other++
			}
		}
		g.Expect([]int{own, other}).To(Equal([]int{c.own, c.other}), "%v", c.zones)
	}
}

// Guards against servers that are in the subsets of few routers only, and against many changed subsets when one server leaves.
func TestSubsetsAreEvenAndStable(t *testing.T) {
	g := NewWithT(t)
	const routers, servers = 200, 60
	users := map[member.Record]int{}
	changed := 0
	for i := range routers {
		chooser := &Chooser{Zone: "a", Self: netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:1", i+1))}
		all := fleet(map[string]int{"a": servers})
		before := map[member.Record]bool{}
		for _, r := range chooser.subset(all) {
			users[r]++
			before[r] = true
		}
		for _, r := range chooser.subset(fleet(map[string]int{"a": servers - 1})) {
			if !before[r] {
				changed++
			}
		}
	}
	mean := float64(routers) * (subsetOwn + subsetOther) / servers
	g.Expect(users).To(HaveLen(servers))
	for r, n := range users {
		g.Expect(float64(n)).To(And(BeNumerically(">", mean/2), BeNumerically("<", mean*1.7)), "%v", r.Address)
	}
	g.Expect(changed).To(BeNumerically("<", routers/2))
}
