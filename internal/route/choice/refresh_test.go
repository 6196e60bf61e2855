package choice

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

func stockConfig(t *testing.T) *config.Holder {
	holder := &config.Holder{}
	services := map[string]*config.Service{"stock": config.NewService("stock")}
	if err := holder.Set(&config.Config{Revision: 1, Services: services}); err != nil {
		t.Fatal(err)
	}
	return holder
}

// Guards against traffic between zones while the own zone has a good server, against a selection that gives up before every server was
// asked, and against waits for servers that do not reply. The scripts give the state of each server, own zone first.
func TestRounds(t *testing.T) {
	datadriven.RunTest(t, "testdata/rounds", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		synctest.Test(t, func(t *testing.T) { runRounds(t, d, &out) })
		return out.String()
	})
}

func runRounds(t *testing.T, d *datadriven.TestData, out *strings.Builder) {
	var list records
	states := map[netip.AddrPort]string{}
	for _, zone := range []string{"own", "other"} {
		for _, arg := range d.CmdArgs {
			for i, state := range arg.Vals {
				if arg.Key != zone {
					continue
				}
				address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(zone)), byte(i)}), 7000)
				states[address] = state
				list = append(list, member.Record{Address: address, Service: "stock", Zone: zone, State: member.Serving})
			}
		}
	}
	asked := 0
	p := &pool.Pool{}
	p.Ask = func(server netip.AddrPort) bool {
		asked++
		report := proto.Report{Server: server, Limit: 8, Pace: 100}
		switch states[server] {
		case "silent":
			return true
		case "full":
			report.InFlight, report.Queued = 8, 8
		case "slow":
			report.Pace = 500
		case "leaving":
			report.Refusing = code.ServerLeaving
		}
		time.AfterFunc(time.Millisecond, func() { p.Service("stock").AddReport(report) })
		return true
	}
	c := &Chooser{Policy: Cheapest{}, Pool: p, Members: list, Config: stockConfig(t), Zone: "own"}
	began := time.Now()
	c.Refresh(t.Context(), "stock", nil)
	sent, err := c.Select("stock", nil, ident.Lookup)
	result := states[sent.Server]
	if err != nil {
		result = code.Of(err).Code.String()
	}
	fmt.Fprintf(out, "asked %d in %v: %s\n", asked, time.Since(began), result)
}

// Parameters of the played load: random pauses of servers with few slots, as instances have that share a machine.
const (
	playedServers = 60
	playedRouters = 100
	playedSlots   = 8
	playedWork    = 200 * time.Millisecond
	playedBusy    = 0.55 // share of the slots
	pauseShare    = 0.25
	pausePace     = 500
	pausePeriod   = 150 * time.Millisecond
	playedFor     = 10 * time.Second
	oneWay        = 700 * time.Microsecond
)

// played is a service whose servers take five times as long in a quarter of their time, and the routers that send requests to it.
type played struct {
	random  *rand.Rand
	servers map[netip.AddrPort]*playedServer // not changed once built
	list    records
	routers []*Chooser

	mu                              sync.Mutex // guards the servers' fields and the counts
	queries, requests, full, paused int
}

type playedServer struct {
	running int
	pace    int
}

func newPlayed(t *testing.T) *played {
	q := &played{random: rand.New(rand.NewPCG(1, 1)), servers: map[netip.AddrPort]*playedServer{}}
	for i := range playedServers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		q.servers[address] = &playedServer{pace: 100}
		q.list = append(q.list, member.Record{Address: address, Service: "stock", Zone: fmt.Sprint(i % 5), State: member.Serving})
	}
	holder := stockConfig(t)
	for i := range playedRouters {
		p := &pool.Pool{}
		p.Ask = func(server netip.AddrPort) bool {
			time.AfterFunc(oneWay, func() {
				report := q.report(server)
				time.AfterFunc(oneWay, func() { p.Service("stock").AddReport(report) })
			})
			return true
		}
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000)
		q.routers = append(q.routers, &Chooser{
			Policy: Cheapest{}, Pool: p, Members: slices.Clone(q.list), Config: holder, Zone: fmt.Sprint(i % 5), Self: self,
		})
	}
	return q
}

func (q *played) report(server netip.AddrPort) proto.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queries++
	s := q.servers[server]
	return proto.Report{Server: server, InFlight: s.running, Limit: playedSlots, Pace: s.pace}
}

func (q *played) request(t *testing.T, c *Chooser) {
	c.Refresh(t.Context(), "stock", nil)
	sent, err := c.Select("stock", nil, ident.Lookup)
	if err != nil {
		t.Error(err)
		return
	}
	time.Sleep(oneWay)
	time.Sleep(q.begin(sent.Server))
	q.mu.Lock()
	q.servers[sent.Server].running--
	q.mu.Unlock()
	c.Pool.Service("stock").Ended(sent, true)
}

// begin counts a request that has arrived and returns how long it takes.
func (q *played) begin(server netip.AddrPort) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.servers[server]
	q.requests++
	if s.running >= playedSlots {
		q.full++
	}
	if s.pace > 100 {
		q.paused++
	}
	s.running++
	return playedWork * time.Duration(s.pace) / 100
}

// drawPaces draws which servers are slow until the next draw.
func (q *played) drawPaces() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range q.list {
		pace := 100
		if q.random.Float64() < pauseShare {
			pace = pausePace
		}
		q.servers[r.Address].pace = pace
	}
}

// Guards against routers that meet full or paused servers because of what they believe of their load, and against messages that grow
// with the number of routers. 100 routers send 660 requests/s to 60 servers with 8 slots each; a quarter of them is five times as slow.
func TestPausesAreAvoidedForFewQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := newPlayed(t)
		mean := (1 - pauseShare + pauseShare*pausePace/100)
		gap := time.Duration(float64(playedWork) * mean / (playedServers * playedSlots * playedBusy))
		for elapsed := time.Duration(0); elapsed < playedFor; elapsed += gap {
			if elapsed/pausePeriod != (elapsed-gap)/pausePeriod {
				q.drawPaces()
			}
			go q.request(t, q.routers[q.random.IntN(playedRouters)])
			time.Sleep(gap)
		}
		time.Sleep(2 * playedWork * pausePace / 100)
		q.mu.Lock()
		defer q.mu.Unlock()
		share := func(n int) float64 { return float64(n) / float64(q.requests) }
		t.Logf("%d requests: %d met a full server, %d a paused one; %.1f queries each", q.requests, q.full, q.paused, share(q.queries))
		g.Expect(share(q.full)).To(BeNumerically("<", 0.02), "requests that met a full server")
		g.Expect(share(q.paused)).To(BeNumerically("<", pauseShare/4), "requests that met a paused server")
		g.Expect(share(q.queries)).To(BeNumerically("<", 2*roundSize), "queries for each request")
	})
}
