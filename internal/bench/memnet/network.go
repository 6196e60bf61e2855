// Package memnet is a network in memory for whole systems in virtual time: its paths have latency, can lose their state while
// new ones work, can be blocked and cut, and its processes can be killed.
package memnet

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
	queueLength  = 64      // packets in transit in one direction
	packetSize   = 4 << 10 // bytes; with pathBuffer it bounds what the network itself holds of an upload
	closeTimeout = time.Second

	connectTimeout = time.Second
)

// Network is a network in memory whose paths have latency, can lose their state and can be blocked.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	paths     map[*Path]bool
	blocked   func(from, to string) bool

	Latency func(from, to string) time.Duration // one way between two hosts; set before the first connection
}

// New returns a network without latency on which nothing is blocked.
func New() *Network {
	return &Network{
		listeners: map[netip.AddrPort]*listener{},
		paths:     map[*Path]bool{},
		blocked:   func(string, string) bool { return false },
		Latency:   func(string, string) time.Duration { return 0 },
	}
}

// Process is one run of a program on a host. A killed one loses its listeners and connections at once.
type Process struct {
	network *Network
	host    string
	killed  atomic.Bool
}

// Process returns a new process on a host.
func (f *Network) Process(host string) *Process {
	return &Process{network: f, host: host}
}

// Network returns the network as the process sees it.
func (p *Process) Network() daemon.Network {
	return daemon.Network{Listen: p.Listen, Dial: p.Dial}
}

// Kill ends the process: its listeners and connections are gone at once.
func (p *Process) Kill() {
	p.killed.Store(true)
	f := p.network
	f.mu.Lock()
	var listeners []*listener
	for _, l := range f.listeners {
		if l.process == p {
			listeners = append(listeners, l)
		}
	}
	var paths []*Path
	for path := range f.paths {
		if path.dialer == p || path.listener == p {
			paths = append(paths, path)
		}
	}
	f.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, path := range paths {
		path.Cut()
	}
}

// Killed reports whether the process was killed.
func (p *Process) Killed() bool {
	return p.killed.Load()
}

// Listen opens a listener at an address of the host.
func (p *Process) Listen(address netip.AddrPort) (net.Listener, error) {
	f := p.network
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listeners[address] != nil || p.killed.Load() {
		return nil, errors.Newf("address %s is in use", address)
	}
	l := &listener{process: p, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

// Dial opens a connection.
func (p *Process) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	f, host := p.network, p.host
	f.mu.Lock()
	target, blocked, latency := f.listeners[to], f.blocked, f.Latency
	f.mu.Unlock()
	if target == nil || p.killed.Load() {
		return nil, errors.Newf("connection to %s refused", to)
	}
	if blocked(host, target.process.host) {
		select {
		case <-ctx.Done():
		case <-time.After(connectTimeout):
		}
		return nil, errors.Newf("connection to %s timed out", to)
	}
	dialerEnd, listenerEnd := net.Pipe()
	delay := latency(host, target.process.host)
	path := &Path{network: f, dialerHost: host, listenerHost: target.process.host, dialer: p, listener: target.process}
	path.toListener = newDirection(path, dialerEnd, delay)
	path.toDialer = newDirection(path, listenerEnd, delay)
	select {
	case target.accepted <- &endpoint{Conn: listenerEnd, write: path.toDialer, path: path}:
	case <-target.closed:
		path.Cut()
		return nil, errors.Newf("connection to %s refused", to)
	case <-ctx.Done():
		path.Cut()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	f.paths[path] = true
	f.mu.Unlock()
	if p.killed.Load() || target.process.killed.Load() {
		path.Cut()
	}
	return &endpoint{Conn: dialerEnd, write: path.toListener, path: path}, nil
}

// EachPath applies change to the open paths between two hosts that match.
func (f *Network) EachPath(match func(from, to string) bool, change func(*Path)) {
	f.mu.Lock()
	var matching []*Path
	for p := range f.paths {
		if match(p.dialerHost, p.listenerHost) {
			matching = append(matching, p)
		}
	}
	f.mu.Unlock()
	for _, p := range matching {
		change(p)
	}
}

// Block stops everything between hosts that match, on open paths for good.
func (f *Network) Block(match func(from, to string) bool) {
	f.mu.Lock()
	f.blocked = match
	f.mu.Unlock()
	f.EachPath(match, (*Path).Silence)
}

// Close ends all paths, so that no goroutine outlives its test.
func (f *Network) Close() {
	f.EachPath(func(string, string) bool { return true }, (*Path).Cut)
}

type listener struct {
	process  *Process
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
		f := l.process.network
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.listeners, l.address)
	})
	return nil
}

func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}

// Path is one connection. A silent path accepts bytes and drops them, and a close of one end does not reach the other.
type Path struct {
	network                  *Network
	dialerHost, listenerHost string
	dialer                   *Process
	listener                 *Process
	toListener, toDialer     *direction

	mu     sync.Mutex
	silent bool
}

// Silence makes the path drop everything from now on.
func (p *Path) Silence() {
	p.mu.Lock()
	p.silent = true
	p.mu.Unlock()
}

func (p *Path) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// Cut closes the path at both ends.
func (p *Path) Cut() {
	p.toListener.stop()
	p.toDialer.stop()
	p.network.mu.Lock()
	delete(p.network.paths, p)
	p.network.mu.Unlock()
}

// direction carries the bytes written at one end to the other, in order and after the latency.
type direction struct {
	path   *Path
	pipe   net.Conn // the writer's end
	queue  chan packet
	closed chan struct{}
	once   sync.Once
}

type packet struct {
	data []byte
	fin  bool // the writer has closed
	sent time.Time
}

func newDirection(p *Path, pipe net.Conn, delay time.Duration) *direction {
	d := &direction{path: p, pipe: pipe, queue: make(chan packet, queueLength), closed: make(chan struct{})}
	go d.deliver(delay)
	return d
}

func (d *direction) deliver(delay time.Duration) {
	for {
		select {
		case next := <-d.queue:
			time.Sleep(time.Until(next.sent.Add(delay)))
			if d.path.isSilent() {
				continue
			}
			if next.fin {
				d.path.Cut()
				return
			}
			if _, err := d.pipe.Write(next.data); err != nil {
				d.path.Cut()
				return
			}
		case <-d.closed:
			return
		}
	}
}

func (d *direction) stop() {
	d.once.Do(func() { close(d.closed) })
	_ = d.pipe.Close()
}

// endpoint is one end of a path.
type endpoint struct {
	net.Conn
	write *direction
	path  *Path
}

func (e *endpoint) Write(data []byte) (int, error) {
	copied, written := append([]byte(nil), data...), 0
	for chunk := range slices.Chunk(copied, packetSize) {
		select {
		case e.write.queue <- packet{data: chunk, sent: time.Now()}:
			written += len(chunk)
		case <-e.write.closed:
			return written, net.ErrClosed
		}
	}
	return written, nil
}

// Close ends both directions after what was written has been delivered, or only this end when the path is silent.
func (e *endpoint) Close() error {
	_ = e.SetReadDeadline(time.Now())
	if e.path.isSilent() {
		return nil
	}
	_ = e.SetWriteDeadline(time.Now().Add(closeTimeout)) // the other end may have stopped reading
	select {
	case e.write.queue <- packet{fin: true, sent: time.Now()}:
	default:
		e.path.Cut()
	}
	return nil
}

// Unblock ends what Block began.
func (f *Network) Unblock() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = func(string, string) bool { return false }
}
