package pool

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// replyAfter returns a pool whose queries are answered after a delay by server; a server without a delay does not reply. The counts are
// those of the queries.
func replyAfter(delays map[netip.AddrPort]time.Duration) (*Pool, map[netip.AddrPort]int) {
	p, asked := &Pool{}, map[netip.AddrPort]int{}
	p.Ask = func(server netip.AddrPort) bool {
		asked[server]++
		if delay, ok := delays[server]; ok {
			time.AfterFunc(delay, func() { p.Service("stock").AddReport(proto.Report{Server: server, Limit: 12}) })
		}
		return true
	}
	return p, asked
}

// Guards against selections that wait longer than for the slowest reply, that wait for a server without a reply past the bound, that ask
// for reports that are fresh, and that leave their wait behind.
func TestRefreshWaitsForAllReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fast, slow, silent := address(1), address(2), address(3)
		p, asked := replyAfter(map[netip.AddrPort]time.Duration{fast: time.Millisecond, slow: 4 * time.Millisecond})
		s := p.Service("stock")
		refresh := func(servers ...netip.AddrPort) time.Duration {
			began := time.Now()
			s.Refresh(t.Context(), servers, 10*time.Millisecond)
			return time.Since(began)
		}
		g.Expect(refresh(fast, slow)).To(gomega.Equal(4 * time.Millisecond))
		g.Expect(refresh(slow)).To(gomega.BeZero(), "its report is fresh")
		g.Expect(asked[slow]).To(gomega.Equal(1))
		g.Expect(refresh(fast, silent)).To(gomega.Equal(10 * time.Millisecond))
		g.Expect(s.rounds).To(gomega.BeEmpty())
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
		defer cancel()
		began := time.Now()
		s.Refresh(ctx, []netip.AddrPort{silent}, 10*time.Millisecond)
		g.Expect(time.Since(began)).To(gomega.Equal(2*time.Millisecond), "the caller has left")
		p.Ask = func(netip.AddrPort) bool { return false }
		time.Sleep(freshAge + 1)
		g.Expect(refresh(fast, slow)).To(gomega.BeZero(), "no query could be sent")
	})
}

// Guards against a live daemon that is taken for dead because one datagram was lost, and against a dead one that is waited for.
func TestLostQueriesDoNotMakeADaemonDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		p, asked := replyAfter(nil)
		s := p.Service("stock")
		began := time.Now()
		g.Expect(s.IsAlive(t.Context(), address(1))).To(gomega.BeFalse())
		g.Expect(time.Since(began)).To(gomega.Equal(aliveTries * aliveWait))
		g.Expect(asked[address(1)]).To(gomega.Equal(aliveTries))
		lost := p.Ask
		p.Ask = func(server netip.AddrPort) bool {
			if lost(server); asked[server] > aliveTries+1 {
				s.AddReport(proto.Report{Server: server, Limit: 12})
			}
			return true
		}
		g.Expect(s.IsAlive(t.Context(), address(1))).To(gomega.BeTrue(), "the second query is answered")
		g.Expect(s.IsAlive(t.Context(), address(1))).To(gomega.BeTrue(), "the report is recent")
		g.Expect(asked[address(1)]).To(gomega.Equal(aliveTries + 2))
	})
}
