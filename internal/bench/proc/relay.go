package proc

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const relayBufferSize = 32 << 10

// Direction is a direction of data through a relay.
type Direction int

// The directions of a relay.
const (
	ToTarget Direction = iota // to the process behind the relay
	FromTarget
	directionCount
)

// Relay forwards TCP connections to Target and injects network faults. Set the exported fields before Start.
type Relay struct {
	Listen netip.AddrPort
	Target netip.AddrPort

	silent [directionCount]atomic.Bool
	delay  [directionCount]atomic.Int64 // time.Duration, applied to each chunk of data
	rate   atomic.Int64                 // bytes per second in each direction, shared by all connections; unlimited when 0
	link   [directionCount]sync.Mutex   // held while data crosses a link of limited rate

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	open     map[net.Conn]struct{}
}

// Start listens and forwards connections. After Refuse it accepts connections again.
func (r *Relay) Start() error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(r.Listen))
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	r.mu.Lock()
	r.listener = listener
	r.open = map[net.Conn]struct{}{}
	r.mu.Unlock()
	go r.accept(listener)
	return nil
}

// Silence starts or stops dropping all data in the given directions, by default both, while connections stay open. A
// connection that lost data forwards nothing for the rest of its life, as after a firewall on the path lost its state.
func (r *Relay) Silence(silent bool, directions ...Direction) {
	for _, direction := range orBoth(directions) {
		r.silent[direction].Store(silent)
	}
}

// Delay delays every chunk of data in the given directions, by default both.
func (r *Relay) Delay(delay time.Duration, directions ...Direction) {
	for _, direction := range orBoth(directions) {
		r.delay[direction].Store(int64(delay))
	}
}

func orBoth(directions []Direction) []Direction {
	if len(directions) == 0 {
		return []Direction{ToTarget, FromTarget}
	}
	return directions
}

// Limit limits the bytes per second in each direction, over all connections; 0 ends the limit.
func (r *Relay) Limit(rate int64) {
	r.rate.Store(rate)
}

// cross takes the time that a number of bytes needs on the link.
func (r *Relay) cross(direction Direction, size int) {
	if rate := r.rate.Load(); rate > 0 {
		r.link[direction].Lock()
		time.Sleep(time.Duration(size) * time.Second / time.Duration(rate))
		r.link[direction].Unlock()
	}
	time.Sleep(time.Duration(r.delay[direction].Load()))
}

// Reset closes every connection with a TCP reset. New connections are still accepted.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		_ = conn.Close()
	}
}

// Refuse closes every connection and the listener. Start opens the listener again.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return
	}
	_ = r.listener.Close()
	for conn := range r.open {
		_ = conn.Close()
	}
	r.listener = nil
}

func (r *Relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.forward(listener, conn)
	}
}

func (r *Relay) forward(listener net.Listener, client net.Conn) {
	target, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.Target.String())
	if err != nil {
		_ = client.Close()
		return
	}
	if !r.register(listener, client, target) {
		return
	}
	stalled := &atomic.Bool{}
	copies := sync.WaitGroup{}
	copies.Go(func() { r.copy(target, client, ToTarget, stalled) })
	copies.Go(func() { r.copy(client, target, FromTarget, stalled) })
	copies.Wait()
	r.mu.Lock()
	delete(r.open, client)
	delete(r.open, target)
	r.mu.Unlock()
}

// register adds a pair of connections. If Refuse was called since they were accepted, it closes them and returns false.
func (r *Relay) register(listener net.Listener, client, target net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != listener {
		_ = client.Close()
		_ = target.Close()
		return false
	}
	r.open[client] = struct{}{}
	r.open[target] = struct{}{}
	return true
}

// copy forwards data in one direction. Once data was dropped in either direction, stalled is set and the pair of
// connections forwards nothing more.
func (r *Relay) copy(to, from net.Conn, direction Direction, stalled *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, relayBufferSize)
	for {
		read, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.silent[direction].Load() {
			stalled.Store(true)
		}
		if stalled.Load() {
			continue
		}
		r.cross(direction, read)
		if _, err := to.Write(buffer[:read]); err != nil {
			return
		}
	}
}
