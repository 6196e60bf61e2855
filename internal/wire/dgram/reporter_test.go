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

// Guards against reports that do not arrive, against reports to daemons that do not use the server, and against malformed
// datagrams that are not counted.
func TestReportsReachOnlyTheUsers(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	var received [2]atomic.Int64
	var reporters [2]*Reporter
	stopped := make(chan error, len(reporters))
	for i := range reporters {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		self := netip.MustParseAddrPort(conn.LocalAddr().String())
		count := int64(0)
		reporters[i] = &Reporter{
			Conn: conn, Interval: 5 * time.Millisecond, Log: logr.Discard(),
			Report: func() proto.Report { count++; return proto.Report{Server: self, InFlight: int(count), Pace: 100} },
			OnReport: func(report proto.Report, from netip.AddrPort) {
				if report.Server == from {
					received[i].Add(1)
				}
			},
		}
	}
	second := netip.MustParseAddrPort(reporters[1].Conn.LocalAddr().String())
	reporters[0].AddUser(second)
	for _, r := range reporters {
		go func() { stopped <- r.Run(ctx) }()
	}
	g.Eventually(received[1].Load, 2*time.Second).Should(BeNumerically(">", 3))
	g.Expect(received[0].Load()).To(BeZero())

	stray, err := net.Dial("udp", second.String())
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
