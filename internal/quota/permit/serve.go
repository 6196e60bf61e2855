package permit

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
	"marigoldwinch.example/marigoldwinch/internal/quota/reach"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Permit implements proto.PermitHandler.
func (a *Agent) Permit(ctx context.Context, peer *proto.Peer, req *proto.PermitRequest) (*proto.PermitReply, error) {
	if peer != nil {
		a.reach.Heard(time.Now(), peer.Hello.Address)
	}
	if req.Organisation == "" {
		a.counters.pinged.Add(1)
		return &proto.PermitReply{}, nil
	}
	if req.Rate <= 0 || req.Wanted < 0 || req.Returned < 0 {
		return nil, code.NotRunf(code.BadRequest, "permit request with rate %g for %d permits, %d returned", req.Rate, req.Wanted, req.Returned)
	}
	a.counters.served.Add(1)
	return a.grant(ctx, req), nil
}

// grant decides on a request for permits, of this daemon or another one.
func (a *Agent) grant(ctx context.Context, req *proto.PermitRequest) *proto.PermitReply {
	v := a.view(time.Now())
	ranked := v.ranked(req.Organisation)
	position := slices.Index(ranked, a.Self)
	preferred := ranked
	if position >= 0 {
		preferred = ranked[:position]
	}
	var sampling sync.WaitGroup
	if len(preferred) > 0 && !a.Owner.Granting(time.Now(), req.Organisation) {
		sampling.Go(func() { a.sampleNow(ctx, v) })
	}
	running, alone := a.checkPreferred(ctx, preferred)
	if running.IsValid() {
		a.Owner.Yield(req.Organisation)
		return &proto.PermitReply{Owner: running}
	}
	sampling.Wait()
	now := time.Now()
	ask := owner.Ask{
		Organisation: req.Organisation, Wanted: req.Wanted, Returned: req.Returned,
		Cap: a.newestCap(req),
	}
	standing := a.standing(now, v, position, alone)
	a.pings.granted(now)
	decided := a.Owner.Grant(now, ask, standing)
	if decided.Started {
		a.counters.substituted.Add(1)
		a.log("cap-owner-started", req.Organisation, "rank", position, "share", standing.Share, "alone", alone)
	}
	return &proto.PermitReply{Granted: decided.Granted, Next: decided.Next}
}

// newestCap returns the cap of the higher revision: the one in force here or that of the router.
func (a *Agent) newestCap(req *proto.PermitRequest) owner.Cap {
	newest := owner.Cap{Revision: req.Revision, Rate: req.Rate, Burst: req.Burst}
	if current, ok := a.currentCaps().byName[req.Organisation]; ok && current.Revision > req.Revision && current.Rate > 0 {
		return current
	}
	return newest
}

func (a *Agent) standing(now time.Time, v *view, position int, alone bool) owner.Standing {
	standing := owner.Standing{First: position == 0, Since: a.views.stableSince(), Alone: alone}
	share, sampled := a.reach.Share(now, len(v.known))
	switch {
	case position < 0, !sampled && position > 0:
		// Nothing is known of the others: any number of daemons may be in the same situation.
		standing.Share = 1 / float64(len(v.known))
	case !sampled:
		standing.Share = 1
	default:
		standing.Share = share
	}
	return standing
}

// checkPreferred returns a daemon that is ranked higher and replies, or none. alone reports that all of them are known not to run. It
// pings those of which nothing is known.
func (a *Agent) checkPreferred(ctx context.Context, preferred []netip.AddrPort) (running netip.AddrPort, alone bool) {
	now := time.Now()
	var unknown []netip.AddrPort
	for _, daemon := range preferred {
		a.pings.watch(now, daemon)
		if a.reach.State(now, daemon, freshness) == reach.Unknown {
			unknown = append(unknown, daemon)
		}
	}
	if len(unknown) > 0 {
		a.pingAll(ctx, unknown, preferredTimeout)
		now = time.Now()
	}
	alone = len(preferred) > 0
	for _, daemon := range preferred {
		switch a.reach.State(now, daemon, freshness) {
		case reach.Up:
			return daemon, false
		case reach.Refused:
		default:
			alone = false
		}
	}
	return netip.AddrPort{}, alone
}

// sampleNow estimates the share of the fleet that is reached from pings of this moment. A daemon that begins to grant in place of another
// one, because it is cut off itself, must not grant for the whole fleet.
func (a *Agent) sampleNow(ctx context.Context, v *view) {
	ctx, cancel := context.WithTimeout(ctx, preferredTimeout)
	defer cancel()
	daemons := v.sample(firstSampled)
	states := make([]reach.State, len(daemons))
	var running sync.WaitGroup
	for i, daemon := range daemons {
		running.Go(func() {
			_, err := a.Client.Permit(ctx, daemon, &proto.PermitRequest{})
			states[i] = stateOf(err)
		})
	}
	running.Wait()
	up, total := 0, 0
	for _, state := range states {
		switch state {
		case reach.Up:
			up++
			total++
		case reach.Down:
			total++
		}
	}
	a.reach.Restart(time.Now(), up, total)
}

// pingAll pings the daemons and waits for the results, at most for the given time.
func (a *Agent) pingAll(ctx context.Context, daemons []netip.AddrPort, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var running sync.WaitGroup
	for _, daemon := range daemons {
		running.Go(func() { a.ping(ctx, daemon) })
	}
	running.Wait()
}
