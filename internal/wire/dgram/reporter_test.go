package dgram

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

func listen(g *WithT) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	g.Expect(err).NotTo(HaveOccurred())
	return conn, netip.MustParseAddrPort(conn.LocalAddr().String())
}

// Guards against reports that nobody asked for, against queries without a reply, and against malformed datagrams that are not counted.
func TestOnlyQueriesAreAnswered(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	var received [2]atomic.Int64
	var reporters [2]*Reporter
	var addresses [2]netip.AddrPort
	stopped := make(chan error, len(reporters))
	for i := range reporters {
		conn, self := listen(g)
		addresses[i] = self
		reporters[i] = &Reporter{
			Conn: conn, Log: logr.Discard(),
			Report: func() proto.Report { return proto.Report{Server: self, InFlight: 3, Pace: 100} },
			OnReport: func(report proto.Report, from netip.AddrPort) {
				if report.Server == from && report.InFlight == 3 {
					received[i].Add(1)
				}
			},
		}
		go func() { stopped <- reporters[i].Run(ctx) }()
	}
	g.Expect(reporters[0].Ask(addresses[1])).To(BeTrue())
	g.Eventually(received[0].Load, 2*time.Second).Should(BeNumerically("==", 1))
	g.Consistently(received[1].Load, 100*time.Millisecond).Should(BeZero())

	stray, err := net.Dial("udp", addresses[1].String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = stray.Write([]byte("\xff\xff\xff"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() uint64 { return reporters[1].Dump().(Dump).Malformed }, 2*time.Second).Should(BeNumerically(">", 0))
	g.Expect(stray.Close()).To(Succeed())
	cancel()
	for range reporters {
		g.Expect(<-stopped).To(Succeed())
	}
}

// Guards against a daemon that spends its processor time on queries: those above the limit get no reply, and none is sent above it.
func TestQueriesAreLimited(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var b bucket
	taken := 0
	for range 3 * maxQueries {
		if b.take(now, maxQueries) {
			taken++
		}
	}
	g.Expect(taken).To(Equal(int(maxQueries * burst.Seconds())))
	g.Expect(b.take(now.Add(2*time.Millisecond), maxQueries)).To(BeTrue())
}

// Guards against a state dump or a scrape that fails in a daemon without load queries.
func TestNoReporterHasNoCounts(t *testing.T) {
	g := NewWithT(t)
	var off *Reporter
	g.Expect(off.Dump()).To(Equal(Dump{}))
}
