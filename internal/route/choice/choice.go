// Package choice selects the server of an attempt.
package choice

import (
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
)

// ErrFull is the cause of the error of Select when every server is known to be full or to refuse work.
var ErrFull = errors.New("no server with free capacity")

// Members gives access to the known members of the fleet.
type Members interface {
	// Service returns the records of a service's members in any order. The caller does not change them.
	Service(name string) []member.Record
}

// Chooser selects servers.
type Chooser struct {
	Policy  Policy
	Pool    *pool.Pool
	Members Members
	Config  *config.Holder
	Zone    string           // zone of this router
	Self    netip.AddrPort   // address of this router's daemon; determines its subset of a large service
	Now     func() time.Time // time.Now when nil
	Log     logr.Logger

	services sync.Map // service name to *serviceState
}

// serviceState is the chooser's state for one service.
type serviceState struct {
	pool  *pool.Service
	stale atomic.Bool // the members have changed since list was built
	list  atomic.Pointer[candidateList]
	next  atomic.Uint64 // position of RoundRobin

	mu        sync.Mutex // guards avoid; held together with the lock of pool only inside Pick
	avoid     avoidance
	penalties atomic.Bool // avoid has an entry; lets selections skip the lock in the usual case that no server has errors
	selected  sync.Map    // server to *atomic.Uint64
}

// candidateList holds the servers that may be selected for a service. It is immutable once published.
type candidateList struct {
	config  *config.Config
	servers []netip.AddrPort       // sorted by address, those in the router's zone first
	ownZone int                    // number of servers in the router's zone
	index   map[netip.AddrPort]int // position in servers
}

// MembersChanged invalidates the candidates of a service after a change of its members.
func (c *Chooser) MembersChanged(service string) {
	if found, ok := c.services.Load(service); ok {
		found.(*serviceState).stale.Store(true)
	}
}

// Servers returns the servers that may be selected for the service now.
func (c *Chooser) Servers(service string) []netip.AddrPort {
	conf := c.Config.Get()
	if conf == nil {
		return nil
	}
	return c.candidates(service, conf).servers
}

// IsGone reports whether the fleet takes the daemon beside a server for ended. A suspicion is not enough: a busy link delays the exchanges
// of the membership as well.
func (c *Chooser) IsGone(service string, server netip.AddrPort) bool {
	for _, r := range c.Members.Service(service) {
		if r.Address == server {
			return r.State == member.Gone
		}
	}
	return true
}

// Need describes an attempt for the selection of a server.
type Need struct {
	Class        ident.Class
	ByPrecedence bool // servers order requests by precedence, so that a full one is only left out if its floor refuses the request
	Priority     int  // 0 is the highest
	Nested       bool
}

// Select is SelectFor without precedence.
func (c *Chooser) Select(service string, tried []netip.AddrPort, class ident.Class) (pool.Selection, error) {
	return c.SelectFor(service, tried, Need{Class: class})
}

// SelectFor selects a server for an attempt and counts the attempt as sent to it. The caller must report the end
// of the attempt to the pool. Servers in tried are selected only when there is no other one.
func (c *Chooser) SelectFor(service string, tried []netip.AddrPort, need Need) (pool.Selection, error) {
	conf, err := c.Config.InForce()
	if err != nil {
		return pool.Selection{}, err
	}
	s := c.service(service)
	l := c.candidates(service, conf)
	p := selection{chooser: c, state: s, list: l, tried: tried, class: need.Class, need: need}
	sent, ok := s.pool.Pick(&p, LatencySensitive(need.Class))
	if !ok {
		if p.floored {
			return sent, code.NotRunf(code.LowPrecedence, "every server of service %s refuses requests of priority %d", service,
				need.Priority).WithCause(ErrFull)
		}
		if len(l.servers) > 0 {
			return sent, code.NotRunf(code.Overloaded, "every server of service %s is full or refuses work", service).WithCause(ErrFull)
		}
		return sent, code.NotRunf(code.NoServer, "service %s has no usable server", service)
	}
	counter, ok := s.selected.Load(sent.Server)
	if !ok {
		counter, _ = s.selected.LoadOrStore(sent.Server, &atomic.Uint64{})
	}
	counter.(*atomic.Uint64).Add(1)
	return sent, nil
}

// LatencySensitive reports whether requests of the class are expected to be answered within the service's usual latency.
func LatencySensitive(class ident.Class) bool {
	return class == ident.Check || class == ident.Lookup
}

func (c *Chooser) service(name string) *serviceState {
	if found, ok := c.services.Load(name); ok {
		return found.(*serviceState)
	}
	s := &serviceState{pool: c.Pool.Service(name), avoid: newAvoidance()}
	found, _ := c.services.LoadOrStore(name, s)
	return found.(*serviceState)
}

func (c *Chooser) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

// candidates returns the cached list, rebuilt if the configuration or the members have changed.
func (c *Chooser) candidates(service string, conf *config.Config) *candidateList {
	s := c.service(service)
	if l := s.list.Load(); l != nil && l.config == conf && !s.stale.Load() {
		return l
	}
	s.stale.Store(false) // before reading the members, so that a change during the build causes a rebuild
	l := c.build(service, conf)
	s.list.Store(l)
	return l
}

// build selects the candidates among the members. Suspect members are used only when none is serving: most suspicions are
// refuted within a second, but an attempt at a server that is gone costs an ack timeout.
func (c *Chooser) build(service string, conf *config.Config) *candidateList {
	l := &candidateList{config: conf, index: make(map[netip.AddrPort]int)}
	intent := conf.Services[service]
	if intent == nil {
		return l
	}
	var serving, suspect []member.Record
	for _, r := range c.Members.Service(service) {
		if conf.ZoneOut(r.Zone) || !intent.AllowsZone(r.Zone) || conf.Leaving(r.Address) {
			continue
		}
		switch r.State {
		case member.Serving:
			serving = append(serving, r)
		case member.Suspect:
			suspect = append(suspect, r)
		case member.Joining, member.Leaving, member.Gone:
		}
	}
	if len(serving) == 0 {
		serving = suspect
	}
	serving = c.subset(serving)
	sort.Slice(serving, func(i, j int) bool {
		if first, second := serving[i].Zone == c.Zone, serving[j].Zone == c.Zone; first != second {
			return first
		}
		return serving[i].Address.Compare(serving[j].Address) < 0
	})
	for i, r := range serving {
		l.servers = append(l.servers, r.Address)
		l.index[r.Address] = i
		if r.Zone == c.Zone {
			l.ownZone++
		}
	}
	return l
}

// Dump is the state of the chooser, sorted by service.
type Dump struct {
	Services []ServiceDump
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Service  string
	Revision uint64 // configuration revision of the candidates
	Servers  []ServerDump
}

// ServerDump is the state of one candidate.
type ServerDump struct {
	Server   netip.AddrPort
	OwnZone  bool
	Selected uint64
	Errors   float64       // moving average of errors, 0 to 1
	Avoided  time.Duration // remaining time, or 0
	Reason   string        // why it is avoided
}

// Dump returns the state for the state dump.
func (c *Chooser) Dump() any {
	var dump Dump
	now := c.now()
	c.services.Range(func(name, value any) bool {
		if d, ok := value.(*serviceState).dump(name.(string), now); ok {
			dump.Services = append(dump.Services, d)
		}
		return true
	})
	sort.Slice(dump.Services, func(i, j int) bool { return dump.Services[i].Service < dump.Services[j].Service })
	return dump
}

func (s *serviceState) dump(name string, now time.Time) (ServiceDump, bool) {
	l := s.list.Load()
	if l == nil {
		return ServiceDump{}, false
	}
	d := ServiceDump{Service: name, Revision: l.config.Revision}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, server := range l.servers {
		entry := ServerDump{Server: server, OwnZone: i < l.ownZone}
		if counter, ok := s.selected.Load(server); ok {
			entry.Selected = counter.(*atomic.Uint64).Load()
		}
		if f := s.avoid.servers[server]; f != nil {
			entry.Errors = f.errorShare
			if left := max(f.avoidedUntil.Sub(now), f.unreachableUntil.Sub(now)); left > 0 {
				entry.Avoided = left
				entry.Reason = f.reason
			}
		}
		d.Servers = append(d.Servers, entry)
	}
	return d, true
}
