package link

import (
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// ServerDump is the state of a Server.
type ServerDump struct {
	Address     string
	Incarnation ident.Incarnation
	Stopping    bool
	Accepted    uint64 // connections since the start
	Refused     uint64 // connections closed because MaxConns was reached
	Failed      uint64 // handshakes and first messages that failed or timed out
	Revoked     int    // revoked connection numbers that are still remembered
	Connections []AcceptedDump
}

// AcceptedDump is the state of an accepted connection.
type AcceptedDump struct {
	Remote  string
	Router  ident.Incarnation // 0 before the handshake
	Address netip.AddrPort    // inner address that the peer sent in the handshake
	Number  uint64
	Age     time.Duration
	Streams uint64 // opened so far, including the handshake
	Busy    bool
	Revoked bool
}

// Dump returns a ServerDump.
func (s *Server) Dump() any {
	dump := ServerDump{
		Incarnation: s.Incarnation,
		Stopping:    s.stopping.Load(),
		Accepted:    s.accepted.Load(),
		Refused:     s.refused.Load(),
		Failed:      s.failed.Load(),
		Revoked:     s.registry.countRevoked(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address != nil {
		dump.Address = s.address.String()
	}
	for conn := range s.open {
		dump.Connections = append(dump.Connections, conn.dump())
	}
	return dump
}

func (c *serverConn) dump() AcceptedDump {
	dump := AcceptedDump{
		Remote:  c.tr.RemoteAddr().String(),
		Age:     time.Since(c.opened),
		Streams: c.streams.Load(),
		Busy:    c.busy.Load(),
	}
	if peer := c.peer.Load(); peer != nil {
		dump.Router = peer.Hello.Incarnation
		dump.Address = peer.Hello.Address
		dump.Number = peer.Hello.Conn
		dump.Revoked = peer.Revoked()
	}
	return dump
}

// PeerDump is the state of a Pool for one peer. It helps to tell apart a silent connection (Silent), a slow network path
// (Handshake) and a slow server (slow calls, which the router counts).
type PeerDump struct {
	Address     netip.AddrPort
	Incarnation ident.Incarnation // from the latest handshake
	Open        int               // connections that count against MaxPerPeer
	Idle        int
	Opening     int
	Resolving   int
	Dialed      uint64
	DialFailed  uint64
	CheckFailed uint64        // idle connections that did not answer a ping
	Silent      uint64        // connections that the router declared silent
	Cancelled   uint64        // streams that were closed before their last frame
	Handshake   time.Duration // duration of the latest handshake, including the dial
}

// PoolDump is the state of a Pool.
type PoolDump struct {
	Numbers uint64 // connection numbers assigned so far
	Peers   []PeerDump
}

// Dump returns a PoolDump.
func (p *Pool) Dump() any {
	dump := PoolDump{Numbers: p.lastNumber.Load()}
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for _, peer := range shard.peers {
			dump.Peers = append(dump.Peers, peer.dump())
		}
		shard.mu.Unlock()
	}
	return dump
}

func (p *peer) dump() PeerDump {
	dump := p.counts
	dump.Address = p.address
	dump.Open = p.size()
	dump.Idle = len(p.idle)
	dump.Opening = p.opening
	dump.Resolving = p.resolving
	return dump
}
