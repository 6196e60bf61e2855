package pool

import (
	"context"
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	probeInterval = 50 * time.Millisecond // well below MaxReportAge, so that a busy service keeps some reports
	probeTimeout  = 200 * time.Millisecond
	// probesPerRequest keeps probes a small share of the traffic. It can be low because each ack and answer carries a report as
	// well.
	probesPerRequest = 0.25
	maxProbes        = 3 // per service and round
	maxOutstanding   = 6 // probes in flight per service; limited so that they do not accumulate while the network drops them
	// noReplyDelay is the delay until the next probe of a server that has not replied. A reply sets the delay itself.
	noReplyDelay = time.Second
)

type probeState struct {
	credit      float64
	outstanding int
}

// Run probes servers of the services in use until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	clock.Every(ctx, probeInterval, func(time.Time) {
		if p.Ask != nil {
			return
		}
		p.services.Range(func(_, value any) bool {
			value.(*Service).probeRound(ctx)
			return true
		})
	})
	return nil
}

// probeRound sends the probes that are due. A service without requests since the last round is not probed.
func (s *Service) probeRound(ctx context.Context) {
	requests := s.requests.Swap(0)
	if requests == 0 {
		return
	}
	for _, server := range s.dueProbes(requests, s.pool.Servers(s.Name)) {
		go s.probe(ctx, server)
	}
}

// dueProbes selects random servers that may be probed now, those without a report first.
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
		if state := s.servers[server]; state != nil && now.Before(state.nextProbe) {
			continue
		}
		if s.reportIndex(server) >= 0 {
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
		s.touch(server, now).nextProbe = now.Add(noReplyDelay)
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
	s.touch(server, now).nextProbe = now.Add(reply.RetryAfter)
	s.addReport(reply.Report, now)
}

// prune removes the state of servers unused for longer than idleRetention, so that replaced servers do not use up memory.
func (s *Service) prune(now time.Time) {
	for server, state := range s.servers {
		if state.inFlight == 0 && now.Sub(state.lastUsed) > idleRetention {
			delete(s.servers, server)
		}
	}
}
