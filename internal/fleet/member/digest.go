package member

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the records in one message. A record takes about 100 bytes, so even the larger bound is far below the frame size.
const (
	maxDiffering = 128 // from buckets that have records on both sides
	maxMissing   = 512 // from buckets that are empty on the other side
)

// recentPeriod is how long a changed record is sent in preference to older ones. Eager updates reach all daemons within it.
const recentPeriod = 30 * time.Second

// Older records seldom differ and there are many of them, so they are sent only in one of so many comparisons, chosen at random.
const (
	olderOddsWithRecent = 8 // when the differing buckets hold recent changes
	olderOddsAlone      = 4 // when they hold none
)

// Digests returns the digest of each bucket, in order. It is 0 for a bucket without live records.
func (t *Table) Digests() []uint64 {
	digests := make([]uint64, Buckets)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		digests[i] = s.digest
		s.mu.Unlock()
	}
	return digests
}

// Diff is the result of a comparison with the digests of another daemon.
type Diff struct {
	Equal   bool
	Records []Record // a bounded selection of the records in the buckets that differ
	More    bool     // Records omits buckets that are empty on the other side
}

// Compare selects the records that another daemon with these digests may lack: those in buckets that are empty on its side,
// recently changed ones in the other differing buckets, and sometimes a sample of older records in these.
func (t *Table) Compare(remote []uint64) Diff {
	if len(remote) != Buckets {
		return Diff{Equal: true}
	}
	diff := Diff{Equal: true}
	var recent, older []Record
	now := time.Now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		if s.digest == remote[i] {
			s.mu.Unlock()
			continue
		}
		diff.Equal = false
		if remote[i] == 0 {
			diff.addBucket(s)
		} else {
			recent, older = s.splitByAge(now, recent, older)
		}
		s.mu.Unlock()
	}
	diff.Records = append(diff.Records, selectRecords(recent, older)...)
	return diff
}

func (d *Diff) addBucket(s *shard) {
	if len(d.Records) > 0 && len(d.Records)+len(s.records) > maxMissing {
		d.More = true
		return
	}
	for _, e := range s.records {
		if e.record.State != Gone {
			d.Records = append(d.Records, e.record)
		}
	}
}

func (s *shard) splitByAge(now time.Time, recent, older []Record) (newRecent, newOlder []Record) {
	for _, e := range s.records {
		if now.Sub(e.changed) < recentPeriod {
			recent = append(recent, e.record)
		} else {
			older = append(older, e.record)
		}
	}
	return recent, older
}

func selectRecords(recent, older []Record) []Record {
	odds := olderOddsWithRecent
	if len(recent) == 0 {
		odds = olderOddsAlone
	}
	if rand.IntN(odds) == 0 {
		recent = append(recent, older...)
	}
	rand.Shuffle(len(recent), func(i, j int) { recent[i], recent[j] = recent[j], recent[i] })
	return recent[:min(len(recent), maxDiffering)]
}

func (r Record) hash() uint64 {
	var buffer [256]byte
	b := appendAddress(buffer[:0], r.Address)
	b = appendAddress(b, r.Front)
	for _, text := range [...]string{r.Service, r.Zone, r.Region} {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
		b = append(b, text...)
	}
	b = binary.LittleEndian.AppendUint64(b, uint64(r.Incarnation))
	b = binary.LittleEndian.AppendUint64(b, r.Version)
	b = append(b, byte(r.State))
	return xxhash.Sum64(b)
}

func appendAddress(b []byte, address netip.AddrPort) []byte {
	var raw [16]byte
	if address.IsValid() {
		raw = address.Addr().As16()
	}
	b = append(b, raw[:]...)
	return binary.LittleEndian.AppendUint16(b, address.Port())
}
