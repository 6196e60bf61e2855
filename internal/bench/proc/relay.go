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

// Direction is one way through a relay.
type Direction int

// The directions of a relay.
const (
	ToTarget Direction = iota // to the process behind the relay
	FromTarget
	directions
)

// Relay passes TCP connections on, with faults on request. Set the exported fields before Start.
type Relay struct {
	Listen netip.AddrPort
	Target netip.AddrPort

	silent [directions]atomic.Bool
	delay  atomic.Int64 // time.Duration of each piece of data

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	open     map[net.Conn]struct{}
}

// Start listens and passes connections on. It ends a refusal.
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

// Silence makes the relay drop all data of the given directions while connections stay open, or end that. Connections that were
// used meanwhile stay silent for ever, like those that a device on the path has forgotten.
func (r *Relay) Silence(silent bool, ways ...Direction) {
	if len(ways) == 0 {
		ways = []Direction{ToTarget, FromTarget}
	}
	for _, way := range ways {
		r.silent[way].Store(silent)
	}
}

// Delay holds every piece of data back for a time.
func (r *Relay) Delay(delay time.Duration) {
	r.delay.Store(int64(delay))
}

// Reset ends every connection with a reset. New ones are accepted.
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

// Refuse closes every connection and refuses new ones until Start.
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

func (r *Relay) forward(listener net.Listener, near net.Conn) {
	far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.Target.String())
	if err != nil {
		_ = near.Close()
		return
	}
	if !r.register(listener, near, far) {
		return
	}
	lost := &atomic.Bool{}
	both := sync.WaitGroup{}
	both.Go(func() { r.copy(far, near, ToTarget, lost) })
	both.Go(func() { r.copy(near, far, FromTarget, lost) })
	both.Wait()
	r.mu.Lock()
	delete(r.open, near)
	delete(r.open, far)
	r.mu.Unlock()
}

// register registers a pair of connections. It closes them when the relay has refused since.
func (r *Relay) register(listener net.Listener, near, far net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != listener {
		_ = near.Close()
		_ = far.Close()
		return false
	}
	r.open[near] = struct{}{}
	r.open[far] = struct{}{}
	return true
}

// copy passes data on in one direction. After the first loss the pair of connections passes nothing any more.
func (r *Relay) copy(to, from net.Conn, way Direction, lost *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, relayBufferSize)
	for {
		read, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.silent[way].Load() {
			lost.Store(true)
		}
		if lost.Load() {
			continue
		}
		time.Sleep(time.Duration(r.delay.Load()))
		if _, err := to.Write(buffer[:read]); err != nil {
			return
		}
	}
}
