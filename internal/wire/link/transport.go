// Package link transports messages between daemons over drpc. It contains the server, the pool of client connections, the
// handshake and the revocation of silent connections.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Names of the RPCs. Hello must be the first RPC on every connection.
const (
	rpcHello    = "hello"
	rpcPing     = "ping"
	rpcCall     = "call"
	rpcResolve  = "resolve"
	rpcProbe    = "probe"
	rpcExchange = "exchange"
	rpcStatus   = "status"
	rpcRollout  = "rollout"
	rpcPermit   = "permit"
)

// transport is the network connection below drpc. It counts the bytes written: if a call has written none, it certainly
// did not run.
type transport struct {
	net.Conn
	// written is the number of bytes passed to the operating system.
	written atomic.Uint64
	// received is the number of bytes that have arrived.
	received atomic.Uint64
	// lost is set once the connection has failed or is closed, before drpc ends the stream for it.
	lost atomic.Bool

	mu     sync.Mutex // held during a write
	closed bool
}

// Read implements net.Conn.
func (p *transport) Read(data []byte) (int, error) {
	size, err := p.Conn.Read(data)
	p.received.Add(uint64(size))
	if err != nil {
		p.lost.Store(true)
	}
	return size, err
}

// Write implements net.Conn.
func (p *transport) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, net.ErrClosed
	}
	size, err := p.Conn.Write(data)
	p.written.Add(uint64(size))
	if err != nil {
		p.lost.Store(true)
	}
	return size, err
}

// Close implements net.Conn. After it returns, no write is in progress and none can start, so written is final.
func (p *transport) Close() error {
	p.lost.Store(true)
	err := p.Conn.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	return err
}

// managerOptions limits how much memory a peer can make drpc buffer. drpc's default limit is 4 MiB.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: proto.MaxFrame}}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
