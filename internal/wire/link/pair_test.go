package link

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	routerIncarnation    ident.Incarnation = 11
	admissionIncarnation ident.Incarnation = 22
)

var daemonAddr = netip.MustParseAddrPort("10.0.0.1:7000")

// relay is the router's end of a connection. It buffers writes as TCP does, and can simulate a network device that has lost
// the state of the connection (silent): then it holds the written bytes, like segments still in transit, and a close does
// not reach the peer.
type relay struct {
	net.Conn
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
	silent atomic.Bool
	held   []byte
	// stalled makes a write block until the close; it then reports that accepted bytes were written.
	stalled  atomic.Bool
	accepted atomic.Int64
}

const relayBuffer = 16 // writes

func newRelay(conn net.Conn) *relay {
	r := &relay{Conn: conn, queue: make(chan []byte, relayBuffer), closed: make(chan struct{})}
	go r.forward()
	return r
}

func (r *relay) forward() {
	for {
		select {
		case data := <-r.queue:
			_, _ = r.Conn.Write(data)
		case <-r.closed:
			return
		}
	}
}

func (r *relay) Write(data []byte) (int, error) {
	if r.silent.Load() {
		r.held = append(r.held, data...)
		return len(data), nil
	}
	if r.stalled.Load() {
		<-r.closed
		return int(r.accepted.Load()), net.ErrClosed
	}
	select {
	case r.queue <- bytes.Clone(data):
		return len(data), nil
	case <-r.closed:
		return 0, net.ErrClosed
	}
}

func (r *relay) Close() error {
	if r.silent.Load() {
		return r.SetReadDeadline(time.Now())
	}
	return r.disconnect()
}

func (r *relay) disconnect() error {
	r.once.Do(func() { close(r.closed) })
	return r.Conn.Close()
}

// deliverLate writes the held bytes to the peer.
func (r *relay) deliverLate() (int, error) {
	return r.Conn.Write(r.held)
}

type pipeListener struct {
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(daemonAddr)
}

func (l *pipeListener) dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// fakeAdmission is a handler that records heads and resolves and serves calls with a function.
type fakeAdmission struct {
	mu       sync.Mutex
	heads    []*proto.Head
	resolves []*proto.Resolve
	serve    func(peer *proto.Peer, head *proto.Head, stream proto.Stream) error
}

func (a *fakeAdmission) Call(peer *proto.Peer, head *proto.Head, stream proto.Stream) error {
	a.mu.Lock()
	a.heads = append(a.heads, head)
	a.mu.Unlock()
	return a.serve(peer, head, stream)
}

func (a *fakeAdmission) Resolve(_ context.Context, _ *proto.Peer, req *proto.Resolve) (*proto.Resolution, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resolves = append(a.resolves, req)
	return &proto.Resolution{State: proto.StateRevoked}, nil
}

func (a *fakeAdmission) Probe(context.Context, *proto.Peer, *proto.Probe) (*proto.ProbeReply, error) {
	return &proto.ProbeReply{Report: proto.Report{InFlight: 3}}, nil
}

func (a *fakeAdmission) Exchange(_ context.Context, _ *proto.Peer, req *proto.Exchange) (*proto.Exchange, error) {
	return &proto.Exchange{InForce: req.InForce + 1}, nil
}

func (a *fakeAdmission) Status(_ context.Context, _ *proto.Peer, req *proto.Status) (*proto.Status, error) {
	return req, nil
}

func (a *fakeAdmission) Permit(_ context.Context, _ *proto.Peer, req *proto.PermitRequest) (*proto.PermitReply, error) {
	return &proto.PermitReply{Granted: req.Wanted}, nil
}

func (a *fakeAdmission) counts() (heads, resolves int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.heads), len(a.resolves)
}

func answerTarget(_ *proto.Peer, head *proto.Head, stream proto.Stream) error {
	if err := stream.Send(&proto.Ack{Verdict: proto.Admitted}); err != nil {
		return err
	}
	return stream.Send(&proto.Answer{Status: 200, ContentLength: -1, Body: []byte(head.Target), End: true})
}

// pair is a server and a pool that are connected by net.Pipe. It must be created inside a synctest bubble.
type pair struct {
	*WithT
	handler *fakeAdmission
	server  *Server
	pool    *Pool
	relays  []*relay
	stop    func()
	stopped chan error
}

func newPair(t *testing.T, configure func(*pair)) *pair {
	listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	p := &pair{WithT: NewWithT(t), handler: &fakeAdmission{serve: answerTarget}, stopped: make(chan error, 1)}
	p.server = &Server{
		Listener: listener, Calls: p.handler, Fleet: p.handler, Permits: p.handler, Incarnation: admissionIncarnation, Log: logr.Discard(),
	}
	p.pool = &Pool{Self: proto.Hello{Incarnation: routerIncarnation}, Log: logr.Discard()}
	p.pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		conn, err := listener.dial()
		if err != nil {
			return nil, err
		}
		path := newRelay(conn)
		p.relays = append(p.relays, path)
		return path, nil
	}
	if configure != nil {
		configure(p)
	}
	serverCtx, stop := context.WithCancel(t.Context())
	poolCtx, closePool := context.WithCancel(t.Context())
	p.stop = stop
	var running sync.WaitGroup
	running.Go(func() { p.stopped <- p.server.Run(serverCtx) })
	running.Go(func() { _ = p.pool.Run(poolCtx) })
	t.Cleanup(func() {
		stop()
		closePool()
		for _, path := range p.relays {
			_ = path.disconnect()
		}
		running.Wait()
	})
	return p
}

func (p *pair) open(target string) proto.ClientStream {
	stream, err := p.pool.Call(context.Background(), daemonAddr, &proto.Head{Target: target, End: true})
	p.Expect(err).NotTo(HaveOccurred())
	return stream
}

// call performs a complete call, checks that the answer belongs to it, and returns the number of its connection.
func (p *pair) call(target string) uint64 {
	stream := p.open(target)
	ack, err := stream.Recv()
	p.Expect(err).NotTo(HaveOccurred())
	p.Expect(ack).To(BeAssignableToTypeOf(&proto.Ack{}))
	answer, err := stream.Recv()
	p.Expect(err).NotTo(HaveOccurred())
	p.Expect(string(answer.(*proto.Answer).Body)).To(Equal(target))
	p.Expect(stream.Close()).To(Succeed())
	return stream.Conn()
}

func (p *pair) peer() PeerDump {
	return p.pool.Dump().(PoolDump).Peers[0]
}
