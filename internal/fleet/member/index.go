package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// index supports random choice of members and finds those whose state has expired. It does not contain this daemon itself.
type index struct {
	mu       sync.Mutex
	live     randomSet // members that are not gone
	gone     randomSet // gone members
	suspects map[netip.AddrPort]*entry
}

// randomSet is a set of members from which a random one is chosen in constant time.
type randomSet struct {
	list     []*entry
	position map[netip.AddrPort]int
}

func (r *randomSet) put(e *entry) {
	if at, found := r.position[e.record.Address]; found {
		r.list[at] = e
		return
	}
	if r.position == nil {
		r.position = make(map[netip.AddrPort]int)
	}
	r.position[e.record.Address] = len(r.list)
	r.list = append(r.list, e)
}

func (r *randomSet) remove(address netip.AddrPort) {
	at, found := r.position[address]
	if !found {
		return
	}
	last := len(r.list) - 1
	r.list[at] = r.list[last]
	r.position[r.list[at].record.Address] = at
	r.list[last] = nil
	r.list = r.list[:last]
	delete(r.position, address)
}

// sample returns at most n distinct records in random order.
func (r *randomSet) sample(n int, except netip.AddrPort) []Record {
	picked := make([]Record, 0, min(n, len(r.list)))
	if len(r.list) <= 2*n {
		for _, at := range rand.Perm(len(r.list)) {
			if len(picked) < n && r.list[at].record.Address != except {
				picked = append(picked, r.list[at].record)
			}
		}
		return picked
	}
	seen := make(map[int]bool, n)
	for len(picked) < n {
		at := rand.IntN(len(r.list))
		if seen[at] || r.list[at].record.Address == except {
			continue
		}
		seen[at] = true
		picked = append(picked, r.list[at].record)
	}
	return picked
}

// maxZoneDraws bounds the records that are examined for a sample of one zone.
const maxZoneDraws = 128

// sampleZone returns at most n distinct records of a zone in random order. It may miss some, because it examines a bounded number.
func (r *randomSet) sampleZone(n int, zone string) []Record {
	picked := make([]Record, 0, n)
	for _, drawn := range r.sample(min(maxZoneDraws, len(r.list)), netip.AddrPort{}) {
		if len(picked) < n && drawn.Zone == zone {
			picked = append(picked, drawn)
		}
	}
	return picked
}

func (x *index) put(e *entry, self bool) {
	if self {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	address := e.record.Address
	delete(x.suspects, address)
	if e.record.State == Gone {
		x.live.remove(address)
		x.gone.put(e)
		return
	}
	x.gone.remove(address)
	x.live.put(e)
	if e.record.State != Suspect {
		return
	}
	if x.suspects == nil {
		x.suspects = make(map[netip.AddrPort]*entry)
	}
	x.suspects[address] = e
}

func (x *index) remove(address netip.AddrPort) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.live.remove(address)
	x.gone.remove(address)
	delete(x.suspects, address)
}

// due returns the suspects and gone records that have been in their state for at least suspectFor or retain.
func (x *index) due(now time.Time, suspectFor, retain time.Duration) []*entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	var due []*entry
	for _, e := range x.suspects {
		if now.Sub(e.changed) >= suspectFor {
			due = append(due, e)
		}
	}
	for _, e := range x.gone.list {
		if now.Sub(e.changed) >= retain {
			due = append(due, e)
		}
	}
	return due
}

func (x *index) allSuspects() []*entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := make([]*entry, 0, len(x.suspects))
	for _, e := range x.suspects {
		all = append(all, e)
	}
	return all
}

// serviceIndex holds the members of each service.
type serviceIndex struct {
	mu     sync.RWMutex
	byName map[string]*serviceMembers
}

type serviceMembers struct {
	mu      sync.Mutex
	members map[netip.AddrPort]*entry // that are not gone
	cache   atomic.Pointer[[]Record]  // nil after a change; the slice is never changed
}

func (g *serviceIndex) find(service string) *serviceMembers {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.byName[service]
}

func (g *serviceIndex) findOrAdd(service string) *serviceMembers {
	if found := g.find(service); found != nil {
		return found
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byName == nil {
		g.byName = make(map[string]*serviceMembers)
	}
	if g.byName[service] == nil {
		g.byName[service] = &serviceMembers{members: make(map[netip.AddrPort]*entry)}
	}
	return g.byName[service]
}

func (g *serviceIndex) put(e *entry, oldService string) {
	if oldService != "" && oldService != e.record.Service {
		g.findOrAdd(oldService).set(e.record.Address, nil)
	}
	if e.record.State == Gone {
		g.remove(e)
		return
	}
	g.findOrAdd(e.record.Service).set(e.record.Address, e)
}

func (g *serviceIndex) remove(e *entry) {
	if found := g.find(e.record.Service); found != nil {
		found.set(e.record.Address, nil)
	}
}

func (g *serviceMembers) set(address netip.AddrPort, e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e == nil {
		delete(g.members, address)
	} else {
		g.members[address] = e
	}
	g.cache.Store(nil)
}

func (g *serviceMembers) snapshot() []Record {
	if cached := g.cache.Load(); cached != nil {
		return *cached
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	records := make([]Record, 0, len(g.members))
	for _, e := range g.members {
		records = append(records, e.record)
	}
	slices.SortFunc(records, compareAddress)
	g.cache.Store(&records)
	return records
}

func compareAddress(a, b Record) int {
	return a.Address.Compare(b.Address)
}
