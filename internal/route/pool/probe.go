package pool

import (
	"context"
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	probeTick    = 50 * time.Millisecond // well below MaxAge, so that a busy service keeps some reports
	probeTimeout = 200 * time.Millisecond
	// probesPerRequest keeps probes a small share of the traffic: each ack and answer carries a report as well.
	probesPerRequest = 0.25
	maxProbes        = 3 // per service and tick
	maxOutstanding   = 6 // probes in flight per service; a silent network must not pile them up
	// unansweredPause follows a probe that got no reply, in place of the time that the reply would have named.
	unansweredPause = time.Second
)

type probing struct {
	credit      float64
	outstanding int
}

// Run probes the servers of the services in use until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if p.ReportsPushed {
			continue
		}
		p.services.Range(func(_, value any) bool {
			value.(*Service).probeRound(ctx)
			return true
		})
	}
}

// probeRound sends the probes that are due. A service without requests since the last round costs nothing.
func (s *Service) probeRound(ctx context.Context) {
	requests := s.requests.Swap(0)
	if requests == 0 {
		return
	}
	for _, server := range s.dueProbes(requests, s.pool.Servers(s.Name)) {
		go s.probe(ctx, server)
	}
}

// dueProbes selects random servers that accept a probe now, those without a report first.
func (s *Service) dueProbes(requests int64, servers []netip.AddrPort) []netip.AddrPort {
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	s.probes.credit = min(s.probes.credit+float64(requests)*probesPerRequest, maxProbes)
	n := min(int(s.probes.credit), maxOutstanding-s.probes.outstanding)
	if n <= 0 || len(servers) == 0 {
		return nil
	}
	var due, reported []netip.AddrPort
	start := s.rand.IntN(len(servers))
	for i := range servers {
		server := servers[(start+i)%len(servers)]
		if c := s.counts[server]; c != nil && now.Before(c.nextProbe) {
			continue
		}
		if s.find(server) >= 0 {
			reported = append(reported, server)
			continue
		}
		due = append(due, server)
		if len(due) == n {
			break
		}
	}
	due = append(due, reported...)
	due = due[:min(n, len(due))]
	s.probes.credit -= float64(len(due))
	s.probes.outstanding += len(due)
	for _, server := range due {
		s.count(server, now).nextProbe = now.Add(unansweredPause)
	}
	return due
}

func (s *Service) probe(ctx context.Context, server netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := s.pool.Client.Probe(ctx, server, &proto.Probe{Service: s.Name})
	now := s.pool.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes.outstanding--
	if err != nil {
		return
	}
	s.count(server, now).nextProbe = now.Add(reply.Next)
	s.learn(reply.Report, now)
}

// prune forgets servers that have not been used for long, so that replaced servers do not fill the memory.
func (s *Service) prune(now time.Time) {
	for server, c := range s.counts {
		if c.inFlight == 0 && now.Sub(c.last) > idleServer {
			delete(s.counts, server)
		}
	}
}
