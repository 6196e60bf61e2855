package daemon_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
)

const (
	pathBuffer = 64      // packets in transit in one direction
	packetSize = 4 << 10 // bytes; with pathBuffer it bounds what the network itself holds of an upload
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

// process is one run of a program on a host. A killed one loses its listeners and connections at once.
type process struct {
	fabric *fabric
	host   string
	dead   atomic.Bool
}

func (f *fabric) process(host string) *process {
	return &process{fabric: f, host: host}
}

// network returns the network as the process sees it.
func (p *process) network() daemon.Network {
	return daemon.Network{Listen: p.listen, Dial: p.dial}
}

func (p *process) kill() {
	p.dead.Store(true)
	f := p.fabric
	f.mu.Lock()
	var own []*listener
	for _, l := range f.listeners {
		if l.process == p {
			own = append(own, l)
		}
	}
	var ends []*path
	for one := range f.paths {
		if one.dialer == p || one.server == p {
			ends = append(ends, one)
		}
	}
	f.mu.Unlock()
	for _, l := range own {
		_ = l.Close()
	}
	for _, one := range ends {
		one.cut()
	}
}

func (p *process) listen(address netip.AddrPort) (net.Listener, error) {
	f := p.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listeners[address] != nil || p.dead.Load() {
		return nil, errors.Newf("address %s is in use", address)
	}
	l := &listener{process: p, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

func (p *process) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	f, host := p.fabric, p.host
	f.mu.Lock()
	target, blocked, latency := f.listeners[to], f.blocked, f.latency
	f.mu.Unlock()
	if target == nil || p.dead.Load() {
		return nil, errors.Newf("connection to %s refused", to)
	}
	if blocked(host, target.process.host) {
		select {
		case <-ctx.Done():
		case <-time.After(connectTimeout):
		}
		return nil, errors.Newf("connection to %s timed out", to)
	}
	near, far := net.Pipe()
	delay := latency(host, target.process.host)
	one := &path{fabric: f, from: host, to: target.process.host, dialer: p, server: target.process}
	one.out = newDirection(one, near, delay)
	one.in = newDirection(one, far, delay)
	select {
	case target.accepted <- &end{Conn: far, write: one.in, path: one}:
	case <-target.closed:
		one.cut()
		return nil, errors.Newf("connection to %s refused", to)
	case <-ctx.Done():
		one.cut()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	f.paths[one] = true
	f.mu.Unlock()
	if p.dead.Load() || target.process.dead.Load() {
		one.cut()
	}
	return &end{Conn: near, write: one.out, path: one}, nil
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
	process  *process
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
		f := l.process.fabric
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.listeners, l.address)
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
	dialer   *process
	server   *process
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
	copied, written := append([]byte(nil), data...), 0
	for part := range slices.Chunk(copied, packetSize) {
		select {
		case e.write.queue <- packet{data: part, due: time.Now()}:
			written += len(part)
		case <-e.write.closed:
			return written, net.ErrClosed
		}
	}
	return written, nil
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
