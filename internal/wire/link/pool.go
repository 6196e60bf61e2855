package link

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Defaults of the limits and timeouts of a Pool.
const (
	DefaultMaxPerPeer      = 64
	DefaultMaxResolves     = 16
	DefaultDialTimeout     = time.Second
	DefaultCheckAfter      = 5 * time.Second
	DefaultCheckTimeout    = time.Second
	DefaultPoolIdleTimeout = time.Minute
	DefaultCancelGrace     = 5 * time.Millisecond
)

// peerRetention is how long the counters of a peer without connections are kept after their last use.
const peerRetention = 10 * time.Minute

const poolShards = 64

// Pool holds the connections to other daemons. Every stream that Call returns must be closed.
type Pool struct {
	Self proto.Hello // Incarnation and Address of this daemon; the other fields are set by the pool
	// Dial opens a network connection. The default is TCP.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	Log  logr.Logger

	MaxPerPeer   int           // limit on connections to one peer, not counting those of resolves
	MaxResolves  int           // limit on concurrent resolves to one peer
	DialTimeout  time.Duration // for the dial and the handshake
	CheckAfter   time.Duration // a connection that was idle for longer is checked before use
	CheckTimeout time.Duration // for the check
	IdleTimeout  time.Duration // a connection that was idle for longer is closed
	CancelGrace  time.Duration // how long a cancelled call waits for a send in progress before it closes the connection

	lastNumber atomic.Uint64
	initOnce   sync.Once
	closed     atomic.Bool
	shards     [poolShards]shard
}

var (
	_ proto.CallClient   = (*Pool)(nil)
	_ proto.FleetClient  = (*Pool)(nil)
	_ proto.PermitClient = (*Pool)(nil)
)

// shard holds the peers whose address hashes to it.
type shard struct {
	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// peer is guarded by the lock of its shard.
type peer struct {
	address   netip.AddrPort
	conns     map[*conn]struct{} // open connections, idle or in use
	idle      []*conn            // in order of last use, most recent last
	opening   int                // connections being dialed
	resolving int
	lastUsed  time.Time
	counts    PeerDump // only the counters and the fields of the latest handshake are kept up to date
}

func (p *peer) size() int {
	return len(p.conns) + p.opening
}

// Run closes connections that exceed the idle timeout, and all connections when ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	p.init()
	ticker := time.NewTicker(p.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closed.Store(true)
			p.sweep(func(*conn) bool { return true })
			return nil
		case now := <-ticker.C:
			p.sweep(func(c *conn) bool { return c.idleSince.Before(now.Add(-p.IdleTimeout)) })
			p.evictUnused(now)
		}
	}
}

func (p *Pool) init() {
	p.initOnce.Do(func() {
		p.MaxPerPeer = orDefault(p.MaxPerPeer, DefaultMaxPerPeer)
		p.MaxResolves = orDefault(p.MaxResolves, DefaultMaxResolves)
		p.DialTimeout = orDefault(p.DialTimeout, DefaultDialTimeout)
		p.CheckAfter = orDefault(p.CheckAfter, DefaultCheckAfter)
		p.CheckTimeout = orDefault(p.CheckTimeout, DefaultCheckTimeout)
		p.IdleTimeout = orDefault(p.IdleTimeout, DefaultPoolIdleTimeout)
		p.CancelGrace = orDefault(p.CancelGrace, DefaultCancelGrace)
		if p.Dial == nil {
			p.Dial = dialTCP
		}
	})
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", to.String())
}

func (p *Pool) shardOf(to netip.AddrPort) *shard {
	address := to.Addr().As16()
	return &p.shards[(xxhash.Sum64(address[:])+uint64(to.Port()))%poolShards]
}

// peerLocked returns the entry of an address and creates it if necessary. The shard must be locked.
func (s *shard) peerLocked(to netip.AddrPort) *peer {
	found := s.peers[to]
	if found == nil {
		if s.peers == nil {
			s.peers = make(map[netip.AddrPort]*peer)
		}
		found = &peer{address: to, conns: make(map[*conn]struct{})}
		s.peers[to] = found
	}
	found.lastUsed = time.Now()
	return found
}

// acquire returns a connection for one stream: an idle one if there is any, otherwise a new one.
func (p *Pool) acquire(ctx context.Context, to netip.AddrPort) (*conn, error) {
	p.init()
	for {
		c, err := p.reserve(to)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.openReserved(ctx, to)
		}
		if c.isClosed() {
			p.drop(c)
			continue
		}
		if time.Since(c.idleSince) <= p.CheckAfter {
			return c, nil
		}
		if p.check(ctx, c) == nil {
			return c, nil
		}
		closed := p.dropStale(c, time.Now(), func(found *peer) { found.counts.CheckFailed++ })
		p.Log.Info("connection-check-failed", "peer", c.to, "conn", c.number, "closed", closed)
	}
}

// reserve returns the most recently used idle connection, or nil after it reserved capacity for a new one. At the limit it
// fails at once instead of waiting: the caller can choose another server sooner than a connection becomes free.
func (p *Pool) reserve(to netip.AddrPort) (*conn, error) {
	shard := p.shardOf(to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if p.closed.Load() {
		return nil, code.NotRunf(code.PeerUnreachable, "the connection pool is closed")
	}
	found := shard.peerLocked(to)
	if last := len(found.idle) - 1; last >= 0 {
		c := found.idle[last]
		found.idle = found.idle[:last]
		return c, nil
	}
	if found.size() >= p.MaxPerPeer {
		return nil, code.NotRunf(code.Overloaded, "all %d connections to %v are in use", p.MaxPerPeer, to)
	}
	found.opening++
	return nil, nil
}

func (p *Pool) openReserved(ctx context.Context, to netip.AddrPort) (*conn, error) {
	c, err := p.open(ctx, to)
	shard := p.shardOf(to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.peerLocked(to)
	found.opening--
	if err != nil {
		return nil, err
	}
	if p.closed.Load() {
		c.close()
		return nil, code.NotRunf(code.PeerUnreachable, "the connection pool is closed")
	}
	found.conns[c] = struct{}{}
	return c, nil
}

// release makes a connection available for the next stream.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	shard := p.shardOf(c.to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	found := shard.peerLocked(c.to)
	if _, open := found.conns[c]; !open {
		return
	}
	if c.isClosed() {
		delete(found.conns, c)
		return
	}
	found.idle = append(found.idle, c)
}

// drop closes a connection that is not idle.
func (p *Pool) drop(c *conn) {
	c.close()
	shard := p.shardOf(c.to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if found := shard.peers[c.to]; found != nil {
		delete(found.conns, c)
	}
}

// dropStale closes a connection that failed and all idle connections to the same peer that were last used earlier than
// before. These probably lost their state in the network as well, and finding that out one by one would cost a timeout
// for each of them.
func (p *Pool) dropStale(failed *conn, before time.Time, update func(*peer)) int {
	shard := p.shardOf(failed.to)
	shard.mu.Lock()
	found := shard.peerLocked(failed.to)
	update(found)
	stale := []*conn{failed}
	kept := found.idle[:0]
	for _, c := range found.idle {
		if c.idleSince.Before(before) {
			stale = append(stale, c)
		} else {
			kept = append(kept, c)
		}
	}
	found.idle = kept
	for _, c := range stale {
		delete(found.conns, c)
	}
	shard.mu.Unlock()
	for _, c := range stale {
		c.close()
	}
	return len(stale)
}

// sweep closes the idle connections that match. If the pool is closed, it closes all connections.
func (p *Pool) sweep(matches func(*conn) bool) {
	all := p.closed.Load()
	for i := range p.shards {
		for _, c := range p.shards[i].collect(all, matches) {
			c.close()
		}
	}
}

func (s *shard) collect(all bool, matches func(*conn) bool) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var closing []*conn
	for _, found := range s.peers {
		var kept []*conn
		for _, c := range found.idle {
			if !matches(c) && !c.isClosed() {
				kept = append(kept, c)
				continue
			}
			delete(found.conns, c)
			closing = append(closing, c)
		}
		found.idle = kept
		if !all {
			continue
		}
		for c := range found.conns {
			closing = append(closing, c)
		}
		clear(found.conns)
	}
	return closing
}

func (p *Pool) evictUnused(now time.Time) {
	for i := range p.shards {
		shard := &p.shards[i]
		shard.mu.Lock()
		for address, found := range shard.peers {
			if found.size()+found.resolving == 0 && now.Sub(found.lastUsed) > peerRetention {
				delete(shard.peers, address)
			}
		}
		shard.mu.Unlock()
	}
}

// updatePeer calls change with the entry of a peer while its shard is locked.
func (p *Pool) updatePeer(to netip.AddrPort, change func(*peer)) {
	shard := p.shardOf(to)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	change(shard.peerLocked(to))
}
