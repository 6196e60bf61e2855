package choice

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/route/pool"
)

const (
	// roundSize is the number of servers that are asked for their load at once. Among this many, a fast one with room is nearly always
	// found while fewer than half of the servers are slow or full.
	roundSize = 4
	// maxRounds is the number of rounds, enough to ask a whole subset.
	maxRounds = 4
	// ownZoneWait and otherZoneWait bound a round. Replies that arrive later serve the next selection.
	ownZoneWait   = 3 * time.Millisecond
	otherZoneWait = 8 * time.Millisecond
	// maxGoodPace is the pace, in percent of the usual, up to which a server with room ends the search.
	maxGoodPace = 150
)

// Refresh asks servers of the service for their load before a selection, those of the router's zone first, until one of them is
// fast and has room or all have been asked. It answers loads that change within milliseconds: with hundreds of routers and servers,
// a query for each selection costs far fewer messages than reports to all routers at the same age.
func (c *Chooser) Refresh(ctx context.Context, service string, tried []netip.AddrPort) {
	conf := c.Config.Get()
	if c.Pool.Ask == nil || conf == nil {
		return
	}
	l := c.candidates(service, conf)
	s := c.service(service)
	asked := slices.Clone(tried)
	for range maxRounds {
		next, wait := s.nextRound(l, asked, c.now())
		if len(next) == 0 {
			return
		}
		s.pool.Refresh(ctx, next, wait)
		if ctx.Err() != nil || s.pool.HasAny(next, isGood) {
			return
		}
		asked = append(asked, next...)
	}
}

// nextRound returns random servers that have not been asked, and how long to wait for them.
func (s *serviceState) nextRound(l *candidateList, asked []netip.AddrPort, now time.Time) ([]netip.AddrPort, time.Duration) {
	next := s.appendRandom(nil, l.servers[:l.ownZone], asked, now)
	if len(next) >= roundSize/2 {
		return next, ownZoneWait
	}
	return s.appendRandom(next, l.servers[l.ownZone:], asked, now), otherZoneWait
}

// appendRandom appends servers, from a random position on, until there are roundSize.
func (s *serviceState) appendRandom(next, servers, asked []netip.AddrPort, now time.Time) []netip.AddrPort {
	if len(servers) == 0 {
		return next
	}
	start := rand.IntN(len(servers))
	for i := range servers {
		server := servers[(start+i)%len(servers)]
		if len(next) == roundSize {
			break
		}
		if _, avoided := s.penalty(server, now); !avoided && !slices.Contains(asked, server) {
			next = append(next, server)
		}
	}
	return next
}

// isGood reports whether a server is fast, warm and has a free slot.
func isGood(v *pool.View) bool {
	return v.Refusing == code.None && !v.Warming && v.Load < v.Limit && v.Pace <= maxGoodPace
}
