package config

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a request on a route that needs a key which is sent without one, because a later revision gives the name of its route to
// another route: on a hosted platform the names follow the order of the operators' list.
func TestNeedOfAKeyFollowsTheRouteOfTheRequest(t *testing.T) {
	g := NewWithT(t)
	conf := &Config{
		Organisations: map[string]*Organisation{"o0": NewOrganisation("o0")},
		Routes:        map[string]*Route{"r0": {Name: "r0", Public: true}, "r1": {Name: "r1"}},
	}
	g.Expect(conf.NeedsKey(&Route{Name: "r0"})).To(BeTrue())
	g.Expect(conf.NeedsKey(&Route{Name: "r1", Public: true})).To(BeFalse())
	g.Expect(conf.NeedsKey(nil)).To(BeFalse())
	g.Expect((&Config{}).NeedsKey(&Route{Name: "r0"})).To(BeFalse())
}
