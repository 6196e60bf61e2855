package link

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcstream"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// clientStream implements proto.ClientStream.
type clientStream struct {
	stream
	pool   *Pool
	conn   *conn
	began  time.Time
	closed atomic.Bool
}

// Call implements proto.CallClient. The stream must be closed, also after ctx has ended.
func (p *Pool) Call(ctx context.Context, to netip.AddrPort, head *proto.Head) (proto.ClientStream, error) {
	if ctx.Err() != nil {
		return nil, notRun(ctx.Err())
	}
	c, err := p.take(ctx, to)
	if err != nil {
		return nil, err
	}
	began, before := time.Now(), c.tr.written.Load()
	raw, err := c.sendHead(ctx, head)
	if err == nil {
		call := &clientStream{stream: stream{raw: raw, tr: c.tr, accepts: fromAdmission}, pool: p, conn: c, began: began}
		call.sent.Store(head.End)
		return call, nil
	}
	// A head that stays in drpc's buffer would leave with the cancellation. Closing first makes the count final.
	p.drop(c)
	if c.tr.written.Load() == before {
		return nil, notRun(err)
	}
	return nil, withOutcome(err, code.Unknown)
}

// sendHead opens a stream and sends the head, in one write with the end of the direction when no body follows.
func (c *conn) sendHead(ctx context.Context, head *proto.Head) (*drpcstream.Stream, error) {
	opened, err := c.rpc.NewStream(ctx, rpcCall, proto.Codec{})
	if err != nil {
		return nil, err
	}
	raw, ok := opened.(*drpcstream.Stream)
	if !ok {
		return nil, code.Unknownf(code.Internal, "unexpected stream %T", opened)
	}
	if !head.End {
		return raw, raw.MsgSend(head, proto.Codec{})
	}
	// No other goroutine has the stream yet, so the mode may be changed. Nothing is sent on it after the close.
	raw.SetManualFlush(true)
	if err := raw.MsgSend(head, proto.Codec{}); err != nil {
		return nil, err
	}
	return raw, raw.CloseSend()
}

// Conn implements proto.ClientStream.
func (c *clientStream) Conn() uint64 {
	return c.conn.number
}

// Incarnation implements proto.ClientStream.
func (c *clientStream) Incarnation() ident.Incarnation {
	return c.conn.remote
}

// CloseSilent implements proto.ClientStream.
func (c *clientStream) CloseSilent() {
	if c.closed.Swap(true) {
		return
	}
	closed := c.pool.dropStale(c.conn, c.began, func(found *peer) { found.counts.Silent++ })
	c.pool.Log.Info("connection-silent", "peer", c.conn.to, "conn", c.conn.number, "closed", closed)
}

// Close implements proto.Stream. A complete call returns its connection at once; the end of the other side's direction
// comes in the same write as its last frame. Any other call is cancelled, off the caller's path.
func (c *clientStream) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if c.received.Load() && c.sent.Load() {
		c.pool.release(c.conn)
		return nil
	}
	c.pool.count(c.conn.to, func(found *peer) { found.counts.Cancelled++ })
	if c.conn.isClosed() {
		c.pool.drop(c.conn)
		return nil
	}
	go c.pool.recycle(c.conn, c.raw)
	return nil
}

// Resolve implements proto.CallClient. Its errors have outcome Unknown: a resolve that was not sent says nothing about the
// attempt that it asks for.
func (p *Pool) Resolve(ctx context.Context, to netip.AddrPort, ask *proto.Resolve) (*proto.Resolution, error) {
	reply, err := p.resolve(ctx, to, ask)
	if err != nil {
		return nil, withOutcome(err, code.Unknown)
	}
	return reply, nil
}

func (p *Pool) resolve(ctx context.Context, to netip.AddrPort, ask *proto.Resolve) (*proto.Resolution, error) {
	p.init()
	if err := p.startResolve(to); err != nil {
		return nil, err
	}
	defer p.count(to, func(found *peer) { found.resolving-- })
	c, err := p.open(ctx, to)
	if err != nil {
		return nil, err
	}
	defer c.close()
	reply := new(proto.Resolution)
	if err := c.rpc.Invoke(ctx, rpcResolve, proto.Codec{}, ask, reply); err != nil {
		return nil, fromWire(err)
	}
	return reply, nil
}

func (p *Pool) startResolve(to netip.AddrPort) error {
	shard := p.shardOf(to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.peerLocked(to)
	if found.resolving >= p.MaxResolves {
		return code.NotRunf(code.PeerUnreachable, "%d resolves to %v are under way", found.resolving, to)
	}
	found.resolving++
	return nil
}

// Probe implements proto.CallClient.
func (p *Pool) Probe(ctx context.Context, to netip.AddrPort, ask *proto.Probe) (*proto.ProbeReply, error) {
	reply := new(proto.ProbeReply)
	if err := p.invoke(ctx, to, rpcProbe, ask, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Exchange implements proto.FleetClient.
func (p *Pool) Exchange(ctx context.Context, to netip.AddrPort, ask *proto.Exchange) (*proto.Exchange, error) {
	reply := new(proto.Exchange)
	if err := p.invoke(ctx, to, rpcExchange, ask, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Status implements proto.FleetClient.
func (p *Pool) Status(ctx context.Context, to netip.AddrPort, ask *proto.Status) (*proto.Status, error) {
	reply := new(proto.Status)
	if err := p.invoke(ctx, to, rpcStatus, ask, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
