package link

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards against daemons of different protocol versions misreading each other's messages. Both the accepting and the
// connecting side must refuse.
func TestVersionMismatchIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		transport, err := p.pool.Dial(t.Context(), daemonAddr)
		p.Expect(err).NotTo(HaveOccurred())
		conn := drpcconn.New(transport)
		welcome := new(proto.Welcome)
		hello := &proto.Hello{Version: proto.Version + 1, Conn: 50}
		p.Expect(conn.Invoke(t.Context(), rpcHello, proto.Codec{}, hello, welcome)).To(Succeed())
		p.Expect(welcome.Code).To(Equal(code.VersionMismatch))
		<-conn.Closed()
	})
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		go func() { _ = drpcserver.New(newerVersion{}).ServeOne(t.Context(), far) }()
		p := newPair(t, nil)
		c := &conn{rpc: drpcconn.New(near)}
		p.Expect(code.Of(c.hello(t.Context(), proto.Hello{})).Code).To(Equal(code.VersionMismatch))
		p.Expect(c.rpc.Close()).To(Succeed())
	})
}

type newerVersion struct{}

func (newerVersion) HandleRPC(stream drpc.Stream, _ string) error {
	if err := stream.MsgRecv(&proto.Hello{}, proto.Codec{}); err != nil {
		return err
	}
	return stream.MsgSend(&proto.Welcome{Version: proto.Version + 1}, proto.Codec{})
}

// Guards against connections that use memory and count against MaxConns without ever sending a request, whether they send
// nothing or one byte at a time.
func TestSlowHandshakesAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) { p.server.MaxConns = 2 })
		start := time.Now()
		var dialed []net.Conn
		for range 3 {
			transport, err := p.pool.Dial(t.Context(), daemonAddr)
			p.Expect(err).NotTo(HaveOccurred())
			dialed = append(dialed, transport)
		}
		_, err := dialed[2].Read(make([]byte, 1))
		p.Expect(err).To(MatchError(io.EOF))
		p.Expect(time.Since(start)).To(BeZero(), "a connection above the limit is closed at once")
		for time.Since(start) < DefaultHelloTimeout {
			_, _ = dialed[0].Write([]byte{0x80})
			time.Sleep(time.Second)
		}
		for _, slow := range dialed[:2] {
			_, err = slow.Read(make([]byte, 1))
			p.Expect(err).To(MatchError(io.EOF))
		}
		p.Expect(time.Since(start)).To(Equal(DefaultHelloTimeout))
		synctest.Wait()
		p.call("/after")
	})
}

// Guards against accepted connections that stay open without being used, and against an idle timeout that includes the
// duration of a stream.
func TestTheServerClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) {
			p.server.IdleTimeout = 2 * time.Second
			p.handler.serve = func(peer *proto.Peer, head *proto.Head, stream proto.Stream) error {
				time.Sleep(3 * time.Second)
				return answerTarget(peer, head, stream)
			}
		})
		p.call("/slow")
		p.Expect(p.server.Dump().(ServerDump).Connections).To(HaveLen(1))
		time.Sleep(2*time.Second + time.Millisecond)
		p.Expect(p.server.Dump().(ServerDump).Connections).To(BeEmpty())
		p.call("/after")
		p.Expect(p.pool.lastNumber.Load()).To(BeEquivalentTo(2), "the pool has opened a new connection")
	})
}

// Guards invariant 8 of the design: a stop lets running calls end, refuses new ones with outcome NotRun, and finishes within
// StopTimeout.
func TestAStopIsGraceful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) {
			p.handler.serve = func(peer *proto.Peer, head *proto.Head, stream proto.Stream) error {
				if head.Target == "/slow" {
					time.Sleep(2 * time.Second)
				}
				if head.Target == "/endless" {
					<-stream.Context().Done()
				}
				return answerTarget(peer, head, stream)
			}
		})
		p.call("/first")
		slow, endless := p.open("/slow"), p.open("/endless")
		synctest.Wait()
		start := time.Now()
		p.stop()
		time.Sleep(time.Second)
		_, err := p.pool.Call(t.Context(), daemonAddr, &proto.Head{End: true})
		p.Expect(code.Of(err).Outcome).To(Equal(code.NotRun), "no new connection")
		for range 2 {
			_, err = slow.Recv()
			p.Expect(err).NotTo(HaveOccurred())
		}
		p.Expect(slow.Close()).To(Succeed())
		refused := p.open("/new")
		p.Expect(refused.Conn()).To(Equal(slow.Conn()))
		frame, err := refused.Recv()
		p.Expect(err).NotTo(HaveOccurred())
		p.Expect(frame.(*proto.Ack).Code).To(Equal(code.Stopping))
		p.Expect(<-p.stopped).To(Succeed())
		p.Expect(time.Since(start)).To(BeNumerically("~", DefaultStopTimeout, 100*time.Millisecond))
		_, err = endless.Recv()
		p.Expect(code.Of(err).Outcome).To(Equal(code.Unknown))
	})
}
