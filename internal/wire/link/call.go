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
	pool    *Pool
	conn    *conn
	started time.Time
	upload  time.Time // deadline of a call whose body follows its head; zero for other calls
	closed  atomic.Bool
}

// Call implements proto.CallClient. The stream must be closed even if ctx has ended.
func (p *Pool) Call(ctx context.Context, to netip.AddrPort, head *proto.Head) (proto.ClientStream, error) {
	if ctx.Err() != nil {
		return nil, notRun(ctx.Err())
	}
	c, err := p.acquire(ctx, to)
	if err != nil {
		return nil, err
	}
	started, writtenBefore := time.Now(), c.tr.written.Load()
	raw, err := c.sendHead(ctx, head)
	if err == nil {
		call := &clientStream{stream: stream{raw: raw, tr: c.tr, accepts: isAdmissionFrame}, pool: p, conn: c, started: started}
		call.sendDone.Store(head.End)
		if !head.End {
			call.upload = started.Add(head.Remaining)
		}
		return call, nil
	}
	// drpc would send a head that is still in its buffer together with the cancellation. After the connection is closed,
	// the count of written bytes is final.
	p.drop(c)
	if c.tr.written.Load() == writtenBefore {
		return nil, notRun(err)
	}
	return nil, withOutcome(err, code.Unknown)
}

// sendHead opens a stream and sends the head. If no body follows, the head and the half-close go out in one write.
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
	// Changing the flush mode is safe here, because no other goroutine uses the stream yet and nothing is sent on it after
	// CloseSend.
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

// Received implements proto.ClientStream.
func (c *clientStream) Received() uint64 {
	return c.conn.tr.received.Load()
}

// CloseSilent implements proto.ClientStream.
func (c *clientStream) CloseSilent() {
	if c.closed.Swap(true) {
		return
	}
	closed := c.pool.dropStale(c.conn, c.started, func(found *peer) { found.counts.Silent++ })
	c.pool.Log.Info("connection-silent", "peer", c.conn.to, "conn", c.conn.number, "closed", closed)
}

// Close implements proto.Stream. If the call is complete, its connection returns to the pool at once: the peer sends its
// half-close in the same write as its last frame. After an upload, it returns once the peer has received that, too. Any other
// call is cancelled in the background, so that its caller does not wait.
func (c *clientStream) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if c.complete() {
		if c.upload.IsZero() {
			c.pool.release(c.conn)
		} else {
			go c.pool.releaseReceived(c.conn, c.upload)
		}
		return nil
	}
	c.pool.updatePeer(c.conn.to, func(found *peer) { found.counts.Cancelled++ })
	if c.conn.isClosed() {
		c.pool.drop(c.conn)
		return nil
	}
	go c.pool.recycle(c.conn, c.raw)
	return nil
}

// Resolve implements proto.CallClient. Its errors have outcome Unknown, because a resolve that could not be sent says
// nothing about whether the attempt ran.
func (p *Pool) Resolve(ctx context.Context, to netip.AddrPort, req *proto.Resolve) (*proto.Resolution, error) {
	reply, err := p.resolve(ctx, to, req)
	if err != nil {
		return nil, withOutcome(err, code.Unknown)
	}
	return reply, nil
}

func (p *Pool) resolve(ctx context.Context, to netip.AddrPort, req *proto.Resolve) (*proto.Resolution, error) {
	p.init()
	if err := p.startResolve(to); err != nil {
		return nil, err
	}
	defer p.updatePeer(to, func(found *peer) { found.resolving-- })
	c, err := p.open(ctx, to)
	if err != nil {
		return nil, err
	}
	defer c.close()
	reply := new(proto.Resolution)
	if err := c.rpc.Invoke(ctx, rpcResolve, proto.Codec{}, req, reply); err != nil {
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
		return code.NotRunf(code.Overloaded, "%d resolves to %v are already in progress", found.resolving, to)
	}
	found.resolving++
	return nil
}

// Probe implements proto.CallClient.
func (p *Pool) Probe(ctx context.Context, to netip.AddrPort, req *proto.Probe) (*proto.ProbeReply, error) {
	reply := new(proto.ProbeReply)
	if err := p.invoke(ctx, to, rpcProbe, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Exchange implements proto.FleetClient.
func (p *Pool) Exchange(ctx context.Context, to netip.AddrPort, req *proto.Exchange) (*proto.Exchange, error) {
	reply := new(proto.Exchange)
	if err := p.invoke(ctx, to, rpcExchange, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Status implements proto.FleetClient.
func (p *Pool) Status(ctx context.Context, to netip.AddrPort, req *proto.Status) (*proto.Status, error) {
	reply := new(proto.Status)
	if err := p.invoke(ctx, to, rpcStatus, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Rollout implements proto.RolloutClient.
func (p *Pool) Rollout(ctx context.Context, to netip.AddrPort, round *proto.RolloutRound) (*proto.RolloutEvidence, error) {
	reply := new(proto.RolloutEvidence)
	if err := p.invoke(ctx, to, rpcRollout, round, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Permit implements proto.PermitClient.
func (p *Pool) Permit(ctx context.Context, to netip.AddrPort, req *proto.PermitRequest) (*proto.PermitReply, error) {
	reply := new(proto.PermitReply)
	if err := p.invoke(ctx, to, rpcPermit, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
