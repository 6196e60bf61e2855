package daemon_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
)

const (
	pathBuffer = 64 // writes in transit in one direction
	lingerTime = time.Second

	connectTimeout = time.Second
)

// fabric is a network in memory whose paths have latency, can lose their state and can be blocked.
type fabric struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	paths     map[*path]bool
	blocked   func(from, to string) bool
	latency   func(from, to string) time.Duration
}

func newFabric() *fabric {
	return &fabric{
		listeners: map[netip.AddrPort]*listener{},
		paths:     map[*path]bool{},
		blocked:   func(string, string) bool { return false },
		latency:   func(string, string) time.Duration { return 0 },
	}
}

// network returns the network as a host sees it.
func (f *fabric) network(host string) daemon.Network {
	return daemon.Network{
		Listen: func(address netip.AddrPort) (net.Listener, error) { return f.listen(host, address) },
		Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return f.dial(ctx, host, to)
		},
	}
}

func (f *fabric) listen(host string, address netip.AddrPort) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	l := &listener{fabric: f, host: host, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

func (f *fabric) dial(ctx context.Context, host string, to netip.AddrPort) (net.Conn, error) {
	f.mu.Lock()
	target, blocked, latency := f.listeners[to], f.blocked, f.latency
	f.mu.Unlock()
	if target == nil {
		return nil, errors.Newf("connection to %s refused", to)
	}
	if blocked(host, target.host) {
		select {
		case <-ctx.Done():
		case <-time.After(connectTimeout):
		}
		return nil, errors.Newf("connection to %s timed out", to)
	}
	near, far := net.Pipe()
	delay := latency(host, target.host)
	p := &path{fabric: f, from: host, to: target.host}
	p.out = newDirection(p, near, delay)
	p.in = newDirection(p, far, delay)
	select {
	case target.accepted <- &end{Conn: far, write: p.in, path: p}:
	case <-target.closed:
		p.cut()
		return nil, errors.Newf("connection to %s refused", to)
	case <-ctx.Done():
		p.cut()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	f.paths[p] = true
	f.mu.Unlock()
	return &end{Conn: near, write: p.out, path: p}, nil
}

// each applies change to the open paths between two hosts that match.
func (f *fabric) each(match func(from, to string) bool, change func(*path)) {
	f.mu.Lock()
	var matching []*path
	for p := range f.paths {
		if match(p.from, p.to) {
			matching = append(matching, p)
		}
	}
	f.mu.Unlock()
	for _, p := range matching {
		change(p)
	}
}

// block stops everything between hosts that match, on open paths for good.
func (f *fabric) block(match func(from, to string) bool) {
	f.mu.Lock()
	f.blocked = match
	f.mu.Unlock()
	f.each(match, (*path).silence)
}

// close ends all paths, so that no goroutine outlives its test.
func (f *fabric) close() {
	f.each(func(string, string) bool { return true }, (*path).cut)
}

type listener struct {
	fabric   *fabric
	host     string
	address  netip.AddrPort
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.fabric.mu.Lock()
		delete(l.fabric.listeners, l.address)
		l.fabric.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}

// path is one connection. A silent path accepts bytes and drops them, and a close of one end does not reach the other.
type path struct {
	fabric   *fabric
	from, to string
	out, in  *direction

	mu     sync.Mutex
	silent bool
}

func (p *path) silence() {
	p.mu.Lock()
	p.silent = true
	p.mu.Unlock()
}

func (p *path) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *path) cut() {
	p.out.stop()
	p.in.stop()
	p.fabric.mu.Lock()
	delete(p.fabric.paths, p)
	p.fabric.mu.Unlock()
}

// direction carries the bytes written at one end to the other, in order and after the latency.
type direction struct {
	path   *path
	near   net.Conn // the writer's end
	queue  chan packet
	closed chan struct{}
	once   sync.Once
}

type packet struct {
	data []byte
	last bool // the writer has closed
	due  time.Time
}

func newDirection(p *path, near net.Conn, delay time.Duration) *direction {
	d := &direction{path: p, near: near, queue: make(chan packet, pathBuffer), closed: make(chan struct{})}
	go d.pump(delay)
	return d
}

func (d *direction) pump(delay time.Duration) {
	for {
		select {
		case next := <-d.queue:
			time.Sleep(time.Until(next.due.Add(delay)))
			if d.path.isSilent() {
				continue
			}
			if next.last {
				d.path.cut()
				return
			}
			if _, err := d.near.Write(next.data); err != nil {
				d.path.cut()
				return
			}
		case <-d.closed:
			return
		}
	}
}

func (d *direction) stop() {
	d.once.Do(func() { close(d.closed) })
	_ = d.near.Close()
}

// end is one end of a path.
type end struct {
	net.Conn
	write *direction
	path  *path
}

func (e *end) Write(data []byte) (int, error) {
	copied := append([]byte(nil), data...)
	select {
	case e.write.queue <- packet{data: copied, due: time.Now()}:
		return len(data), nil
	case <-e.write.closed:
		return 0, net.ErrClosed
	}
}

// Close ends both directions after what was written has been delivered, or only this end when the path is silent.
func (e *end) Close() error {
	_ = e.SetReadDeadline(time.Now())
	if e.path.isSilent() {
		return nil
	}
	_ = e.SetWriteDeadline(time.Now().Add(lingerTime)) // the other end may have stopped reading
	select {
	case e.write.queue <- packet{last: true, due: time.Now()}:
	default:
		e.path.cut()
	}
	return nil
}
