package link

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards against sending a call on a connection that went silent while idle, and against checking each idle connection in
// turn, with a timeout for each.
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

// Guards against further calls on idle connections that lost their state in the network together with a silent one. A
// connection that was used after the silent call began is known to work and is kept.
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

// Guards the use of drpc's soft cancel: the connection of a cancelled call is kept, and no data of the cancelled call reaches
// the next one.
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
			stream, err := p.pool.Call(ctx, daemonAddr, &proto.Head{Target: "/cancelled", End: true})
			p.Expect(err).NotTo(HaveOccurred())
			_, err = stream.Recv()
			p.Expect(err).NotTo(HaveOccurred())
			if end == "context" {
				cancel()
				_, err = stream.Recv()
				p.Expect(code.Of(err).Code).To(Equal(code.Cancelled))
			}
			p.Expect(stream.Close()).To(Succeed())
			p.Expect(p.call("/meanwhile")).NotTo(Equal(stream.Conn()), "the cancelled call still runs on that connection")
			time.Sleep(200 * time.Millisecond)
			p.Expect(p.call("/after")).To(Equal(stream.Conn()), "ended by "+end)
			cancel()
		}
		p.Expect(p.peer().Open).To(Equal(2))
	})
}

// Guards against waiting for, or reusing, a connection whose peer does not end a cancelled call.
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

// Guards against an unlimited number of connections to one peer, and against connections that still count against the limit
// after their calls have ended.
func TestConnectionsPerPeerAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) { p.pool.MaxPerPeer = 2 })
		for range 3 {
			one, two := p.open("/one"), p.open("/two")
			_, err := p.pool.Call(t.Context(), daemonAddr, &proto.Head{End: true})
			p.Expect(code.Of(err).Code).To(Equal(code.Overloaded))
			p.Expect(code.Of(err).Outcome).To(Equal(code.NotRun))
			p.Expect(one.Close()).To(Succeed())
			synctest.Wait() // an unread frame blocks drpc's reader
			two.CloseSilent()
			synctest.Wait()
			p.call("/third")
		}
		p.Expect(p.peer().Open).To(BeNumerically("<=", 2))
	})
}
