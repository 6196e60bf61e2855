// Package memnet simulates a network in memory, for tests of whole systems in virtual time. Its connections have latency and
// can be cut, can be blocked between hosts, and can be silenced: they then drop all data while new connections work. Its
// processes can be killed.
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
	queueLength  = 64      // packets in transit in one direction of a path
	packetSize   = 4 << 10 // bytes; with queueLength it limits how much of an upload the network itself buffers
	closeTimeout = time.Second

	connectTimeout = time.Second
)

// Network is a simulated network of hosts, identified by name.
type Network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	paths     map[*Path]bool
	blocked   func(from, to string) bool

	Latency func(from, to string) time.Duration // one-way latency between two hosts; set before the first connection
}

// New returns a network without latency and without blocked connections.
func New() *Network {
	return &Network{
		listeners: map[netip.AddrPort]*listener{},
		paths:     map[*Path]bool{},
		blocked:   func(string, string) bool { return false },
		Latency:   func(string, string) time.Duration { return 0 },
	}
}

// Process is a run of a program on a host. A killed process cannot listen or dial any more.
type Process struct {
	network *Network
	host    string
	killed  atomic.Bool
}

// Process returns a new process on a host.
func (n *Network) Process(host string) *Process {
	return &Process{network: n, host: host}
}

// Network returns the functions with which a daemon in this process listens and dials.
func (p *Process) Network() daemon.Network {
	return daemon.Network{Listen: p.Listen, Dial: p.Dial}
}

// Kill closes all listeners and connections of the process at once.
func (p *Process) Kill() {
	p.killed.Store(true)
	n := p.network
	n.mu.Lock()
	var listeners []*listener
	for _, l := range n.listeners {
		if l.process == p {
			listeners = append(listeners, l)
		}
	}
	var paths []*Path
	for path := range n.paths {
		if path.dialer == p || path.listener == p {
			paths = append(paths, path)
		}
	}
	n.mu.Unlock()
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

// Listen opens a listener. The address must not be in use in the whole network.
func (p *Process) Listen(address netip.AddrPort) (net.Listener, error) {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil || p.killed.Load() {
		return nil, errors.Newf("address %s is in use", address)
	}
	l := &listener{process: p, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial opens a connection. It fails at once if nothing listens at the address, and after connectTimeout if the path between
// the hosts is blocked.
func (p *Process) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n, host := p.network, p.host
	n.mu.Lock()
	target, blocked, latency := n.listeners[to], n.blocked, n.Latency
	n.mu.Unlock()
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
	path := &Path{network: n, dialerHost: host, listenerHost: target.process.host, dialer: p, listener: target.process}
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
	n.mu.Lock()
	n.paths[path] = true
	n.mu.Unlock()
	if p.killed.Load() || target.process.killed.Load() {
		path.Cut()
	}
	return &endpoint{Conn: dialerEnd, write: path.toListener, path: path}, nil
}

// EachPath calls change for each open path whose dialing and listening hosts match.
func (n *Network) EachPath(match func(from, to string) bool, change func(*Path)) {
	n.mu.Lock()
	var matching []*Path
	for p := range n.paths {
		if match(p.dialerHost, p.listenerHost) {
			matching = append(matching, p)
		}
	}
	n.mu.Unlock()
	for _, p := range matching {
		change(p)
	}
}

// Block silences the open paths between hosts that match, and lets new connections between them time out until Unblock.
// The silenced paths stay silent after Unblock.
func (n *Network) Block(match func(from, to string) bool) {
	n.mu.Lock()
	n.blocked = match
	n.mu.Unlock()
	n.EachPath(match, (*Path).Silence)
}

// Close cuts all paths, so that their goroutines end with the test.
func (n *Network) Close() {
	n.EachPath(func(string, string) bool { return true }, (*Path).Cut)
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
		n := l.process.network
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.listeners, l.address)
	})
	return nil
}

func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}

// Path is a connection between two processes. A silent path accepts data and drops it, and closing one end has no effect on
// the other, as when a device on the path has lost its connection state.
type Path struct {
	network                  *Network
	dialerHost, listenerHost string
	dialer                   *Process
	listener                 *Process
	toListener, toDialer     *direction
	extraDelay               atomic.Int64 // of all data, in nanoseconds

	mu     sync.Mutex
	silent bool
}

// Delay delays all data by more than the latency of the path, including data in transit.
func (p *Path) Delay(extra time.Duration) {
	p.extraDelay.Store(int64(extra))
}

// Silence makes the path drop all further data, including data in transit.
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

// Cut closes both ends of the path at once, so that reading fails at both.
func (p *Path) Cut() {
	p.end()
	_ = p.toListener.pipe.Close()
	_ = p.toDialer.pipe.Close()
}

// end stops the delivery in both directions.
func (p *Path) end() {
	p.toListener.stop()
	p.toDialer.stop()
	p.network.mu.Lock()
	delete(p.network.paths, p)
	p.network.mu.Unlock()
}

// direction delivers the data written at one end of a path to the other end, in order and after the latency.
type direction struct {
	path   *Path
	pipe   net.Conn // the writer's end of the net.Pipe
	queue  chan packet
	closed chan struct{}
	once   sync.Once
}

type packet struct {
	data []byte
	fin  bool // the writer has closed its end
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
			time.Sleep(time.Until(next.sent.Add(delay + time.Duration(d.path.extraDelay.Load()))))
			if d.path.isSilent() {
				continue
			}
			if next.fin {
				d.path.end()
				_ = d.pipe.Close() // the other end reads io.EOF, as it stays open
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
}

// endpoint is one end of a path. Writes go through a direction; reads come directly from the net.Pipe.
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

// Close cuts the path after all written data has been delivered, or at once if the queue is full. On a silent path it only
// ends reading at this end.
func (e *endpoint) Close() error {
	_ = e.SetReadDeadline(time.Now())
	if e.path.isSilent() {
		return nil
	}
	_ = e.SetWriteDeadline(time.Now().Add(closeTimeout)) // the other end may not read any more
	select {
	case e.write.queue <- packet{fin: true, sent: time.Now()}:
	default:
		e.path.Cut()
	}
	return nil
}

// Unblock allows new connections between all hosts again.
func (n *Network) Unblock() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = func(string, string) bool { return false }
}
