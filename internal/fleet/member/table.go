package member

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Buckets is the number of digest buckets. Each bucket is a shard with its own lock.
const Buckets = 64

// Defaults of the table's durations.
const (
	// DefaultSuspectFor is how long a suspect member may take to refute the suspicion before it is gone.
	DefaultSuspectFor = 10 * time.Second
	// DefaultRetain is how long a gone record is kept. It exceeds the 20 min after which an announcement is ignored and
	// DefaultMaxSilence, so no source that a daemon trusts still holds a live record of the member when its gone record is
	// removed.
	DefaultRetain = 30 * time.Minute
	// DefaultMaxSilence is how long a daemon may be paused or unreachable and still trust its records of other members.
	DefaultMaxSilence = 10 * time.Minute
)

// Table holds the newest known record of every member, indexed by address and by service. Its zero value is ready for use.
type Table struct {
	SuspectFor time.Duration // DefaultSuspectFor when 0
	Retain     time.Duration // DefaultRetain when 0
	MaxSilence time.Duration // DefaultMaxSilence when 0; well below Retain

	shards     [Buckets]shard
	index      index
	services   serviceIndex
	generation atomic.Uint64 // raised by every change

	selfMu     sync.Mutex // taken before a shard's lock
	self       Record
	superseded atomic.Uint64 // higher incarnation seen at this daemon's address, or 0

	subscribersMu sync.Mutex
	subscribers   atomic.Pointer[[]func(Record)]
}

type shard struct {
	mu      sync.Mutex // taken before the locks of index and services
	records map[netip.AddrPort]*entry
	digest  uint64 // XOR of the hashes of the records that are not gone
}

// entry is never changed after it is stored.
type entry struct {
	record  Record
	hash    uint64
	changed time.Time // when this daemon stored the record
}

// SetSelf stores the record of this daemon. It must be called before records of other members are applied.
func (t *Table) SetSelf(r Record) {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	t.self = r
	t.storeSelf()
}

// SetState changes the state of this daemon's own record and raises its version.
func (t *Table) SetState(state State) Record {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	if t.self.State == state {
		return t.self
	}
	t.self.State = state
	t.self.Version++
	t.storeSelf()
	return t.self
}

// Self returns the record of this daemon.
func (t *Table) Self() Record {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	return t.self
}

// Superseded returns a higher incarnation that was seen at this daemon's address, or 0.
func (t *Table) Superseded() ident.Incarnation {
	return ident.Incarnation(t.superseded.Load())
}

// TakeOver raises the incarnation of this daemon's own record above other, the highest one seen at its address. It reports false when the
// record has a higher one already.
func (t *Table) TakeOver(other ident.Incarnation) (Record, bool) {
	t.selfMu.Lock()
	defer t.selfMu.Unlock()
	if t.self.Incarnation > other || other >= maxIncarnation {
		return t.self, false
	}
	t.self.Incarnation, t.self.Version = other+1, t.self.Version+1
	t.superseded.Store(0)
	t.storeSelf()
	return t.self, true
}

func (t *Table) storeSelf() {
	s := t.shard(t.self.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.store(s, t.self, true)
}

// Apply merges a received record and reports whether the table changed. A record of this daemon that is newer than its own is
// refuted with a higher version, unless its incarnation is higher. A gone record of a member that is not gone here only marks it as
// suspect, so that the member can refute it, since after a partition each side holds the other as gone. A gone record of an unknown
// member is not stored; otherwise daemons would send it back to each other forever.
func (t *Table) Apply(r Record) bool {
	if !r.Valid() {
		return false
	}
	t.selfMu.Lock()
	if r.Address == t.self.Address {
		defer t.selfMu.Unlock()
		return t.refute(r)
	}
	t.selfMu.Unlock()
	s := t.shard(r.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.records[r.Address]
	if r.State == Gone {
		if held == nil {
			return false
		}
		if held.record.State != Gone {
			r.State = Suspect
		}
	}
	if held != nil && !r.Newer(held.record) {
		return false
	}
	t.store(s, r, false)
	return true
}

func (t *Table) refute(r Record) bool {
	if r.Incarnation > t.self.Incarnation {
		t.superseded.Store(max(t.superseded.Load(), uint64(r.Incarnation)))
		return false
	}
	if !r.Newer(t.self) {
		return false
	}
	t.self.Version = r.Version + 1
	t.storeSelf()
	return true
}

// Suspect marks the member as suspect if its record has not changed since r was read, and reports whether it did.
func (t *Table) Suspect(r Record) bool {
	if r.State == Suspect || r.State == Gone {
		return false
	}
	s := t.shard(r.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.records[r.Address]
	if held == nil || held.record != r {
		return false
	}
	r.State = Suspect
	t.store(s, r, false)
	return true
}

// Expire marks members as gone that have been suspect for SuspectFor, and removes gone records after Retain.
func (t *Table) Expire() {
	now := time.Now()
	for _, e := range t.index.due(now, orDefault(t.SuspectFor, DefaultSuspectFor), orDefault(t.Retain, DefaultRetain)) {
		t.expire(e)
	}
}

func (t *Table) expire(e *entry) {
	s := t.shard(e.record.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[e.record.Address] != e {
		return
	}
	if e.record.State == Gone {
		t.remove(s, e)
		return
	}
	r := e.record
	r.State = Gone
	t.store(s, r, false)
}

// RestartSuspicions restarts the time of every suspicion. It is called after a pause of the process, during which refutations could
// not be received.
func (t *Table) RestartSuspicions() {
	now := time.Now()
	for _, e := range t.index.allSuspects() {
		s := t.shard(e.record.Address)
		s.mu.Lock()
		if s.records[e.record.Address] == e {
			renewed := *e
			renewed.changed = now
			s.records[e.record.Address] = &renewed
			t.index.put(&renewed, false)
			t.services.put(&renewed, "")
		}
		s.mu.Unlock()
	}
}

// DiscardStale removes all records of other members when silence, the time without a message from any peer, exceeds MaxSilence. It
// returns their addresses. It must be called before records are exchanged again.
func (t *Table) DiscardStale(silence time.Duration) []netip.AddrPort {
	if silence <= orDefault(t.MaxSilence, DefaultMaxSilence) {
		return nil
	}
	self := t.Self().Address
	var discarded []netip.AddrPort
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for address, e := range s.records {
			if address == self {
				continue
			}
			discarded = append(discarded, address)
			t.remove(s, e)
		}
		s.mu.Unlock()
	}
	return discarded
}

// store replaces the record in its shard and in the indexes and notifies the subscribers. The caller holds the shard's lock.
func (t *Table) store(s *shard, r Record, self bool) {
	if s.records == nil {
		s.records = make(map[netip.AddrPort]*entry)
	}
	e := &entry{record: r, hash: r.hash(), changed: time.Now()}
	oldService := ""
	if old := s.records[r.Address]; old != nil {
		s.digest ^= old.digestPart()
		oldService = old.record.Service
	}
	s.digest ^= e.digestPart()
	s.records[r.Address] = e
	t.index.put(e, self)
	t.services.put(e, oldService)
	t.recordChange(r)
}

func (t *Table) remove(s *shard, e *entry) {
	s.digest ^= e.digestPart()
	delete(s.records, e.record.Address)
	t.index.remove(e.record.Address)
	t.services.remove(e)
	t.generation.Add(1)
}

// recordChange raises the generation and notifies the subscribers.
func (t *Table) recordChange(r Record) {
	t.generation.Add(1)
	subscribers := t.subscribers.Load()
	if subscribers == nil {
		return
	}
	for _, notify := range *subscribers {
		notify(r)
	}
}

// Subscribe calls notify forevery record that is stored from now on. Calls for the same member are in order. notify must not block
// and must not call the table.
func (t *Table) Subscribe(notify func(Record)) {
	t.subscribersMu.Lock()
	defer t.subscribersMu.Unlock()
	var next []func(Record)
	if old := t.subscribers.Load(); old != nil {
		next = append(next, *old...)
	}
	next = append(next, notify)
	t.subscribers.Store(&next)
}

func (t *Table) shard(address netip.AddrPort) *shard {
	return &t.shards[bucket(address)]
}

// digestPart returns the contribution of the record to the digest of its bucket. Gone records contribute nothing, so that the digests
// of daemons that remove them at different times still agree.
func (e *entry) digestPart() uint64 {
	if e.record.State == Gone {
		return 0
	}
	return e.hash
}

func bucket(address netip.AddrPort) int {
	var buffer [18]byte
	return int(xxhash.Sum64(appendAddress(buffer[:0], address)) % Buckets)
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
