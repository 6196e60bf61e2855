package link

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards against daemons of different versions that misread each other, on both sides.
func TestVersionMismatchIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		transport, err := p.pool.Dial(t.Context(), daemon)
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
		go func() { _ = drpcserver.New(laterVersion{}).ServeOne(t.Context(), far) }()
		p := newPair(t, nil)
		c := &conn{rpc: drpcconn.New(near)}
		p.Expect(code.Of(c.hello(t.Context(), proto.Hello{})).Code).To(Equal(code.VersionMismatch))
		p.Expect(c.rpc.Close()).To(Succeed())
	})
}

type laterVersion struct{}

func (laterVersion) HandleRPC(stream drpc.Stream, _ string) error {
	if err := stream.MsgRecv(&proto.Hello{}, proto.Codec{}); err != nil {
		return err
	}
	return stream.MsgSend(&proto.Welcome{Version: proto.Version + 1}, proto.Codec{})
}

// Guards against connections that hold memory and a place without ever sending a request, quickly or slowly.
func TestSlowHandshakesAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) { p.server.MaxConns = 2 })
		start := time.Now()
		var dialed []net.Conn
		for range 3 {
			transport, err := p.pool.Dial(t.Context(), daemon)
			p.Expect(err).NotTo(HaveOccurred())
			dialed = append(dialed, transport)
		}
		_, err := dialed[2].Read(make([]byte, 1))
		p.Expect(err).To(MatchError(io.EOF))
		p.Expect(time.Since(start)).To(BeZero(), "over the bound: closed at once")
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

// Guards against a call that is sent on a connection which went silent while idle, and against a check of each idle
// connection in turn.
func TestIdleConnectionsAreCheckedAndClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		one, two := p.open("/one"), p.open("/two")
		for _, stream := range []proto.ClientStream{one, two} {
			for range 2 {
				_, err := stream.Recv()
				p.Expect(err).NotTo(HaveOccurred())
			}
			p.Expect(stream.Close()).To(Succeed())
		}
		time.Sleep(DefaultCheckAfter + time.Second)
		p.Expect(p.call("/checked")).To(Equal(two.Conn()))
		time.Sleep(DefaultCheckAfter + time.Second)
		p.relays[0].silent.Store(true)
		p.relays[1].silent.Store(true)
		start := time.Now()
		p.Expect(p.call("/new")).To(Equal(two.Conn() + 1))
		p.Expect(time.Since(start)).To(Equal(DefaultCheckTimeout))
		p.Expect(p.peer().CheckFailed).To(BeEquivalentTo(1))
		p.Expect(p.peer().Open).To(Equal(1))
		time.Sleep(2 * DefaultPoolIdleTimeout)
		p.Expect(p.peer().Open).To(BeZero())
	})
}

// Guards against further calls on connections that lost their state together with a silent one. One that was used since the
// silent call began has worked meanwhile and stays.
func TestASilentConnectionClosesOlderIdleOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		finish := func(stream proto.ClientStream) {
			for range 2 {
				_, err := stream.Recv()
				p.Expect(err).NotTo(HaveOccurred())
			}
			p.Expect(stream.Close()).To(Succeed())
		}
		older, newer, silent := p.open("/older"), p.open("/newer"), p.open("/first")
		finish(older)
		finish(silent)
		time.Sleep(time.Millisecond)
		again := p.open("/silent")
		time.Sleep(time.Millisecond)
		finish(newer)
		again.CloseSilent()
		p.Expect(p.peer().Open).To(Equal(1))
		p.Expect(p.call("/next")).To(Equal(newer.Conn()))
	})
}

// Decides for drpc's soft cancel: it keeps the connection, and nothing of the cancelled call reaches the next one.
func TestACancelledCallLeavesItsConnectionClean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) {
			p.handler.serve = func(peer *proto.Peer, head *proto.Head, stream proto.Stream) error {
				if head.Target != "/cancelled" {
					return answerTarget(peer, head, stream)
				}
				_ = stream.Send(&proto.Ack{Verdict: proto.Admitted})
				<-stream.Context().Done()
				time.Sleep(100 * time.Millisecond)
				return answerTarget(peer, head, stream)
			}
		})
		for _, end := range []string{"context", "close"} {
			ctx, cancel := context.WithCancel(t.Context())
			stream, err := p.pool.Call(ctx, daemon, &proto.Head{Target: "/cancelled", End: true})
			p.Expect(err).NotTo(HaveOccurred())
			_, err = stream.Recv()
			p.Expect(err).NotTo(HaveOccurred())
			if end == "context" {
				cancel()
				_, err = stream.Recv()
				p.Expect(code.Of(err).Code).To(Equal(code.Cancelled))
			}
			p.Expect(stream.Close()).To(Succeed())
			p.Expect(p.call("/meanwhile")).NotTo(Equal(stream.Conn()), "the cancelled call still runs there")
			time.Sleep(200 * time.Millisecond)
			p.Expect(p.call("/after")).To(Equal(stream.Conn()), "ended by "+end)
			cancel()
		}
		p.Expect(p.peer().Open).To(Equal(2))
	})
}

// Guards against a pool that waits for, or reuses, a connection whose other side does not end a cancelled call.
func TestAConnectionStuckInACancelledCallIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		defer close(release)
		p := newPair(t, func(p *pair) {
			p.handler.serve = func(*proto.Peer, *proto.Head, proto.Stream) error {
				<-release
				return nil
			}
		})
		stuck := p.open("/stuck")
		p.Expect(stuck.Close()).To(Succeed())
		time.Sleep(DefaultCheckTimeout + 10*time.Millisecond)
		p.Expect(p.peer().Open).To(BeZero())
	})
}

// Guards against unbounded connections to one peer, and against places that are lost when calls end.
func TestConnectionsPerPeerAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) { p.pool.MaxPerPeer = 2 })
		for range 3 {
			one, two := p.open("/one"), p.open("/two")
			_, err := p.pool.Call(t.Context(), daemon, &proto.Head{End: true})
			p.Expect(code.Of(err).Code).To(Equal(code.Overloaded))
			p.Expect(code.Of(err).Outcome).To(Equal(code.NotRun))
			p.Expect(one.Close()).To(Succeed())
			synctest.Wait() // an unread frame holds up the reader
			two.CloseSilent()
			synctest.Wait()
			p.call("/third")
		}
		p.Expect(p.peer().Open).To(BeNumerically("<=", 2))
	})
}

// Guards invariant 4: a response without its last frame is an error, whether the handler returns or the connection ends.
func TestATruncatedStreamIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) {
			p.handler.serve = func(_ *proto.Peer, head *proto.Head, stream proto.Stream) error {
				_ = stream.Send(&proto.Answer{Status: 200})
				switch head.Target {
				case "/failed":
					return code.NotRunf(code.Overloaded, "no slot")
				case "/cut":
					time.Sleep(time.Second) // drpc drops a frame that is not taken when the connection ends
					p.server.closeAll()
				}
				return nil
			}
		})
		for target, want := range map[string]*code.Error{
			"/returned": {Code: code.ResponseTruncated, Outcome: code.Unknown},
			"/failed":   {Code: code.Overloaded, Outcome: code.NotRun},
			"/cut":      {Code: code.Cancelled, Outcome: code.Unknown},
		} {
			stream := p.open(target)
			_, err := stream.Recv()
			p.Expect(err).NotTo(HaveOccurred())
			_, err = stream.Recv()
			p.Expect(code.Of(err).Code).To(Equal(want.Code), target)
			p.Expect(code.Of(err).Outcome).To(Equal(want.Outcome), target)
			p.Expect(stream.Close()).To(Succeed())
		}
	})
}

// Guards invariant 5: not-run is claimed only when no byte of the head left, also when the head was in drpc's buffer.
func TestAFailedHeadIsNotRunOnlyIfNoByteWasWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		for taken, want := range []code.Outcome{code.NotRun, code.Unknown} {
			number := p.call("/first")
			path := p.relays[taken]
			path.taken.Store(int64(taken))
			path.stalled.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := p.pool.Call(ctx, daemon, &proto.Head{Target: "/stalled", End: true})
			cancel()
			p.Expect(err).To(HaveOccurred())
			p.Expect(code.Of(err).Outcome).To(Equal(want))
			p.Expect(p.call("/after")).NotTo(Equal(number))
		}
	})
}

// Guards invariant 8: a stop lets running calls end, refuses new ones as not run, and has an end.
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
		_, err := p.pool.Call(t.Context(), daemon, &proto.Head{End: true})
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

// Guards against a connection that is lost on the server side for ever: after an early answer nobody takes the pieces of
// the upload, and a reader that waits for that neither sees a cancellation nor a close.
func TestAnEarlyAnswerToAnUploadFreesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		stream, err := p.pool.Call(t.Context(), daemon, &proto.Head{Target: "/early"})
		p.Expect(err).NotTo(HaveOccurred())
		go func() {
			for stream.Send(&proto.Piece{Data: make([]byte, proto.MaxPiece)}) == nil {
			}
		}()
		for range 2 {
			_, err = stream.Recv()
			p.Expect(err).NotTo(HaveOccurred())
		}
		p.Expect(stream.Close()).To(Succeed())
		time.Sleep(time.Second)
		p.Expect(p.peer().Idle).To(Equal(p.peer().Open), "no connection is stuck in the pool")
		p.call("/after")
		p.Expect(p.server.Dump().(ServerDump).Connections).To(HaveLen(p.peer().Open), "nor in the server")
	})
}

// Guards against a blocked upload that delays the answer: frames pass in both directions at once.
func TestBothDirectionsAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) {
			p.handler.serve = func(_ *proto.Peer, _ *proto.Head, stream proto.Stream) error {
				for range 4 {
					_ = stream.Send(&proto.Piece{Data: make([]byte, proto.MaxPiece)})
				}
				for {
					frame, err := stream.Recv()
					if err != nil || frame.(*proto.Piece).End {
						return stream.Send(&proto.Piece{End: true})
					}
				}
			}
		})
		stream, err := p.pool.Call(t.Context(), daemon, &proto.Head{})
		p.Expect(err).NotTo(HaveOccurred())
		go func() {
			for i := range 4 {
				_ = stream.Send(&proto.Piece{Data: make([]byte, proto.MaxPiece), End: i == 3})
			}
		}()
		for range 5 {
			_, err := stream.Recv()
			p.Expect(err).NotTo(HaveOccurred())
		}
		_, err = stream.Recv()
		p.Expect(err).To(MatchError(io.EOF))
		synctest.Wait()
		p.Expect(stream.Close()).To(Succeed())
		p.Expect(p.peer().Idle).To(Equal(1))
		reply, err := p.pool.Exchange(t.Context(), daemon, &proto.Exchange{InForce: 4})
		p.Expect(err).NotTo(HaveOccurred())
		p.Expect(reply.InForce).To(BeEquivalentTo(5))
	})
}

// Guards against accepted connections that nobody uses or closes, and against an idle bound that counts the running time
// of a stream.
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
		p.Expect(p.pool.numbers.Load()).To(BeEquivalentTo(2), "the pool has noticed the close")
	})
}

// Guards against a frame above the bound that is collected in memory, and against a bound that refuses the largest
// message.
func TestOnlyFramesAboveTheLimitCloseTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		const nearly = proto.MaxFrame - 100
		folder := &files.Set{Files: []files.File{{Content: strings.Repeat("x", nearly)}}}
		_, err := p.pool.Exchange(t.Context(), daemon, &proto.Exchange{Snapshot: folder})
		p.Expect(err).NotTo(HaveOccurred())
		transport, err := p.pool.Dial(t.Context(), daemon)
		p.Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		// The frames of one message, which never ends.
		frame := drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: make([]byte, proto.MaxPiece)}
		go func() {
			for range proto.MaxFrame/proto.MaxPiece + 1 {
				_, _ = transport.Write(drpcwire.AppendFrame(nil, frame))
			}
		}()
		_, err = transport.Read(make([]byte, 1))
		p.Expect(err).To(MatchError(io.EOF))
		p.Expect(time.Since(start)).To(BeZero())
	})
}
