package member

import (
	"net/netip"
	"slices"
)

// Get returns the record of a member.
func (t *Table) Get(address netip.AddrPort) (Record, bool) {
	s := t.shard(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.records[address]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}

// Members returns the members of a service that are not gone, sorted by address. The slice is shared and must not be changed.
func (t *Table) Members(service string) []Record {
	g := t.services.find(service)
	if g == nil {
		return nil
	}
	return g.snapshot()
}

// All returns every record, including gone ones, sorted by address.
func (t *Table) All() []Record {
	var all []Record
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.records {
			all = append(all, e.record)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, compareAddress)
	return all
}

// Live returns the number of members that are not gone, including this daemon.
func (t *Table) Live() int {
	t.index.mu.Lock()
	defer t.index.mu.Unlock()
	return len(t.index.live.list) + 1
}

// Generation returns a number that rises with every change of the table.
func (t *Table) Generation() uint64 {
	return t.generation.Load()
}

// Pick returns at most n distinct members that are not gone, chosen at random, without this daemon and except.
func (t *Table) Pick(n int, except netip.AddrPort) []Record {
	t.index.mu.Lock()
	defer t.index.mu.Unlock()
	return t.index.live.sample(n, except)
}

// PickZone returns at most n distinct members of a zone that are not gone, chosen at random, without this daemon. In a large fleet with
// few members in the zone it may miss some.
func (t *Table) PickZone(n int, zone string) []Record {
	t.index.mu.Lock()
	defer t.index.mu.Unlock()
	return t.index.live.sampleZone(n, zone)
}

// PickGone returns a gone member, chosen at random.
func (t *Table) PickGone() (Record, bool) {
	t.index.mu.Lock()
	defer t.index.mu.Unlock()
	picked := t.index.gone.sample(1, netip.AddrPort{})
	if len(picked) == 0 {
		return Record{}, false
	}
	return picked[0], true
}

// Dump is the state of a Table.
type Dump struct {
	Self       Record
	Generation uint64
	Live       int            // including this daemon
	States     map[string]int // number of members in each state
	Members    []Record       // sorted by address, including gone ones
}

// Dump returns the state for the state dump.
func (t *Table) Dump() any {
	dump := Dump{
		Self:       t.Self(),
		Generation: t.Generation(),
		Live:       t.Live(),
		States:     make(map[string]int),
		Members:    t.All(),
	}
	for _, r := range dump.Members {
		dump.States[r.State.String()]++
	}
	return dump
}

// Each calls visit for every record, including gone ones, in no particular order. visit must not call the table.
func (t *Table) Each(visit func(Record)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.records {
			visit(e.record)
		}
		s.mu.Unlock()
	}
}
