package pool

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

type pickFirst struct{ views []View }

func (p *pickFirst) Pick(snapshot *Snapshot) (netip.AddrPort, bool) {
	p.views = append([]View(nil), snapshot.Views...)
	if len(p.views) == 0 {
		return netip.AddrPort{}, false
	}
	return p.views[0].Server, true
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// Guards against selections based on reports that are too old or used too often, or that do not include the attempts sent by
// this router since.
func TestReportsExpireAndCountOwnAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := (&Pool{}).Service("stock")
		s.AddReport(proto.Report{Server: address(1), InFlight: 3, Queued: 1, Limit: 12})
		p := &pickFirst{}
		var selections []Selection
		for i := range MaxReportUses {
			selection, ok := s.Pick(p, true)
			g.Expect(ok).To(gomega.BeTrue())
			g.Expect(p.views[0].Load).To(gomega.Equal(4 + i))
			selections = append(selections, selection)
		}
		_, ok := s.Pick(p, true)
		g.Expect(ok).To(gomega.BeFalse(), "a report used MaxReportUses times")
		s.Acked(selections[0], proto.Report{Server: address(1), InFlight: 4, Limit: 12})
		_, ok = s.Pick(p, true)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(p.views[0].Load).To(gomega.Equal(4 + MaxReportUses - 1))
		time.Sleep(MaxReportAge + 1)
		_, ok = s.Pick(p, true)
		g.Expect(ok).To(gomega.BeFalse(), "a report older than MaxReportAge")
		for i := range 3 * MaxReports {
			s.AddReport(proto.Report{Server: address(i), Limit: 1})
		}
		g.Expect(s.pool.Dump().(Dump).Services[0].Reports).To(gomega.HaveLen(MaxReports))
	})
}

// prober counts probes, and asks for the next one no earlier than next.
type prober struct {
	proto.CallClient
	next  time.Duration
	mu    sync.Mutex
	last  map[netip.AddrPort]time.Time
	n     atomic.Int64
	early atomic.Int64 // probes sent before that time
}

func (p *prober) Probe(_ context.Context, to netip.AddrPort, _ *proto.Probe) (*proto.ProbeReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n.Add(1)
	if last, ok := p.last[to]; ok && time.Since(last) < p.next {
		p.early.Add(1)
	}
	p.last[to] = time.Now()
	return &proto.ProbeReply{RetryAfter: p.next, Report: proto.Report{Server: to, Limit: 12}}, nil
}

// Guards the probe budget: the probe rate follows the request rate, no server is probed earlier than its last reply allowed,
// and an idle service is not probed.
func TestProbesFollowTheRequestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		client := &prober{next: 300 * time.Millisecond, last: map[netip.AddrPort]time.Time{}}
		p := &Pool{
			Client:  client,
			Servers: func(string) []netip.AddrPort { return []netip.AddrPort{address(1), address(2), address(3)} },
			Rand:    func(string) *rand.Rand { return rand.New(rand.NewPCG(1, 1)) },
		}
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		go func() { _ = p.Run(ctx) }()
		s := p.Service("stock")
		request := func(every time.Duration) int {
			before := client.n.Load()
			for begin := time.Now(); time.Since(begin) < 3*time.Second; time.Sleep(every) {
				s.Pick(&pickFirst{}, true)
			}
			time.Sleep(100 * time.Millisecond)
			return int(client.n.Load() - before)
		}
		g.Expect(request(time.Second)).To(gomega.BeNumerically("<=", 2), "one request per second")
		busy := request(time.Millisecond)
		g.Expect(busy).To(gomega.BeNumerically(">=", 20))
		g.Expect(busy).To(gomega.BeNumerically("<=", 33), "three servers, each every 300 ms")
		g.Expect(client.early.Load()).To(gomega.BeZero())
		before := client.n.Load()
		time.Sleep(5 * time.Second)
		g.Expect(client.n.Load()).To(gomega.Equal(before), "an idle service")
		cancel()
		time.Sleep(time.Second)
	})
}
