package link

import (
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// RevokedRetention is how long a revoked connection number is remembered. No network holds a segment of a handshake that long.
const RevokedRetention = time.Hour

// maxRevoked bounds the numbers that a shard remembers. Dropping one early would let late data run, so resolves are
// refused above it.
const maxRevoked = 1 << 14

const registryShards = 16

// connKey names a connection of a router. Numbers are unique within an incarnation.
type connKey struct {
	router ident.Incarnation
	number uint64
}

// registry holds the accepted connections by their number, and the revoked numbers.
type registry struct {
	shards [registryShards]registryShard
}

type registryShard struct {
	mu      sync.Mutex
	live    map[connKey]*serverConn
	revoked map[connKey]struct{}
	// order lists the revoked numbers by their time; the oldest is first.
	order []revocation
}

type revocation struct {
	key connKey
	at  time.Time
}

func (r *registry) shard(key connKey) *registryShard {
	return &r.shards[(uint64(key.router)^key.number)%registryShards]
}

// add registers a connection after its handshake. It refuses a revoked number and one that is in use.
func (r *registry) add(key connKey, conn *serverConn) code.Code {
	shard := r.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.expire(time.Now())
	if _, revoked := shard.revoked[key]; revoked {
		return code.Revoked
	}
	if _, used := shard.live[key]; used || key.number == 0 {
		return code.BadRequest
	}
	if shard.live == nil {
		shard.live = make(map[connKey]*serverConn)
	}
	shard.live[key] = conn
	return code.None
}

func (r *registry) remove(key connKey, conn *serverConn) {
	shard := r.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.live[key] == conn {
		delete(shard.live, key)
	}
}

// revoke marks a number as revoked and returns its connection, if there is one.
func (r *registry) revoke(key connKey) (*serverConn, error) {
	shard := r.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	now := time.Now()
	shard.expire(now)
	if _, known := shard.revoked[key]; known {
		return shard.live[key], nil
	}
	if len(shard.order) >= maxRevoked {
		return nil, code.Unknownf(code.Overloaded, "too many revoked connections")
	}
	if shard.revoked == nil {
		shard.revoked = make(map[connKey]struct{})
	}
	shard.revoked[key] = struct{}{}
	shard.order = append(shard.order, revocation{key: key, at: now})
	return shard.live[key], nil
}

func (s *registryShard) expire(now time.Time) {
	for len(s.order) > 0 && now.Sub(s.order[0].at) >= RevokedRetention {
		delete(s.revoked, s.order[0].key)
		s.order = s.order[1:]
	}
}

func (r *registry) countRevoked() int {
	total := 0
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		shard.expire(time.Now())
		total += len(shard.order)
		shard.mu.Unlock()
	}
	return total
}
