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
	routerRun    ident.Incarnation = 11
	admissionRun ident.Incarnation = 22
)

var daemon = netip.MustParseAddrPort("10.0.0.1:7000")

// relay is a path that buffers what the router sends, as TCP does, and on which a device can lose the connection's state:
// then bytes are accepted and held, as segments still in transit, and a close does not reach the other side.
type relay struct {
	net.Conn
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
	silent atomic.Bool
	held   []byte
	// stalled makes a write block until the close, after the first bytes of it were taken.
	stalled atomic.Bool
	taken   atomic.Int64
}

const relayBuffer = 16 // writes

func newRelay(conn net.Conn) *relay {
	r := &relay{Conn: conn, queue: make(chan []byte, relayBuffer), closed: make(chan struct{})}
	go r.pump()
	return r
}

func (r *relay) pump() {
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
		return int(r.taken.Load()), net.ErrClosed
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
	return r.cut()
}

func (r *relay) cut() error {
	r.once.Do(func() { close(r.closed) })
	return r.Conn.Close()
}

// deliverLate writes the held bytes to the other side.
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
	return net.TCPAddrFromAddrPort(daemon)
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

// admission is a handler whose calls run a function.
type admission struct {
	mu       sync.Mutex
	heads    []*proto.Head
	resolves []*proto.Resolve
	serve    func(peer *proto.Peer, head *proto.Head, stream proto.Stream) error
}

func (a *admission) Call(peer *proto.Peer, head *proto.Head, stream proto.Stream) error {
	a.mu.Lock()
	a.heads = append(a.heads, head)
	a.mu.Unlock()
	return a.serve(peer, head, stream)
}

func (a *admission) Resolve(_ context.Context, _ *proto.Peer, ask *proto.Resolve) (*proto.Resolution, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resolves = append(a.resolves, ask)
	return &proto.Resolution{State: proto.StateRevoked}, nil
}

func (a *admission) Probe(context.Context, *proto.Peer, *proto.Probe) (*proto.ProbeReply, error) {
	return &proto.ProbeReply{Report: proto.Report{InFlight: 3}}, nil
}

func (a *admission) Exchange(_ context.Context, _ *proto.Peer, ask *proto.Exchange) (*proto.Exchange, error) {
	return &proto.Exchange{InForce: ask.InForce + 1}, nil
}

func (a *admission) Status(_ context.Context, _ *proto.Peer, ask *proto.Status) (*proto.Status, error) {
	return ask, nil
}

func (a *admission) seen() (heads, resolves int) {
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

// pair is a server and a pool that are connected over net.Pipe. It must be made inside a synctest bubble.
type pair struct {
	*WithT
	handler *admission
	server  *Server
	pool    *Pool
	relays  []*relay
	stop    func()
	stopped chan error
}

func newPair(t *testing.T, change func(*pair)) *pair {
	listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	p := &pair{WithT: NewWithT(t), handler: &admission{serve: answerTarget}, stopped: make(chan error, 1)}
	p.server = &Server{Listener: listener, Calls: p.handler, Fleet: p.handler, Incarnation: admissionRun, Log: logr.Discard()}
	p.pool = &Pool{Self: proto.Hello{Incarnation: routerRun}, Log: logr.Discard()}
	p.pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		conn, err := listener.dial()
		if err != nil {
			return nil, err
		}
		path := newRelay(conn)
		p.relays = append(p.relays, path)
		return path, nil
	}
	if change != nil {
		change(p)
	}
	serving, stop := context.WithCancel(t.Context())
	pooling, closePool := context.WithCancel(t.Context())
	p.stop = stop
	var running sync.WaitGroup
	running.Go(func() { p.stopped <- p.server.Run(serving) })
	running.Go(func() { _ = p.pool.Run(pooling) })
	t.Cleanup(func() {
		stop()
		closePool()
		for _, path := range p.relays {
			_ = path.cut()
		}
		running.Wait()
	})
	return p
}

func (p *pair) open(target string) proto.ClientStream {
	stream, err := p.pool.Call(context.Background(), daemon, &proto.Head{Target: target, End: true})
	p.Expect(err).NotTo(HaveOccurred())
	return stream
}

// call makes a whole call, checks that the answer is its own, and returns the number of its connection.
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
