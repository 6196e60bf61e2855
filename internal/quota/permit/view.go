package permit

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

const (
	// rankedCount is the number of daemons in the ranking of an organisation. In a partition into halves, all of them are on the other
	// side once in 256 times.
	rankedCount = 8
	// goneRetention is how long a gone member keeps its rank and counts as unreached: it may run on the other side of a partition.
	goneRetention = 60 * time.Second
	// viewAge is the maximum age of a view.
	viewAge = 5 * time.Second
	// maxUnheard is the share of suspect and gone members above which the network is assumed to be partitioned.
	maxUnheard = 0.1
	// maxRankings limits the rankings that are kept. A daemon sees the organisations of its callers and those that it owns.
	maxRankings = 4096
)

// view is the membership as the agent uses it.
type view struct {
	self       netip.AddrPort
	generation uint64
	at         time.Time
	known      []netip.AddrPort // with this daemon, and with members that are gone since less than goneRetention
	gone       map[netip.AddrPort]bool

	mu       sync.Mutex
	rankings map[string][]netip.AddrPort
}

// views keeps the current view.
type views struct {
	mu        sync.Mutex
	current   *view
	goneSince map[netip.AddrPort]time.Time
	since     time.Time // latest change after which other daemons may have granted what this one is asked for
}

// view returns the current view. It is made anew when the membership has changed, or members have been gone for long enough.
func (a *Agent) view(now time.Time) *view {
	v := &a.views
	v.mu.Lock()
	defer v.mu.Unlock()
	generation := a.Members.Generation()
	if v.current != nil && v.current.generation == generation && now.Sub(v.current.at) < viewAge {
		return v.current
	}
	next := &view{
		self: a.Self, generation: generation, at: now,
		gone: make(map[netip.AddrPort]bool), rankings: make(map[string][]netip.AddrPort),
	}
	serving, unheard := false, 0
	stillGone := make(map[netip.AddrPort]time.Time)
	a.Members.Each(func(r member.Record) {
		switch {
		case r.Address == a.Self:
			serving = r.State != member.Joining
			return
		case r.State == member.Joining:
			return
		case r.State == member.Gone:
			since, found := v.goneSince[r.Address]
			if !found {
				since = now
			}
			stillGone[r.Address] = since
			if now.Sub(since) >= goneRetention {
				return
			}
			next.gone[r.Address] = true
			unheard++
		case r.State == member.Suspect:
			unheard++
		}
		next.known = append(next.known, r.Address)
	})
	next.known = append(next.known, a.Self)
	slices.SortFunc(next.known, netip.AddrPort.Compare)
	v.goneSince = stillGone
	if v.current == nil || !serving || float64(unheard) > maxUnheard*float64(len(next.known)) || v.lost(next) {
		v.since = now
	} else if slices.Equal(v.current.known, next.known) {
		next.rankings = v.current.takeRankings()
	}
	v.current = next
	return next
}

// lost reports whether the next view lacks a member of the current one.
func (v *views) lost(next *view) bool {
	for _, address := range v.current.known {
		if _, found := slices.BinarySearchFunc(next.known, address, netip.AddrPort.Compare); !found {
			return true
		}
	}
	return false
}

// takeRankings returns the rankings for a view with the same members.
func (v *view) takeRankings() map[string][]netip.AddrPort {
	v.mu.Lock()
	defer v.mu.Unlock()
	rankings := v.rankings
	v.rankings = make(map[string][]netip.AddrPort)
	return rankings
}

// reset records that other daemons may have granted permits in place of this one until now.
func (v *views) reset(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.since = now
}

func (v *views) stableSince() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.since
}

func (v *view) isGone(address netip.AddrPort) bool {
	return v.gone[address]
}

// ranked returns the daemons that grant permits for the organisation, the owner first.
func (v *view) ranked(organisation string) []netip.AddrPort {
	v.mu.Lock()
	defer v.mu.Unlock()
	if found, ok := v.rankings[organisation]; ok {
		return found
	}
	var best [rankedCount + 1]scored // in descending order; the last one is dropped
	count, name := 0, xxhash.Sum64String(organisation)
	for _, address := range v.known {
		next := scored{address, score(name, address)}
		at := count
		for at > 0 && best[at-1].score < next.score {
			best[at] = best[at-1]
			at--
		}
		if at < rankedCount {
			best[at] = next
			count = min(count+1, rankedCount)
		}
	}
	ranked := make([]netip.AddrPort, count)
	for i := range ranked {
		ranked[i] = best[i].address
	}
	if len(v.rankings) >= maxRankings {
		clear(v.rankings)
	}
	v.rankings[organisation] = ranked
	return ranked
}

type scored struct {
	address netip.AddrPort
	score   uint64
}

func score(organisation uint64, address netip.AddrPort) uint64 {
	var buffer [32]byte
	ip := address.Addr().As16()
	text := append(buffer[:0], ip[:]...)
	text = append(text, byte(address.Port()>>8), byte(address.Port()))
	for shift := 0; shift < 64; shift += 8 {
		text = append(text, byte(organisation>>shift))
	}
	return xxhash.Sum64(text)
}
