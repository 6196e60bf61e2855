package link

import (
	"context"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcstream"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// serverConn is an accepted connection. It implements drpc.Handler; drpc runs one stream of a connection at a time.
type serverConn struct {
	server *Server
	tr     *transport
	cancel context.CancelFunc // of the context of all its streams
	opened time.Time
	// watchdog closes the connection when the next expected message does not arrive in time. It is one timer for the whole
	// connection, because drpc's inactivity timeout allocates a new timer for each stream.
	watchdog *time.Timer
	peer     atomic.Pointer[proto.Peer] // set by the handshake
	busy     atomic.Bool                // a stream is open
	streams  atomic.Uint64
}

func keyOf(peer *proto.Peer) connKey {
	return connKey{router: peer.Hello.Incarnation, number: peer.Hello.Conn}
}

func (c *serverConn) onTimeout() {
	if c.peer.Load() != nil && !c.busy.Load() {
		c.server.Log.V(1).Info("connection-idle", "remote", c.tr.RemoteAddr().String(), "timeout", c.server.IdleTimeout)
		c.close()
		return
	}
	c.server.failed.Add(1)
	c.server.Log.V(1).Info("message-late", "remote", c.tr.RemoteAddr().String(), "timeout", c.server.HelloTimeout)
	c.close()
}

// markIdle starts the idle timeout, within which the next stream must be opened.
func (c *serverConn) markIdle() {
	c.busy.Store(false)
	c.watchdog.Reset(c.server.IdleTimeout)
}

// close closes the connection and cancels its stream. The cancellation is needed because drpc's reader may be blocked
// until the handler receives a frame, and then does not notice that the transport was closed.
func (c *serverConn) close() {
	_ = c.tr.Close()
	c.cancel()
}

// HandleRPC implements drpc.Handler.
func (c *serverConn) HandleRPC(opened drpc.Stream, rpc string) error {
	raw, ok := opened.(*drpcstream.Stream)
	if !ok {
		return toWire(code.Unknownf(code.Internal, "unexpected stream %T", opened))
	}
	c.busy.Store(true)
	defer c.markIdle()
	c.streams.Add(1)
	peer := c.peer.Load()
	if (peer == nil) != (rpc == rpcHello) {
		c.close()
		return toWire(code.NotRunf(code.BadRequest, "rpc %s out of order: want one hello, then other rpcs", rpc))
	}
	if err := c.dispatch(raw, rpc, peer); err != nil {
		return toWire(err)
	}
	return endStream(raw)
}

// endStream closes a stream that the peer still sends on, for example when an upload was answered before its end. Otherwise
// drpc's reader would block forever on a piece that no handler receives, and would not notice a closed connection either.
func endStream(raw *drpcstream.Stream) error {
	if raw.IsTerminated() {
		return nil
	}
	return raw.Close()
}

func (c *serverConn) dispatch(raw *drpcstream.Stream, rpc string, peer *proto.Peer) error {
	switch rpc {
	case rpcHello:
		return c.hello(raw)
	case rpcPing:
		return serveUnary(c, raw, peer, echo)
	case rpcCall:
		return c.call(raw, peer)
	case rpcResolve:
		return serveUnary(c, raw, peer, c.resolve)
	case rpcProbe:
		return serveUnary(c, raw, peer, c.server.Calls.Probe)
	case rpcExchange:
		return serveUnary(c, raw, peer, c.server.Fleet.Exchange)
	case rpcStatus:
		return serveUnary(c, raw, peer, c.server.Fleet.Status)
	case rpcRollout:
		return serveUnary(c, raw, peer, c.rollout)
	case rpcPermit:
		return serveUnary(c, raw, peer, c.permit)
	default:
		return code.NotRunf(code.BadRequest, "unknown rpc %q", rpc)
	}
}

func (c *serverConn) rollout(ctx context.Context, peer *proto.Peer, round *proto.RolloutRound) (*proto.RolloutEvidence, error) {
	if c.server.Rollouts == nil {
		return nil, code.NotRunf(code.BadRequest, "this daemon takes part in no roll-outs")
	}
	return c.server.Rollouts.Rollout(ctx, peer, round)
}

func echo(_ context.Context, _ *proto.Peer, req *proto.Ping) (*proto.Ping, error) {
	return req, nil
}

func (c *serverConn) permit(ctx context.Context, peer *proto.Peer, req *proto.PermitRequest) (*proto.PermitReply, error) {
	if c.server.Permits == nil {
		return nil, code.NotRunf(code.BadRequest, "this daemon grants no permits")
	}
	return c.server.Permits.Permit(ctx, peer, req)
}

type unary[In, Out any] func(ctx context.Context, peer *proto.Peer, req *In) (*Out, error)

func serveUnary[In, Out any](c *serverConn, raw *drpcstream.Stream, peer *proto.Peer, handle unary[In, Out]) error {
	req := new(In)
	if err := c.receive(raw, req); err != nil {
		return err
	}
	reply, err := handle(raw.Context(), peer, req)
	if err != nil {
		return err
	}
	return send(raw, reply, true)
}

// receive reads the first message of a stream. The watchdog closes the connection if it takes longer than HelloTimeout.
func (c *serverConn) receive(raw *drpcstream.Stream, into drpc.Message) error {
	c.watchdog.Reset(c.server.HelloTimeout)
	defer c.watchdog.Stop()
	return raw.MsgRecv(into, proto.Codec{})
}

func (c *serverConn) hello(raw *drpcstream.Stream) error {
	peer := new(proto.Peer)
	if err := c.receive(raw, &peer.Hello); err != nil {
		c.server.failed.Add(1)
		c.close()
		return err
	}
	welcome := &proto.Welcome{Version: proto.Version, Incarnation: c.server.Incarnation}
	welcome.Code = c.register(peer)
	err := send(raw, welcome, true)
	if welcome.Code == code.None {
		return err
	}
	c.server.failed.Add(1)
	c.server.Log.Info("handshake-refused", "remote", c.tr.RemoteAddr().String(), "code", welcome.Code.String(),
		"version", peer.Hello.Version, "router", peer.Hello.Incarnation, "conn", peer.Hello.Conn)
	c.close()
	return err
}

func (c *serverConn) register(peer *proto.Peer) code.Code {
	if peer.Hello.Version != proto.Version {
		return code.VersionMismatch
	}
	// The peer is set before the connection is registered, because revoke needs the peer of every registered connection.
	c.peer.Store(peer)
	result := c.server.registry.add(keyOf(peer), c)
	if result != code.None {
		peer.Revoke()
	}
	return result
}

func (c *serverConn) call(raw *drpcstream.Stream, peer *proto.Peer) error {
	callStream := &stream{raw: raw, tr: c.tr, accepts: isRouterFrame}
	if err := c.receive(raw, &callStream.envelope); err != nil {
		// The handler has not seen the call, so it certainly did not run.
		return withOutcome(err, code.NotRun)
	}
	head, ok := callStream.envelope.Frame.(*proto.Head)
	if !ok {
		return code.NotRunf(code.BadRequest, "first frame of a call is %T, want a head", callStream.envelope.Frame)
	}
	callStream.recvDone.Store(head.End)
	if peer.Revoked() {
		return callStream.Send(refusedAck(code.Revoked, "the connection is revoked"))
	}
	if c.server.stopping.Load() {
		return callStream.Send(refusedAck(code.Stopping, "the daemon is stopping"))
	}
	return c.server.Calls.Call(peer, head, callStream)
}

func refusedAck(reason code.Code, detail string) *proto.Ack {
	return &proto.Ack{Verdict: proto.Refused, Code: reason, Detail: detail}
}

// resolve revokes the connection of the attempt before the handler looks the attempt up. A head on that connection is
// therefore either found by the handler or refused because of the revocation. A request with Conn 0 names no connection,
// and one with Done needs no answer about the attempt, so neither revokes.
func (c *serverConn) resolve(ctx context.Context, peer *proto.Peer, req *proto.Resolve) (*proto.Resolution, error) {
	if req.Conn != 0 && !req.Done {
		if err := c.server.revoke(connKey{router: peer.Hello.Incarnation, number: req.Conn}); err != nil {
			return nil, err
		}
	}
	if req.Incarnation != c.server.Incarnation {
		return &proto.Resolution{State: proto.StateUnknown}, nil
	}
	return c.server.Calls.Resolve(ctx, peer, req)
}

func (s *Server) revoke(key connKey) error {
	conn, err := s.registry.revoke(key)
	if err != nil || conn == nil {
		return err
	}
	conn.peer.Load().Revoke()
	s.Log.Info("connection-revoked", "remote", conn.tr.RemoteAddr().String(), "router", key.router, "conn", key.number)
	conn.close()
	return nil
}
