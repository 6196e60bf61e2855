package link

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"storj.io/drpc/drpcwire"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards invariant 4 of the design: a response without its last frame is an error, whether the handler returned early or the
// connection was closed.
func TestATruncatedStreamIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) {
			p.handler.serve = func(_ *proto.Peer, head *proto.Head, stream proto.Stream) error {
				_ = stream.Send(&proto.Answer{Status: 200})
				switch head.Target {
				case "/failed":
					return code.NotRunf(code.Overloaded, "no slot")
				case "/closed":
					time.Sleep(time.Second) // drpc drops a frame that was not received before the connection is closed
					p.server.closeAll()
				}
				return nil
			}
		})
		for target, want := range map[string]*code.Error{
			"/returned": {Code: code.ResponseTruncated, Outcome: code.Unknown},
			"/failed":   {Code: code.Overloaded, Outcome: code.NotRun},
			"/closed":   {Code: code.Cancelled, Outcome: code.Unknown},
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

// Guards invariant 5 of the design: the outcome is NotRun only if no byte of the head was written, even if the head was still
// in drpc's buffer.
func TestAFailedHeadIsNotRunOnlyIfNoByteWasWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		for accepted, want := range []code.Outcome{code.NotRun, code.Unknown} {
			number := p.call("/first")
			path := p.relays[accepted]
			path.accepted.Store(int64(accepted))
			path.stalled.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := p.pool.Call(ctx, daemonAddr, &proto.Head{Target: "/stalled", End: true})
			cancel()
			p.Expect(err).To(HaveOccurred())
			p.Expect(code.Of(err).Outcome).To(Equal(want))
			p.Expect(p.call("/after")).NotTo(Equal(number))
		}
	})
}

// Guards against a connection leak on the server side. After an early answer no handler receives the remaining pieces of the
// upload, and drpc's reader, blocked on a piece, notices neither a cancellation nor a close.
func TestAnEarlyAnswerToAnUploadFreesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		stream, err := p.pool.Call(t.Context(), daemonAddr, &proto.Head{Target: "/early"})
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
		p.Expect(p.peer().Idle).To(Equal(p.peer().Open), "all connections of the pool are idle")
		p.call("/after")
		p.Expect(p.server.Dump().(ServerDump).Connections).To(HaveLen(p.peer().Open), "the server has no other connection")
	})
}

// Guards against a lost connection that is taken for a cancellation, and a cancellation that is taken for a lost connection.
func TestACancellationIsToldApartFromALostConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, ending := range []struct {
			name      string
			end       func(p *pair, stream proto.ClientStream, cancel context.CancelFunc)
			cancelled bool
		}{
			{"context ended", func(_ *pair, _ proto.ClientStream, cancel context.CancelFunc) { cancel() }, true},
			{"stream closed", func(_ *pair, stream proto.ClientStream, _ context.CancelFunc) { _ = stream.Close() }, true},
			{"taken for silent", func(_ *pair, stream proto.ClientStream, _ context.CancelFunc) { stream.CloseSilent() }, false},
			{"connection reset", func(p *pair, _ proto.ClientStream, _ context.CancelFunc) { _ = p.relays[0].disconnect() }, false},
			{"connection revoked", func(p *pair, stream proto.ClientStream, _ context.CancelFunc) {
				resolve := &proto.Resolve{Conn: stream.Conn(), Incarnation: admissionIncarnation}
				_, err := p.pool.Resolve(context.Background(), daemonAddr, resolve)
				p.Expect(err).NotTo(HaveOccurred())
			}, false},
			{"server stopped", func(p *pair, _ proto.ClientStream, _ context.CancelFunc) { p.server.closeAll() }, false},
		} {
			seen := make(chan bool, 1)
			p := newPair(t, func(p *pair) {
				p.handler.serve = func(_ *proto.Peer, _ *proto.Head, stream proto.Stream) error {
					p.Expect(stream.Cancelled()).To(BeFalse(), "while the stream is open")
					<-stream.Context().Done()
					seen <- stream.Cancelled()
					return nil
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			stream, err := p.pool.Call(ctx, daemonAddr, &proto.Head{Target: "/", End: true})
			p.Expect(err).NotTo(HaveOccurred())
			synctest.Wait()
			ending.end(p, stream, cancel)
			p.Expect(<-seen).To(Equal(ending.cancelled), ending.name)
			cancel()
			_ = stream.Close()
		}
	})
}

// Guards against an answer that is delayed by a blocked upload: frames must flow in both directions at the same time.
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
		stream, err := p.pool.Call(t.Context(), daemonAddr, &proto.Head{})
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
		synctest.Wait() // for the ping after an upload
		p.Expect(p.peer().Idle).To(Equal(1))
		reply, err := p.pool.Exchange(t.Context(), daemonAddr, &proto.Exchange{InForce: 4})
		p.Expect(err).NotTo(HaveOccurred())
		p.Expect(reply.InForce).To(BeEquivalentTo(5))
	})
}

// Guards against buffering a frame above the limit in memory, and against a limit that refuses the largest valid message.
func TestOnlyFramesAboveTheLimitCloseTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		const nearly = proto.MaxFrame - 100
		folder := &files.Set{Files: []files.File{{Content: strings.Repeat("x", nearly)}}}
		_, err := p.pool.Exchange(t.Context(), daemonAddr, &proto.Exchange{Snapshot: folder})
		p.Expect(err).NotTo(HaveOccurred())
		transport, err := p.pool.Dial(t.Context(), daemonAddr)
		p.Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		// All frames belong to one message, whose last frame is never sent.
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
