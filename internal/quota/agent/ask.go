package agent

import (
	"context"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
	"marigoldwinch.example/marigoldwinch/internal/quota/reach"
	"marigoldwinch.example/marigoldwinch/internal/quota/stock"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// ask requests permits from the first daemon of the ranking that replies, in the last place from this daemon itself.
func (a *Agent) ask(s *shelf, limit owner.Cap, wanted int) {
	ranked := a.view(time.Now()).ranked(s.organisation)
	var tried []netip.AddrPort
	for _, candidate := range append(slices.Clone(ranked), a.Self) {
		if slices.Contains(tried, candidate) {
			continue
		}
		if candidate == a.Self {
			redirect := a.askSelf(s, limit, wanted)
			if !redirect.IsValid() {
				return
			}
			candidate = redirect
		} else if a.avoided(candidate) {
			continue
		}
		for candidate.IsValid() && candidate != a.Self && !slices.Contains(tried, candidate) {
			tried = append(tried, candidate)
			next, ok := a.askDaemon(s, candidate, limit, wanted)
			if ok && !next.IsValid() {
				return
			}
			candidate = next
		}
	}
	// The daemons that grant are known to others but not reached from here.
	s.put(stock.Permit{}, 0, 0)
	s.pause()
}

// pause delays the next round after one without any reply, so that it is not repeated at once.
func (s *shelf) pause() {
	time.Sleep(replyTimeout)
}

// avoided reports whether a daemon did not reply recently. It is then pinged, so that it is asked again as soon as it replies.
func (a *Agent) avoided(daemon netip.AddrPort) bool {
	now := time.Now()
	state := a.reach.State(now, daemon, avoidance)
	if state == reach.Unknown && a.view(now).isGone(daemon) {
		state = reach.Down
	}
	if state != reach.Down && state != reach.Refused {
		return false
	}
	a.pings.watch(now, daemon)
	return true
}

func (a *Agent) newRequest(s *shelf, to netip.AddrPort, limit owner.Cap, wanted int) *proto.PermitRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &proto.PermitRequest{
		Organisation: s.organisation, Wanted: wanted, Returned: s.stock.Unused(time.Now(), to),
		Revision: limit.Revision, Rate: limit.Rate, Burst: limit.Burst,
	}
}

// askSelf lets this daemon grant the permits. It returns the daemon that grants them instead, if there is one.
func (a *Agent) askSelf(s *shelf, limit owner.Cap, wanted int) (redirect netip.AddrPort) {
	requested := time.Now()
	reply := a.grant(context.Background(), a.newRequest(s, a.Self, limit, wanted))
	if reply.Owner.IsValid() {
		a.counters.redirects.Add(1)
		return reply.Owner
	}
	a.counters.local.Add(1)
	s.put(stock.Permit{Owner: a.Self, Requested: requested}, reply.Granted, reply.Next)
	return netip.AddrPort{}
}

type outcome struct {
	reply *proto.PermitReply
	err   error
}

// askDaemon requests permits from another daemon. It reports whether that one replied, and which one grants them instead.
func (a *Agent) askDaemon(s *shelf, to netip.AddrPort, limit owner.Cap, wanted int) (redirect netip.AddrPort, ok bool) {
	a.counters.asks.Add(1)
	requested, request := time.Now(), a.newRequest(s, to, limit, wanted)
	done := make(chan outcome, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lateTimeout)
		defer cancel()
		reply, err := a.Client.Permit(ctx, to, request)
		done <- outcome{reply, err}
	}()
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case result := <-done:
		return a.take(s, to, requested, result)
	case <-timer.C:
		a.reach.Record(time.Now(), to, reach.Down)
		a.pings.watch(time.Now(), to)
		a.counters.failed.Add(1)
		go func() { a.take(s, to, requested, <-done) }()
		return netip.AddrPort{}, false
	}
}

// take processes the result of a request to another daemon.
func (a *Agent) take(s *shelf, from netip.AddrPort, requested time.Time, result outcome) (redirect netip.AddrPort, ok bool) {
	a.reach.Record(time.Now(), from, stateOf(result.err))
	if result.err != nil {
		a.counters.failed.Add(1)
		a.pings.watch(time.Now(), from)
		return netip.AddrPort{}, false
	}
	if result.reply.Owner.IsValid() {
		a.counters.redirects.Add(1)
		return result.reply.Owner, true
	}
	s.put(stock.Permit{Owner: from, Requested: requested}, result.reply.Granted, result.reply.Next)
	return netip.AddrPort{}, true
}

// stateOf tells the state of a daemon from the result of a message to it.
func stateOf(err error) reach.State {
	switch {
	case err == nil:
		return reach.Up
	case errors.Is(err, syscall.ECONNREFUSED):
		return reach.Refused
	default:
		return reach.Down
	}
}
