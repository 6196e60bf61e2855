// Package fabric is a network in memory for whole systems in virtual time: its paths have latency, can lose their state while
// new ones work, can be blocked and cut, and its processes can be killed.
package fabric

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

// Fabric is a network in memory whose paths have latency, can lose their state and can be blocked.
type Fabric struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	paths     map[*Path]bool
	blocked   func(from, to string) bool

	Latency func(from, to string) time.Duration // one way between two hosts; set before the first connection
}

// New returns a network without latency on which nothing is blocked.
func New() *Fabric {
	return &Fabric{
		listeners: map[netip.AddrPort]*listener{},
		paths:     map[*Path]bool{},
		blocked:   func(string, string) bool { return false },
		Latency:   func(string, string) time.Duration { return 0 },
	}
}

// Process is one run of a program on a host. A killed one loses its listeners and connections at once.
type Process struct {
	fabric *Fabric
	host   string
	dead   atomic.Bool
}

// Process returns a new process on a host.
func (f *Fabric) Process(host string) *Process {
	return &Process{fabric: f, host: host}
}

// Network returns the network as the process sees it.
func (p *Process) Network() daemon.Network {
	return daemon.Network{Listen: p.Listen, Dial: p.Dial}
}

// Kill ends the process: its listeners and connections are gone at once.
func (p *Process) Kill() {
	p.dead.Store(true)
	f := p.fabric
	f.mu.Lock()
	var own []*listener
	for _, l := range f.listeners {
		if l.process == p {
			own = append(own, l)
		}
	}
	var ends []*Path
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
		one.Cut()
	}
}

// Dead reports whether the process was killed.
func (p *Process) Dead() bool {
	return p.dead.Load()
}

// Listen opens a listener at an address of the host.
func (p *Process) Listen(address netip.AddrPort) (net.Listener, error) {
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

// Dial opens a connection.
func (p *Process) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	f, host := p.fabric, p.host
	f.mu.Lock()
	target, blocked, latency := f.listeners[to], f.blocked, f.Latency
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
	one := &Path{fabric: f, from: host, to: target.process.host, dialer: p, server: target.process}
	one.out = newDirection(one, near, delay)
	one.in = newDirection(one, far, delay)
	select {
	case target.accepted <- &end{Conn: far, write: one.in, path: one}:
	case <-target.closed:
		one.Cut()
		return nil, errors.Newf("connection to %s refused", to)
	case <-ctx.Done():
		one.Cut()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	f.paths[one] = true
	f.mu.Unlock()
	if p.dead.Load() || target.process.dead.Load() {
		one.Cut()
	}
	return &end{Conn: near, write: one.out, path: one}, nil
}

// Each applies change to the open paths between two hosts that match.
func (f *Fabric) Each(match func(from, to string) bool, change func(*Path)) {
	f.mu.Lock()
	var matching []*Path
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

// Block stops everything between hosts that match, on open paths for good.
func (f *Fabric) Block(match func(from, to string) bool) {
	f.mu.Lock()
	f.blocked = match
	f.mu.Unlock()
	f.Each(match, (*Path).Silence)
}

// Close ends all paths, so that no goroutine outlives its test.
func (f *Fabric) Close() {
	f.Each(func(string, string) bool { return true }, (*Path).Cut)
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

// Path is one connection. A silent path accepts bytes and drops them, and a close of one end does not reach the other.
type Path struct {
	fabric   *Fabric
	from, to string
	dialer   *Process
	server   *Process
	out, in  *direction

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
	p.out.stop()
	p.in.stop()
	p.fabric.mu.Lock()
	delete(p.fabric.paths, p)
	p.fabric.mu.Unlock()
}

// direction carries the bytes written at one end to the other, in order and after the latency.
type direction struct {
	path   *Path
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

func newDirection(p *Path, near net.Conn, delay time.Duration) *direction {
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
				d.path.Cut()
				return
			}
			if _, err := d.near.Write(next.data); err != nil {
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
	_ = d.near.Close()
}

// end is one end of a path.
type end struct {
	net.Conn
	write *direction
	path  *Path
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
		e.path.Cut()
	}
	return nil
}

// Heal ends what Block began.
func (f *Fabric) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = func(string, string) bool { return false }
}
