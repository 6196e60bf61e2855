package link

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"storj.io/drpc/drpcstream"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards invariants 5 and 6: an attempt that resolve has declared revoked must not run when its bytes arrive later.
func TestLateBytesOfASilentConnectionNeverReachTheHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		first := p.call("/first")
		p.relays[0].silent.Store(true)
		lost := p.open("/lost")
		p.Expect(lost.Conn()).To(Equal(first))
		time.Sleep(250 * time.Millisecond)
		lost.CloseSilent()
		_, err := lost.Recv()
		p.Expect(code.Of(err).Outcome).To(Equal(code.Unknown))
		ask := &proto.Resolve{Conn: lost.Conn(), Incarnation: lost.Incarnation()}
		resolution, err := p.pool.Resolve(t.Context(), daemon, ask)
		p.Expect(err).NotTo(HaveOccurred())
		p.Expect(resolution.State).To(Equal(proto.StateRevoked))
		_, err = p.relays[0].deliverLate()
		p.Expect(err).To(HaveOccurred(), "the server has closed the connection")
		synctest.Wait()
		heads, resolves := p.handler.seen()
		p.Expect(heads).To(Equal(1), "only the first call ran")
		p.Expect(resolves).To(Equal(1))
		p.Expect(p.call("/after")).NotTo(Equal(first))
		p.Expect(p.peer().Silent).To(BeEquivalentTo(1))
	})
}

// Guards against a head that had already been read when its connection was revoked: closing alone does not stop it.
func TestARevokedPeerIsRefusedAndItsStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan struct{})
		var once sync.Once
		p := newPair(t, func(p *pair) {
			p.handler.serve = func(peer *proto.Peer, _ *proto.Head, stream proto.Stream) error {
				<-stream.Context().Done()
				NewWithT(t).Expect(peer.Revoked()).To(BeTrue())
				once.Do(func() { close(ended) })
				return nil
			}
		})
		stream, err := p.pool.Call(t.Context(), daemon, &proto.Head{})
		p.Expect(err).NotTo(HaveOccurred())
		// The handler takes no piece, so the server's reader waits and does not see the transport close.
		go func() { _ = stream.Send(&proto.Piece{Data: []byte("unread")}) }()
		synctest.Wait()
		_, err = p.pool.Resolve(t.Context(), daemon, &proto.Resolve{Conn: stream.Conn(), Incarnation: admissionRun})
		p.Expect(err).NotTo(HaveOccurred())
		select {
		case <-ended:
		case <-time.After(time.Second):
			t.Error("the handler still runs")
		}
		p.Expect(stream.Close()).To(Succeed())
		synctest.Wait()
		late := p.open("/late")
		synctest.Wait()
		p.server.mu.Lock()
		for conn := range p.server.open {
			conn.peer.Load().Revoke()
		}
		p.server.mu.Unlock()
		p.Expect(late.Close()).To(Succeed())
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		later, err := p.pool.Call(ctx, daemon, &proto.Head{End: true})
		p.Expect(err).NotTo(HaveOccurred())
		frame, err := later.Recv()
		p.Expect(err).NotTo(HaveOccurred())
		p.Expect(frame.(*proto.Ack).Code).To(Equal(code.Revoked))
	})
}

// Guards against a handshake in transit during the resolve, which would make the revocation miss its connection; and
// against remembering numbers for ever.
func TestALateHandshakeOfARevokedNumberIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		p.call("/first")
		revoke := func(number uint64) {
			_, err := p.pool.Resolve(t.Context(), daemon, &proto.Resolve{Conn: number, Incarnation: admissionRun})
			p.Expect(err).NotTo(HaveOccurred())
		}
		late := p.pool.numbers.Load() + 2 // the resolve itself takes the next one
		revoke(late)
		_, err := p.pool.open(t.Context(), daemon)
		p.Expect(code.Of(err).Code).To(Equal(code.Revoked))
		p.Expect(code.Of(err).Outcome).To(Equal(code.NotRun))
		p.Expect(p.server.Dump().(ServerDump).Revoked).To(Equal(1))
		time.Sleep(RevokedRetention)
		p.Expect(p.server.Dump().(ServerDump).Revoked).To(BeZero())
	})
}

// Guards against a confirmation, or a question about a stream that goes on, cutting a good connection.
func TestResolveThatDoesNotRevokeKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		number := p.call("/first")
		for _, ask := range []*proto.Resolve{{Conn: number, Done: true, Incarnation: admissionRun}, {Incarnation: admissionRun}} {
			_, err := p.pool.Resolve(t.Context(), daemon, ask)
			p.Expect(err).NotTo(HaveOccurred())
		}
		p.Expect(p.call("/second")).To(Equal(number))
	})
}

// Guards invariant 5: a daemon that restarted knows nothing of attempts sent to its earlier incarnation.
func TestResolveForAnotherIncarnationIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, nil)
		resolution, err := p.pool.Resolve(t.Context(), daemon, &proto.Resolve{Conn: 9, Incarnation: admissionRun - 1})
		p.Expect(err).NotTo(HaveOccurred())
		p.Expect(resolution.State).To(Equal(proto.StateUnknown))
		_, resolves := p.handler.seen()
		p.Expect(resolves).To(BeZero())
	})
}

// Guards invariant 5: a resolve that could not be sent must not read as a proof that the attempt did not run.
func TestAFailedResolveLeavesTheOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) { p.server.MinDrain = time.Millisecond })
		p.stop()
		p.Expect(<-p.stopped).To(Succeed())
		_, err := p.pool.Resolve(t.Context(), daemon, &proto.Resolve{Conn: 1})
		p.Expect(code.Of(err).Outcome).To(Equal(code.Unknown))
		_, err = p.pool.Call(t.Context(), daemon, &proto.Head{End: true})
		p.Expect(code.Of(err).Code).To(Equal(code.PeerUnreachable))
		p.Expect(code.Of(err).Outcome).To(Equal(code.NotRun))
	})
}

// Guards the order in Call after a failed head: drpc sends a buffered head with the cancellation of its stream, so a
// count of bytes taken before the close would prove nothing. With the close first the count stays.
func TestABufferedHeadIsNotSentAfterAClose(t *testing.T) {
	for _, closed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t, nil)
			c, err := p.pool.take(t.Context(), daemon)
			p.Expect(err).NotTo(HaveOccurred())
			before := c.tr.written.Load()
			ctx, cancel := context.WithCancel(t.Context())
			opened, err := c.rpc.NewStream(ctx, rpcCall, proto.Codec{})
			p.Expect(err).NotTo(HaveOccurred())
			raw := opened.(*drpcstream.Stream)
			raw.SetManualFlush(true)
			p.Expect(raw.MsgSend(&proto.Head{End: true}, proto.Codec{})).To(Succeed())
			p.Expect(c.tr.written.Load()).To(Equal(before))
			if closed {
				p.pool.drop(c)
			}
			cancel()
			synctest.Wait()
			heads, _ := p.handler.seen()
			p.Expect(heads == 0).To(Equal(closed))
			p.Expect(c.tr.written.Load() == before).To(Equal(closed))
			p.pool.drop(c)
		})
	}
}
