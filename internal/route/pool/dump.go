package pool

import (
	"net/netip"
	"sort"
	"time"
)

// Dump is the part of the state dump about the pool, sorted by service.
type Dump struct {
	Services []ServiceDump
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	Service string
	Reports []View
	Servers []ServerDump
}

// ServerDump holds this router's counters for one server.
type ServerDump struct {
	Server    netip.AddrPort
	InFlight  int
	Unacked   int
	RoundTrip time.Duration
}

// Dump returns the state for the state dump.
func (p *Pool) Dump() any {
	var dump Dump
	now := p.now()
	p.services.Range(func(_, value any) bool {
		dump.Services = append(dump.Services, value.(*Service).dump(now))
		return true
	})
	sort.Slice(dump.Services, func(i, j int) bool { return dump.Services[i].Service < dump.Services[j].Service })
	return dump
}

func (s *Service) dump(now time.Time) ServiceDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := ServiceDump{Service: s.Name}
	d.Reports = append(d.Reports, s.currentViews(now)...)
	for server, state := range s.servers {
		d.Servers = append(d.Servers, ServerDump{
			Server: server, InFlight: state.inFlight, Unacked: state.unacked, RoundTrip: state.roundTrip,
		})
	}
	sort.Slice(d.Servers, func(i, j int) bool { return d.Servers[i].Server.Compare(d.Servers[j].Server) < 0 })
	return d
}
