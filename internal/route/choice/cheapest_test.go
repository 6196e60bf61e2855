package choice

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// cheapestRig selects among three servers, the first in the own zone, by reports that the test has given.
type cheapestRig struct {
	*WithT
	now     time.Time
	reports *pool.Pool
	chooser *Chooser
	servers []netip.AddrPort
	class   ident.Class
}

func newCheapestRig(t *testing.T) *cheapestRig {
	r := &cheapestRig{WithT: NewWithT(t), now: time.Now(), class: ident.Lookup}
	for _, text := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		r.servers = append(r.servers, netip.MustParseAddrPort(text))
	}
	r.reports = &pool.Pool{Now: func() time.Time { return r.now }}
	r.chooser = &Chooser{Policy: Cheapest{}, Pool: r.reports, Now: r.reports.Now}
	return r
}

func (r *cheapestRig) report(server int, change func(*proto.Report)) {
	report := proto.Report{Server: r.servers[server], Limit: 12, Pace: 100}
	change(&report)
	r.reports.Service("s").AddReport(report)
}

// pick returns the number of the selected server, or -1.
func (r *cheapestRig) pick(tried ...netip.AddrPort) int {
	l := &list{servers: r.servers, own: 1, index: map[netip.AddrPort]int{}}
	p := &pick{chooser: r.chooser, state: r.chooser.service("s"), list: l, tried: tried, class: r.class}
	sent, ok := r.reports.Service("s").Pick(p, true)
	if !ok {
		return -1
	}
	r.reports.Service("s").Ended(sent, false)
	for i, server := range r.servers {
		if server == sent.Server {
			return i
		}
	}
	return -1
}

// members are servers of one zone and service.
type members []netip.AddrPort

// Service implements Members.
func (m members) Service(string) []member.Record {
	var records []member.Record
	for _, server := range m {
		records = append(records, member.Record{Address: server, Service: "s", State: member.Serving})
	}
	return records
}

// Guards against requests to a slowed, full or leaving server while another one is better, and against bytes between zones
// for nothing.
func TestCheapestServer(t *testing.T) {
	load := func(n int) func(*proto.Report) { return func(report *proto.Report) { report.InFlight = n } }
	pace := func(n int) func(*proto.Report) { return func(report *proto.Report) { report.Pace = n } }
	r := newCheapestRig(t)
	for i := range r.servers {
		r.report(i, load(3))
	}
	r.Expect(r.pick()).To(Equal(0), "the own zone among equals")
	r.report(0, load(5))
	r.report(2, load(2))
	r.Expect(r.pick()).To(Equal(2), "fewer requests elsewhere")
	r.report(2, pace(500))
	r.report(1, load(3))
	r.report(0, load(11))
	r.Expect(r.pick()).To(Equal(1), "a slowed instance costs its pace")
	r.report(1, func(report *proto.Report) { report.Refusing = code.ServerLeaving })
	r.report(2, func(report *proto.Report) { report.Warming = true; report.InFlight = 6 })
	r.Expect(r.pick()).To(Equal(0), "a cold server costs more")
	r.Expect(r.pick(r.servers[0])).To(Equal(2), "one that has refused the request costs more")
}

// Guards against requests that go to a slowed instance or to another zone only because a server below its limit runs a few more, and
// against uploads that cross zones for a pace that changes before they are in.
func TestLoadBelowTheLimitWeighsLittle(t *testing.T) {
	r := newCheapestRig(t)
	report := func(server, load, pace int) {
		r.report(server, func(report *proto.Report) { report.InFlight, report.Pace = load, pace })
	}
	report(0, 4, 100)
	report(1, 0, 180)
	report(2, 1, 500)
	r.Expect(r.pick()).To(Equal(0), "a fast server with room goes before an idle slow one")
	report(0, 11, 100)
	report(1, 0, 100)
	r.Expect(r.pick()).To(Equal(1), "a nearly full server is likely to be full when the request arrives")
	r.class = ident.Upload
	report(0, 1, 300)
	r.Expect(r.pick()).To(Equal(0), "an upload stays in its zone")
	report(0, 10, 300)
	r.Expect(r.pick()).To(Equal(1), "and leaves it when the server there is nearly full")
}

// Guards against a request that is sent to a full server and comes back after a wait, when its caller could be told at once.
func TestFullServersAreNotTried(t *testing.T) {
	r := newCheapestRig(t)
	full := func(report *proto.Report) { report.InFlight, report.Queued = 12, 3 }
	for i := range r.servers {
		r.report(i, full)
	}
	r.Expect(r.pick()).To(Equal(-1))
	conf := &config.Holder{}
	r.Expect(conf.Set(&config.Config{Revision: 1, Services: map[string]*config.Service{"s": config.NewService("s")}})).To(Succeed())
	r.chooser.Config, r.chooser.Members = conf, members(r.servers)
	_, err := r.chooser.Select("s", nil, ident.Lookup)
	r.Expect(errors.Is(err, ErrFull)).To(BeTrue(), "no further attempt helps")
	r.report(1, func(report *proto.Report) { report.InFlight, report.Queued = 12, 1 })
	r.Expect(r.pick()).To(Equal(1), "a short queue takes a first attempt")
	r.Expect(r.pick(r.servers[0])).To(Equal(-1), "and no second one")
	r.now = r.now.Add(pool.MaxReportAge + time.Millisecond)
	r.Expect(r.pick()).NotTo(Equal(-1), "old reports say nothing")
}

// Guards against a pace that is followed long after it was told.
func TestPaceFades(t *testing.T) {
	g := NewWithT(t)
	v := &pool.View{Pace: 500}
	g.Expect(expectedPace(v)).To(Equal(500.0))
	v.Age = paceFades
	g.Expect(expectedPace(v)).To(Equal(float64(meanPace)))
	g.Expect(expectedPace(&pool.View{})).To(Equal(100.0), "a server that tells no pace is taken to be usual")
}
