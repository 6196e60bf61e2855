package pool

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

const (
	// freshAge is the age up to which a report is not asked for again. Concurrent selections then share the replies.
	freshAge = 3 * time.Millisecond
	// aliveTries and aliveWait are the queries sent to learn whether a daemon is alive, and the wait for each reply. A datagram may be
	// lost, and a busy instance takes several milliseconds to reply.
	aliveTries = 3
	aliveWait  = 50 * time.Millisecond
)

// round is a wait for the reports of several servers.
type round struct {
	pending []netip.AddrPort
	done    chan struct{} // closed when pending is empty
}

// Refresh asks for the reports of those servers whose last report is not fresh, and waits until all have arrived, wait has passed or
// ctx ends.
func (s *Service) Refresh(ctx context.Context, servers []netip.AddrPort, wait time.Duration) {
	r := s.beginRound(servers)
	if r == nil {
		return
	}
	defer s.endRound(r)
	for _, server := range servers {
		if !s.isPending(r, server) {
			continue
		}
		if !s.pool.Ask(server) {
			s.drop(r, server)
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// HasAny reports whether the view of one of the servers satisfies ok.
func (s *Service) HasAny(servers []netip.AddrPort, ok func(*View) bool) bool {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	views := s.currentViews(now)
	for i := range views {
		if slices.Contains(servers, views[i].Server) && ok(&views[i]) {
			return true
		}
	}
	return false
}

// beginRound returns nil if the reports of all servers are fresh.
func (s *Service) beginRound(servers []netip.AddrPort) *round {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &round{done: make(chan struct{})}
	for _, server := range servers {
		if i := s.reportIndex(server); i < 0 || now.Sub(s.reports[i].receivedAt) > freshAge {
			r.pending = append(r.pending, server)
		}
	}
	if len(r.pending) == 0 {
		return nil
	}
	s.rounds = append(s.rounds, r)
	return r
}

func (s *Service) endRound(r *round) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.rounds, r); i >= 0 {
		s.rounds = slices.Delete(s.rounds, i, i+1)
	}
}

func (s *Service) isPending(r *round, server netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(r.pending, server)
}

// drop ends the wait of a round for a server that could not be asked.
func (s *Service) drop(r *round, server netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.arrived(server)
}

// reportArrived ends the wait for a server's report. It is called with the lock held.
func (s *Service) reportArrived(server netip.AddrPort) {
	for _, r := range s.rounds {
		r.arrived(server)
	}
}

func (r *round) arrived(server netip.AddrPort) {
	i := slices.Index(r.pending, server)
	if i < 0 {
		return
	}
	r.pending = slices.Delete(r.pending, i, i+1)
	if len(r.pending) == 0 {
		close(r.done)
	}
}

// IsAlive reports whether the daemon beside a server is known to be alive: a report is younger than MaxReportAge, or it replies to a
// query.
func (s *Service) IsAlive(ctx context.Context, server netip.AddrPort) bool {
	for range aliveTries {
		if s.hasRecentReport(server) {
			return true
		}
		if s.pool.Ask == nil || ctx.Err() != nil {
			return false
		}
		s.Refresh(ctx, []netip.AddrPort{server}, aliveWait)
	}
	return s.hasRecentReport(server)
}

func (s *Service) hasRecentReport(server netip.AddrPort) bool {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.reportIndex(server)
	return i >= 0 && now.Sub(s.reports[i].receivedAt) < MaxReportAge
}
