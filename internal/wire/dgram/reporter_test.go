package dgram

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

var peer = netip.MustParseAddrPort("10.1.0.1:9000")

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

// scriptedConn is a socket on which the datagrams to come arrive at once. It counts those that are sent.
type scriptedConn struct {
	coming [][]byte
	sent   atomic.Int64
	closed chan struct{}
}

func (c *scriptedConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	if len(c.coming) == 0 {
		<-c.closed
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	next := c.coming[0]
	c.coming = c.coming[1:]
	return copy(b, next), peer, nil
}

func (c *scriptedConn) WriteToUDPAddrPort(b []byte, _ netip.AddrPort) (int, error) {
	c.sent.Add(1)
	return len(b), nil
}

func (c *scriptedConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against a daemon that spends its processor time on queries: those above the limit get no reply, and none is sent above it.
func TestQueriesAreLimited(t *testing.T) {
	t.Run("sent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g, conn := NewWithT(t), &scriptedConn{}
			r := &Reporter{Conn: conn}
			asked := 0
			for range 3 * maxQueries {
				if r.Ask(peer) {
					asked++
				}
			}
			allowed := int(maxQueries * burst.Seconds())
			g.Expect(asked).To(Equal(allowed))
			g.Expect(conn.sent.Load()).To(BeEquivalentTo(allowed))
			g.Expect(r.Counts().Limited).To(BeEquivalentTo(3*maxQueries - allowed))
			time.Sleep(2 * time.Millisecond)
			g.Expect(r.Ask(peer)).To(BeTrue())
		})
	})
	t.Run("answered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g, conn := NewWithT(t), &scriptedConn{closed: make(chan struct{})}
			conn.coming = slices.Repeat([][]byte{proto.EncodeDatagram(proto.LoadQuery{})}, 3*maxReplies)
			r := &Reporter{Conn: conn, Report: func() proto.Report { return proto.Report{Server: peer} }}
			go func() { _ = r.Run(t.Context()) }()
			synctest.Wait()
			allowed := int(maxReplies * burst.Seconds())
			g.Expect(conn.sent.Load()).To(BeEquivalentTo(allowed))
			g.Expect(r.Counts().Limited).To(BeEquivalentTo(3*maxReplies - allowed))
			time.Sleep(2 * time.Millisecond)
			r.handle(proto.EncodeDatagram(proto.LoadQuery{}), peer)
			g.Expect(conn.sent.Load()).To(BeEquivalentTo(allowed + 1))
		})
	})
}

// Guards against a state dump or a scrape that fails in a daemon without load queries.
func TestNoReporterHasNoCounts(t *testing.T) {
	g := NewWithT(t)
	var off *Reporter
	g.Expect(off.Dump()).To(Equal(Dump{}))
}

// granter grants permits after a delay, except for the organisation it does not know.
type granter struct {
	delay time.Duration
}

func (g granter) Permit(_ context.Context, _ *proto.Peer, req *proto.PermitRequest) (*proto.PermitReply, error) {
	time.Sleep(g.delay)
	if req.Organisation == "unknown" {
		return nil, code.NotRunf(code.BadRequest, "unknown")
	}
	return &proto.PermitReply{Granted: req.Wanted}, nil
}

// Guards against a reply that is taken for that of another request or comes from another daemon, and against requests that wait for each
// other or for ever.
func TestPermitsAreMatchedToTheirRequests(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(t.Context())
	var reporters [2]*Reporter
	var addresses [2]netip.AddrPort
	stopped := make(chan error, len(reporters))
	for i := range reporters {
		conn, self := listen(g)
		addresses[i] = self
		reporters[i] = &Reporter{Conn: conn, Log: logr.Discard(), Permits: granter{time.Duration(i) * 20 * time.Millisecond}}
		go func() { stopped <- reporters[i].Run(ctx) }()
	}
	results := make(chan bool, 50)
	start := time.Now()
	for wanted := range cap(results) {
		go func() {
			reply, err := reporters[0].Permit(ctx, addresses[1], &proto.PermitRequest{Organisation: "ann", Wanted: wanted, Rate: 1})
			results <- err == nil && reply.Granted == wanted
		}()
	}
	for range cap(results) {
		g.Expect(<-results).To(BeTrue())
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
	number, waiting := reporters[0].permits.add(addresses[1])
	reporters[0].replied(proto.NumberedPermitReply{Number: number}, addresses[0])
	g.Expect(waiting.reply).To(BeEmpty(), "from another daemon")
	reporters[0].permits.remove(number, addresses[1])

	short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	_, err := reporters[0].Permit(short, addresses[1], &proto.PermitRequest{Organisation: "unknown"})
	g.Expect(code.Of(err).Code).To(Equal(code.PeerUnreachable))
	g.Expect(reporters[0].permits.waiting).To(BeEmpty())
	cancel()
	for range reporters {
		g.Expect(<-stopped).To(Succeed())
	}
}
