package link

import (
	"context"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcstream"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// conn is a connection to a peer. Between acquire and release it belongs to one goroutine.
type conn struct {
	to        netip.AddrPort
	number    uint64
	remote    ident.Incarnation // of the daemon that accepted the connection
	tr        *transport
	rpc       *drpcconn.Conn
	idleSince time.Time
}

func (c *conn) isClosed() bool {
	select {
	case <-c.rpc.Closed():
		return true
	default:
		return false
	}
}

// close closes the transport and the drpc connection. Both are needed because drpc's reader may be blocked until the router
// receives a frame, and then does not notice that the transport was closed.
func (c *conn) close() {
	_ = c.tr.Close()
	_ = c.rpc.Close()
}

// open dials the peer and performs the handshake. Its errors have outcome NotRun, because no request was sent.
func (p *Pool) open(ctx context.Context, to netip.AddrPort) (*conn, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	c, err := p.handshake(ctx, to)
	p.updatePeer(to, func(found *peer) {
		found.counts.Dialed++
		if err != nil {
			found.counts.DialFailed++
			return
		}
		found.counts.Handshake = time.Since(start)
		found.counts.Incarnation = c.remote
	})
	if err != nil {
		p.Log.V(1).Info("dial-failed", "peer", to, "elapsed", time.Since(start), "reason", err.Error())
		return nil, notRun(err)
	}
	return c, nil
}

func (p *Pool) handshake(ctx context.Context, to netip.AddrPort) (*conn, error) {
	dialed, err := p.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	c := &conn{to: to, number: p.lastNumber.Add(1), tr: &transport{Conn: dialed}}
	options := managerOptions()
	options.SoftCancel = true
	options.SoftCancelGrace = p.CancelGrace
	c.rpc = drpcconn.NewWithOptions(c.tr, drpcconn.Options{Manager: options})
	if err := c.hello(ctx, p.Self); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *conn) hello(ctx context.Context, hello proto.Hello) error {
	hello.Version = proto.Version
	hello.Conn = c.number
	welcome := new(proto.Welcome)
	err := c.rpc.Invoke(ctx, rpcHello, proto.Codec{}, &hello, welcome)
	// The code of the welcome is checked before err: a peer that refuses closes the connection right after the welcome, and
	// drpc may report that close as an error.
	if welcome.Code != code.None {
		return code.NotRunf(welcome.Code, "%v refused the handshake", c.to)
	}
	if err != nil {
		return err
	}
	if welcome.Version != proto.Version {
		return code.NotRunf(code.VersionMismatch, "%v speaks protocol version %d, want %d", c.to, welcome.Version, proto.Version)
	}
	c.remote = welcome.Incarnation
	return nil
}

// check pings the peer to find out whether the connection still carries data in both directions.
func (p *Pool) check(ctx context.Context, c *conn) error {
	ctx, cancel := context.WithTimeout(ctx, p.CheckTimeout)
	defer cancel()
	return c.rpc.Invoke(ctx, rpcPing, proto.Codec{}, &proto.Ping{}, &proto.Ping{})
}

// recycle cancels an incomplete stream and returns its connection to the pool once the peer has ended the stream too. A
// ping confirms that: the peer handles one stream of a connection at a time, so it answers the ping only after the
// cancelled stream has ended. Without the ping, the next call on the connection would have to wait for that.
func (p *Pool) recycle(c *conn, raw *drpcstream.Stream) {
	if !cancelStream(raw, p.CancelGrace) || p.check(context.Background(), c) != nil {
		p.drop(c)
		return
	}
	p.release(c)
}

// cancelPoll is the interval between attempts to cancel a stream while a send on it is in progress.
const cancelPoll = 500 * time.Microsecond

func cancelStream(raw *drpcstream.Stream, grace time.Duration) bool {
	raw.StopWrites(context.Canceled)
	for start := time.Now(); ; time.Sleep(cancelPoll) {
		busy, err := raw.SendCancel(context.Canceled)
		if !busy {
			return err == nil
		}
		if time.Since(start) >= grace {
			return false
		}
	}
}

// invoke performs a unary RPC on a pooled connection.
func (p *Pool) invoke(ctx context.Context, to netip.AddrPort, rpc string, req, reply drpc.Message) error {
	c, err := p.acquire(ctx, to)
	if err != nil {
		return err
	}
	err = c.rpc.Invoke(ctx, rpc, proto.Codec{}, req, reply)
	if err == nil {
		p.release(c)
		return nil
	}
	coded := fromWire(err)
	// The connection of a cancelled RPC is kept, like that of a cancelled call. drpc has already sent the cancellation.
	if !c.isClosed() && (ctx.Err() != nil || coded.Code != code.PeerUnreachable) {
		go p.recheck(c)
		return coded
	}
	p.drop(c)
	return coded
}

func (p *Pool) recheck(c *conn) {
	if p.check(context.Background(), c) != nil {
		p.drop(c)
		return
	}
	p.release(c)
}
