package choice

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards against a server that answers every request with an error at once: its low load and latency must not draw more
// than its even share, and after the first second hardly anything.
func TestFailFastServerDoesNotAttractLoad(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	q := newQueueing(7, fixed(Probing{}))
	q.servers[4].fails = true
	count := func() (bad, all uint64) {
		for _, c := range q.routers {
			for _, s := range c.Dump().(Dump).Services[0].Servers {
				all += s.Selected
				if s.Server == q.servers[4].address {
					bad += s.Selected
				}
			}
		}
		return bad, all
	}
	q.after(time.Second, func() {
		bad, all := count()
		g.Expect(bad * servers).To(gomega.BeNumerically("<=", all))
	})
	q.run()
	bad, all := count()
	t.Logf("%d of %d requests at the failing server", bad, all)
	g.Expect(float64(bad)).To(gomega.BeNumerically("<=", 0.01*float64(all)))
}

// Guards against a stampede: routers with the same reports must not all select the server with the lowest load.
func TestSameReportsDoNotCauseAStampede(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueueing(3, fixed(Probing{}))
	got := map[netip.AddrPort]int{}
	for _, c := range q.routers {
		c.Zone = "none" // the preference for the own zone would spread them
		for i, b := range q.servers {
			c.Pool.Service("stock").AddReport(proto.Report{Server: b.address, InFlight: 2 + min(i, 1), Limit: slots, Latency: meanWork})
		}
		sent, err := c.Select("stock", nil, ident.Lookup)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got[sent.Server]++
	}
	for server, n := range got {
		g.Expect(n).To(gomega.BeNumerically("<=", 10), "%v got %d of 13", server, n) // its free slots
	}
}

// Guards against selecting a server whose daemon is dead until the members learn of it.
func TestUnreachableServersAreNotSelected(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueueing(3, fixed(Probing{}))
	c := q.routers[0]
	dead := map[netip.AddrPort]bool{}
	for _, b := range q.servers[:servers/2] {
		dead[b.address] = true
		c.MarkUnreachable("stock", b.address)
	}
	for range 20 * servers {
		sent, err := c.Select("stock", nil, ident.Lookup)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(dead).NotTo(gomega.HaveKey(sent.Server))
	}
	q.now += 2 * darkFor
	g.Eventually(func() bool {
		sent, err := c.Select("stock", nil, ident.Lookup)
		return err == nil && dead[sent.Server]
	}).Should(gomega.BeTrue(), "never tried again")
}

// Guards against avoiding so many servers that the rest is overloaded, and against avoiding one for ever.
func TestAvoidsAtMostAThird(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueueing(3, fixed(Probing{}))
	c := q.routers[0]
	_, err := c.Select("stock", nil, ident.Lookup)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	avoided := func() (n int) {
		for _, s := range c.Dump().(Dump).Services[0].Servers {
			if s.Avoided > 0 {
				g.Expect(s.Reason).To(gomega.Equal("status 500"))
				n++
			}
		}
		return n
	}
	for range 2 * errorsToAvoid {
		for _, b := range q.servers {
			c.RecordResult("stock", b.address, true, "status 500")
		}
	}
	g.Expect(avoided()).To(gomega.Equal(servers / 3))
	q.now += 2 * minAvoid
	g.Expect(avoided()).To(gomega.Equal(0))
}

// Guards invariants 3 and 7 at the router: zones that are out, zones that may not carry the service, leaving servers and
// members that are not serving are not selected, and the list follows both configuration and members.
func TestCandidatesFollowConfigurationAndMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueueing(3, fixed(Probing{}))
	c := q.routers[0] // zone a
	c.Members = append(records{}, c.Members.(records)...)
	list := c.Members.(records)
	zones := func() map[string]int {
		got := map[string]int{}
		for _, server := range c.Servers("stock") {
			got[q.backend(server).zone]++
		}
		return got
	}
	g.Expect(zones()).To(gomega.Equal(map[string]int{"a": 5, "b": 4, "c": 4}))
	first := c.service("stock").list.Load()
	g.Expect(c.candidates("stock", c.Config.Get())).To(gomega.BeIdenticalTo(first), "rebuilt without a change")

	service := config.NewService("stock")
	service.Zones = []string{"a", "b"}
	next := &config.Config{
		Revision: 2, Services: map[string]*config.Service{"stock": service},
		Zones:   map[string]config.ZoneState{"b": config.ZoneOut},
		Servers: map[netip.AddrPort]config.ServerState{q.servers[0].address: config.ServerLeaving},
	}
	g.Expect(c.Config.Set(next)).To(gomega.Succeed())
	g.Expect(zones()).To(gomega.Equal(map[string]int{"a": 4}))

	list[3].State, list[6].State, list[9].State = member.Leaving, member.Gone, member.Suspect
	c.MembersChanged("stock")
	g.Expect(c.Servers("stock")).To(gomega.Equal([]netip.AddrPort{q.servers[12].address}))
	list[12].State = member.Joining
	c.MembersChanged("stock")
	g.Expect(c.Servers("stock")).To(gomega.Equal([]netip.AddrPort{q.servers[9].address}), "a suspect is the last resort")
}

// Guards the preference for the own zone, and that it ends when the zone has no room.
func TestOwnZoneFirstWhileItHasRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	q := newQueueing(3, fixed(Probing{}))
	c := q.routers[0]
	c.Pool.Rand = func(string) *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
	share := func(load int) (own int) {
		for range 100 {
			for _, b := range q.servers {
				n := 3
				if b.zone == c.Zone {
					n = load
				}
				c.Pool.Service("stock").AddReport(proto.Report{Server: b.address, InFlight: n, Limit: slots, Latency: meanWork})
			}
			sent, err := c.Select("stock", nil, ident.Lookup)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			c.Pool.Service("stock").Ended(sent, false)
			if q.backend(sent.Server).zone == c.Zone {
				own++
			}
		}
		return own
	}
	g.Expect(share(3)).To(gomega.Equal(100))
	g.Expect(share(slots-2)).To(gomega.BeNumerically("<=", 2), "one slot left")
	g.Expect(share(slots)).To(gomega.Equal(0))
}
