package link

import (
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// RevokedRetention is how long a revoked connection number is remembered. No network delays a segment of a handshake for
// that long.
const RevokedRetention = time.Hour

// maxRevoked limits the revoked numbers in a shard. Dropping a number early would let a delayed request run, so at the
// limit further resolves are refused instead.
const maxRevoked = 1 << 14

const registryShards = 16

// connKey identifies a connection of a router. Numbers are unique within an incarnation.
type connKey struct {
	router ident.Incarnation
	number uint64
}

// registry holds the accepted connections by their key, and the keys of revoked connections.
type registry struct {
	shards [registryShards]registryShard
}

type registryShard struct {
	mu      sync.Mutex
	live    map[connKey]*serverConn
	revoked map[connKey]struct{}
	// byAge lists the entries of revoked, oldest first.
	byAge []revocation
}

type revocation struct {
	key connKey
	at  time.Time
}

func (r *registry) shard(key connKey) *registryShard {
	return &r.shards[(uint64(key.router)^key.number)%registryShards]
}

// add registers a connection after its handshake. It refuses a number that is revoked, in use or 0.
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

// revoke marks a connection number as revoked and returns the connection if it is open.
func (r *registry) revoke(key connKey) (*serverConn, error) {
	shard := r.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	now := time.Now()
	shard.expire(now)
	if _, known := shard.revoked[key]; known {
		return shard.live[key], nil
	}
	if len(shard.byAge) >= maxRevoked {
		return nil, code.Unknownf(code.Overloaded, "the list of revoked connections is full")
	}
	if shard.revoked == nil {
		shard.revoked = make(map[connKey]struct{})
	}
	shard.revoked[key] = struct{}{}
	shard.byAge = append(shard.byAge, revocation{key: key, at: now})
	return shard.live[key], nil
}

func (s *registryShard) expire(now time.Time) {
	for len(s.byAge) > 0 && now.Sub(s.byAge[0].at) >= RevokedRetention {
		delete(s.revoked, s.byAge[0].key)
		s.byAge = s.byAge[1:]
	}
}

func (r *registry) countRevoked() int {
	total := 0
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		shard.expire(time.Now())
		total += len(shard.byAge)
		shard.mu.Unlock()
	}
	return total
}
