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

// Guards against reports that do not arrive, and against ones to daemons that do not use the server.
func TestReportsReachOnlyTheUsers(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	var learned [2]atomic.Int64
	var casters [2]*Reporter
	ended := make(chan error, len(casters))
	for i := range casters {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		own := netip.MustParseAddrPort(conn.LocalAddr().String())
		count := int64(0)
		casters[i] = &Reporter{
			Conn: conn, Interval: 5 * time.Millisecond, Log: logr.Discard(),
			Report: func() proto.Report { count++; return proto.Report{Server: own, InFlight: int(count), Pace: 100} },
			OnReport: func(report proto.Report, from netip.AddrPort) {
				if report.Server == from {
					learned[i].Add(1)
				}
			},
		}
	}
	second := netip.MustParseAddrPort(casters[1].Conn.LocalAddr().String())
	casters[0].AddUser(second)
	for _, c := range casters {
		go func() { ended <- c.Run(ctx) }()
	}
	g.Eventually(learned[1].Load, 2*time.Second).Should(BeNumerically(">", 3))
	g.Expect(learned[0].Load()).To(BeZero())

	stray, err := net.Dial("udp", second.String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = stray.Write([]byte("\xff\xff\xff"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() uint64 { return casters[1].Dump().(Dump).Malformed }, 2*time.Second).Should(BeNumerically(">", 0))
	g.Expect(stray.Close()).To(Succeed())
	cancel()
	for range casters {
		g.Expect(<-ended).To(Succeed())
	}
}
