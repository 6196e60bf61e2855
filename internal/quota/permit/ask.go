package permit

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

// maxTries is how often a daemon is asked in one round: once more when another one tells that it runs, so that its replies were lost.
const maxTries = 2

// ask requests permits from the first daemon of the ranking that replies, in the last place from this daemon itself.
func (a *Agent) ask(s *shelf, limit owner.Cap, wanted int) {
	now := time.Now()
	v := a.view(now)
	ranked, cutOff := v.ranked(s.organisation), a.isCutOff(now, v)
	tries := make(map[netip.AddrPort]int)
	for _, candidate := range append(slices.Clone(ranked), a.Self) {
		if tries[candidate] > 0 {
			continue
		}
		if candidate == a.Self {
			redirect := a.askSelf(s, limit, wanted)
			if !redirect.IsValid() {
				return
			}
			candidate = redirect
		} else if a.avoided(candidate) || cutOff && a.reach.State(now, candidate, freshness) != reach.Up {
			continue
		}
		for candidate.IsValid() && candidate != a.Self && tries[candidate] < maxTries {
			tries[candidate]++
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

// maxCutOff is the share of the others up to which a daemon is taken to reach none. The estimate of a share falls with a delay.
const maxCutOff = 0.1

// isCutOff reports whether this daemon reaches no other one. Asking each daemon of a ranking would then only delay the requests.
func (a *Agent) isCutOff(now time.Time, v *view) bool {
	share, known := a.reach.Share(now, len(v.known))
	return known && len(v.known) > 1 && share < 1/float64(len(v.known))+maxCutOff
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
	granted := a.grant(context.Background(), a.newRequest(s, a.Self, limit, wanted))
	if granted.Owner.IsValid() {
		a.counters.redirects.Add(1)
		return granted.Owner
	}
	a.counters.local.Add(1)
	s.put(stock.Permit{Owner: a.Self, Requested: requested}, granted.Granted, granted.Next)
	return netip.AddrPort{}
}

// reply is the result of a request for permits.
type reply struct {
	requested time.Time
	message   *proto.PermitReply
	err       error
}

// askDaemon requests permits from another daemon. It reports whether that one replied, and which one grants them instead. A request without
// a reply is repeated on another connection, because a lost packet delays a reply by at least 200 ms.
func (a *Agent) askDaemon(s *shelf, to netip.AddrPort, limit owner.Cap, wanted int) (redirect netip.AddrPort, ok bool) {
	replies := make(chan reply, 1+maxRepeats)
	a.send(s, to, limit, wanted, replies)
	timer := time.NewTimer(repeatAfter)
	defer timer.Stop()
	outstanding, repeats := 1, 0
	for {
		select {
		case r := <-replies:
			outstanding--
			redirect, ok = a.take(s, to, r)
			if !ok && outstanding > 0 {
				continue
			}
		case <-timer.C:
			if repeats < maxRepeats {
				repeats++
				outstanding++
				a.send(s, to, limit, wanted, replies)
				timer.Reset(min(repeatAfter, replyTimeout-time.Duration(repeats)*repeatAfter))
				continue
			}
			a.counters.failed.Add(1)
			a.recordDown(to)
		}
		if outstanding > 0 {
			go a.takeLate(s, to, replies, outstanding)
		}
		return redirect, ok
	}
}

// send sends a request for permits. Its reply arrives on replies.
func (a *Agent) send(s *shelf, to netip.AddrPort, limit owner.Cap, wanted int, replies chan<- reply) {
	a.counters.asks.Add(1)
	requested, request := time.Now(), a.newRequest(s, to, limit, wanted)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lateTimeout)
		defer cancel()
		message, err := a.Client.Permit(ctx, to, request)
		replies <- reply{requested: requested, message: message, err: err}
	}()
}

// takeLate processes the replies that arrive after another one, or after the next daemon was asked.
func (a *Agent) takeLate(s *shelf, from netip.AddrPort, replies <-chan reply, count int) {
	for range count {
		if r := <-replies; r.err == nil {
			a.take(s, from, r)
		}
	}
}

func (a *Agent) recordDown(daemon netip.AddrPort) {
	now := time.Now()
	a.reach.Record(now, daemon, reach.Down)
	a.pings.watch(now, daemon)
}

// take processes the result of a request to another daemon.
func (a *Agent) take(s *shelf, from netip.AddrPort, r reply) (redirect netip.AddrPort, ok bool) {
	a.reach.Record(time.Now(), from, stateOf(r.err))
	if r.err != nil {
		a.counters.failed.Add(1)
		a.pings.watch(time.Now(), from)
		return netip.AddrPort{}, false
	}
	if r.message.Owner.IsValid() {
		a.counters.redirects.Add(1)
		return r.message.Owner, true
	}
	s.put(stock.Permit{Owner: from, Requested: r.requested}, r.message.Granted, r.message.Next)
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
