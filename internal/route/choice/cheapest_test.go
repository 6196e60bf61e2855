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

// cheapestFixture selects among three servers, of which only the first is in the router's zone, by the reports of a test.
type cheapestFixture struct {
	*WithT
	now     time.Time
	pool    *pool.Pool
	chooser *Chooser
	servers []netip.AddrPort
	class   ident.Class
}

func newCheapestFixture(t *testing.T) *cheapestFixture {
	r := &cheapestFixture{WithT: NewWithT(t), now: time.Now(), class: ident.Lookup}
	for _, text := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		r.servers = append(r.servers, netip.MustParseAddrPort(text))
	}
	r.pool = &pool.Pool{Now: func() time.Time { return r.now }}
	r.chooser = &Chooser{Policy: Cheapest{}, Pool: r.pool, Now: r.pool.Now}
	return r
}

func (r *cheapestFixture) report(server int, change func(*proto.Report)) {
	report := proto.Report{Server: r.servers[server], Limit: 12, Pace: 100}
	change(&report)
	r.pool.Service("s").AddReport(report)
}

// pick returns the index of the selected server, or -1 when none is selected.
func (r *cheapestFixture) pick(tried ...netip.AddrPort) int {
	return r.pickFor(Need{Class: r.class}, tried...)
}

func (r *cheapestFixture) pickFor(need Need, tried ...netip.AddrPort) int {
	l := &candidateList{servers: r.servers, ownZone: 1, index: map[netip.AddrPort]int{}}
	p := &selection{chooser: r.chooser, state: r.chooser.service("s"), list: l, tried: tried, class: need.Class, need: need}
	sent, ok := r.pool.Service("s").Pick(p, true)
	if !ok {
		return -1
	}
	r.pool.Service("s").Ended(sent, false)
	for i, server := range r.servers {
		if server == sent.Server {
			return i
		}
	}
	return -1
}

// members implements Members with servers of a single zone and service.
type members []netip.AddrPort

func (m members) Service(string) []member.Record {
	var records []member.Record
	for _, server := range m {
		records = append(records, member.Record{Address: server, Service: "s", State: member.Serving})
	}
	return records
}

// Guards against selecting a slowed, full or leaving server while a better one is available, and against traffic between zones
// without a benefit.
func TestCheapestServer(t *testing.T) {
	load := func(n int) func(*proto.Report) { return func(report *proto.Report) { report.InFlight = n } }
	pace := func(n int) func(*proto.Report) { return func(report *proto.Report) { report.Pace = n } }
	r := newCheapestFixture(t)
	for i := range r.servers {
		r.report(i, load(3))
	}
	r.Expect(r.pick()).To(Equal(0), "the own zone is preferred among servers of equal load")
	r.report(0, load(5))
	r.report(2, load(2))
	r.Expect(r.pick()).To(Equal(2), "a lower load outweighs the own zone")
	r.report(2, pace(500))
	r.report(1, load(3))
	r.report(0, load(11))
	r.Expect(r.pick()).To(Equal(1), "the cost of a slowed instance grows with its pace")
	r.report(1, func(report *proto.Report) { report.Refusing = code.ServerLeaving })
	r.report(2, func(report *proto.Report) { report.Warming = true; report.InFlight = 6 })
	r.Expect(r.pick()).To(Equal(0), "a cold server costs more")
	r.Expect(r.pick(r.servers[0])).To(Equal(2), "a server that has been tried costs more")
}

// Guards against selecting a slowed instance or another zone only because a server below its limit runs a few more requests, and
// against uploads that cross zones because of a pace that changes before they are received.
func TestLoadBelowTheLimitWeighsLittle(t *testing.T) {
	r := newCheapestFixture(t)
	report := func(server, load, pace int) {
		r.report(server, func(report *proto.Report) { report.InFlight, report.Pace = load, pace })
	}
	report(0, 4, 100)
	report(1, 0, 180)
	report(2, 1, 500)
	r.Expect(r.pick()).To(Equal(0), "a fast server below its limit is preferred to an idle slow one")
	report(0, 11, 100)
	report(1, 0, 100)
	r.Expect(r.pick()).To(Equal(1), "a nearly full server is likely to be full when the request arrives")
	r.class = ident.Upload
	report(0, 1, 300)
	r.Expect(r.pick()).To(Equal(0), "an upload stays in its zone")
	report(0, 10, 300)
	r.Expect(r.pick()).To(Equal(1), "an upload leaves its zone when the server there is nearly full")
}

// Guards against sending a request to a full server, which refuses it after a wait, when it could have failed at once.
func TestFullServersAreNotTried(t *testing.T) {
	r := newCheapestFixture(t)
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
	r.Expect(r.pick()).To(Equal(1), "a server with a short queue is selected for a first attempt")
	r.Expect(r.pick(r.servers[0])).To(Equal(-1), "a server with a queue is not selected for a second attempt")
	r.now = r.now.Add(pool.MaxReportAge + time.Millisecond)
	r.Expect(r.pick()).NotTo(Equal(-1), "reports older than pool.MaxReportAge are ignored")
}

// Guards against relying on a reported pace after it has become outdated.
func TestPaceFades(t *testing.T) {
	g := NewWithT(t)
	v := &pool.View{Pace: 500}
	g.Expect(expectedPace(v)).To(Equal(500.0))
	v.Age = paceDecay
	g.Expect(expectedPace(v)).To(Equal(float64(meanPace)))
	g.Expect(expectedPace(&pool.View{})).To(Equal(100.0), "the usual pace is assumed for a server that reports none")
}

// Guards against requests that a server's floor would refuse and that are sent to it nevertheless, against a floor that refuses nested
// requests or leaves a priority without any request, and against full servers that get no request of a higher priority.
func TestFloors(t *testing.T) {
	r := newCheapestFixture(t)
	for i := range r.servers {
		r.report(i, func(report *proto.Report) { report.InFlight, report.Queued, report.Floor = 12, 9, 2 })
	}
	refused := 0
	for range 1000 {
		r.Expect(r.pickFor(Need{ByPrecedence: true, Priority: 1})).NotTo(Equal(-1))
		r.Expect(r.pickFor(Need{ByPrecedence: true, Priority: 2, Nested: true})).NotTo(Equal(-1))
		if r.pickFor(Need{ByPrecedence: true, Priority: 2}) == -1 {
			refused++
		}
		for i := range r.servers { // a report counts for a limited number of selections
			r.report(i, func(report *proto.Report) { report.InFlight, report.Queued, report.Floor = 12, 9, 2 })
		}
	}
	r.Expect(refused).To(BeNumerically("~", 500, 100))
	r.report(1, func(report *proto.Report) { report.InFlight, report.Queued, report.Floor = 12, 9, 3 })
	r.Expect(r.pickFor(Need{ByPrecedence: true, Priority: 2})).NotTo(Equal(-1))
}
