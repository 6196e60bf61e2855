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

// ErrFull is the cause when no server is selected because all are known to be full or to refuse work.
var ErrFull = errors.New("no server with room")

// Members are the known members of the fleet.
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
	Zone    string           // own zone
	Self    netip.AddrPort   // of the daemon that selects; decides its subset of a large service
	Now     func() time.Time // time.Now when nil
	Log     logr.Logger

	services sync.Map // name to *state
}

// state is what the chooser keeps of one service.
type state struct {
	pool  *pool.Service
	stale atomic.Bool // the members have changed since list was built
	list  atomic.Pointer[list]
	turn  atomic.Uint64 // of RoundRobin

	mu        sync.Mutex // guards avoid; never held together with the lock of the pool's service except inside Pick
	avoid     avoidance
	penalties atomic.Bool // some server has a penalty or is avoided; most of the time there is none
	selected  sync.Map    // server to *atomic.Uint64
}

// list holds the servers that a service may use. It is never changed after it is published.
type list struct {
	config  *config.Config
	servers []netip.AddrPort // sorted, those in the own zone first
	own     int              // number of servers in the own zone
	index   map[netip.AddrPort]int
}

// MembersChanged tells the chooser that members of a service have changed.
func (c *Chooser) MembersChanged(service string) {
	if found, ok := c.services.Load(service); ok {
		found.(*state).stale.Store(true)
	}
}

// Servers returns the servers that the service may use now.
func (c *Chooser) Servers(service string) []netip.AddrPort {
	conf := c.Config.Get()
	if conf == nil {
		return nil
	}
	return c.candidates(service, conf).servers
}

// Select selects a server for an attempt and counts the attempt as sent to it: the caller reports its end to the pool.
// Servers in tried are selected only when there is no other one.
func (c *Chooser) Select(service string, tried []netip.AddrPort, class ident.Class) (pool.Selection, error) {
	conf := c.Config.Get()
	if conf == nil {
		return pool.Selection{}, code.NotRunf(code.NoConfiguration, "no configuration is known yet")
	}
	s := c.service(service)
	l := c.candidates(service, conf)
	p := pick{chooser: c, state: s, list: l, tried: tried, class: class}
	sent, ok := s.pool.Pick(&p, LatencySensitive(class))
	if !ok {
		if len(l.servers) > 0 {
			return sent, code.NotRunf(code.Overloaded, "every server of service %s is full or refuses work", service).WithCause(ErrFull)
		}
		return sent, code.NotRunf(code.NoServer, "service %s has no server that may be used", service)
	}
	counter, ok := s.selected.Load(sent.Server)
	if !ok {
		counter, _ = s.selected.LoadOrStore(sent.Server, &atomic.Uint64{})
	}
	counter.(*atomic.Uint64).Add(1)
	return sent, nil
}

// LatencySensitive reports whether an answer is expected within the service's usual latency.
func LatencySensitive(class ident.Class) bool {
	return class == ident.Check || class == ident.Lookup
}

func (c *Chooser) service(name string) *state {
	if found, ok := c.services.Load(name); ok {
		return found.(*state)
	}
	s := &state{pool: c.Pool.Service(name), avoid: newAvoidance()}
	found, _ := c.services.LoadOrStore(name, s)
	return found.(*state)
}

func (c *Chooser) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

// candidates returns the cached list and rebuilds it when the configuration or the members have changed.
func (c *Chooser) candidates(service string, conf *config.Config) *list {
	s := c.service(service)
	if l := s.list.Load(); l != nil && l.config == conf && !s.stale.Load() {
		return l
	}
	s.stale.Store(false) // before reading the members, so that a change during the build leads to another build
	l := c.build(service, conf)
	s.list.Store(l)
	return l
}

// build filters the members. A suspect member is used only when no serving one is left, because most suspicions are
// refuted within a second and a gone server costs an ack bound.
func (c *Chooser) build(service string, conf *config.Config) *list {
	l := &list{config: conf, index: make(map[netip.AddrPort]int)}
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
			l.own++
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
	Errors   float64       // recent share of errors
	Avoided  time.Duration // time left, or 0
	Reason   string        // why it is avoided
}

// Dump returns the state for the state dump.
func (c *Chooser) Dump() any {
	var dump Dump
	now := c.now()
	c.services.Range(func(name, value any) bool {
		if d, ok := value.(*state).dump(name.(string), now); ok {
			dump.Services = append(dump.Services, d)
		}
		return true
	})
	sort.Slice(dump.Services, func(i, j int) bool { return dump.Services[i].Service < dump.Services[j].Service })
	return dump
}

func (s *state) dump(name string, now time.Time) (ServiceDump, bool) {
	l := s.list.Load()
	if l == nil {
		return ServiceDump{}, false
	}
	d := ServiceDump{Service: name, Revision: l.config.Revision}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, server := range l.servers {
		entry := ServerDump{Server: server, OwnZone: i < l.own}
		if counter, ok := s.selected.Load(server); ok {
			entry.Selected = counter.(*atomic.Uint64).Load()
		}
		if f := s.avoid.servers[server]; f != nil {
			entry.Errors = f.share
			if left := max(f.until.Sub(now), f.dark.Sub(now)); left > 0 {
				entry.Avoided = left
				entry.Reason = f.reason
			}
		}
		d.Servers = append(d.Servers, entry)
	}
	return d, true
}
