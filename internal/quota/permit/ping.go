package permit

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
	"marigoldwinch.example/marigoldwinch/internal/quota/reach"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	tickInterval = 100 * time.Millisecond // a fifth of owner.MaxGap
	idleInterval = time.Second            // while no organisation has a cap
	pingInterval = 250 * time.Millisecond
	// sampled is the number of random members that are pinged in each interval.
	sampled = 5
	// firstSampled is their number while the share that is reached is not known.
	firstSampled = 12
	// activeTime is how long pings go on after the latest grant, or after a daemon was watched last.
	activeTime = 5 * time.Second
	// maxWatched limits the daemons that are pinged in an interval besides the random ones.
	maxWatched = 16
)

// pings are the daemons to ping. Its zero value has none.
type pings struct {
	mu        sync.Mutex
	grantedAt time.Time
	sentAt    time.Time
	watched   map[netip.AddrPort]time.Time // when each was watched last
}

// granted records that this daemon grants permits, so that it must know which part of the fleet it reaches.
func (p *pings) granted(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantedAt = now
}

// watch lets a daemon be pinged for some time.
func (p *pings) watch(now time.Time, daemon netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watched == nil {
		p.watched = make(map[netip.AddrPort]time.Time)
	}
	p.watched[daemon] = now
}

// due returns the watched daemons to ping now, and whether random members are pinged too.
func (p *pings) due(now time.Time) (watched []netip.AddrPort, sample bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.sentAt) < pingInterval {
		return nil, false
	}
	for daemon, at := range p.watched {
		if now.Sub(at) > activeTime {
			delete(p.watched, daemon)
		} else if len(watched) < maxWatched {
			watched = append(watched, daemon)
		}
	}
	sample = now.Sub(p.grantedAt) < activeTime || len(watched) > 0
	if sample {
		p.sentAt = now
	}
	return watched, sample
}

// Run ticks until ctx ends. Pings in progress end by themselves, within pingTimeout.
func (a *Agent) Run(ctx context.Context) error {
	a.Config.Subscribe(a.applyCaps)
	for {
		interval := idleInterval
		if a.currentCaps().capped {
			interval = tickInterval
			a.Tick(time.Now())
		}
		if !clock.Sleep(ctx, interval) {
			return nil
		}
	}
}

// applyCaps puts the caps of a new revision in force for the organisations for which this daemon grants permits.
func (a *Agent) applyCaps(conf *config.Config) {
	for _, o := range conf.Organisations {
		if o.Capped() {
			a.Owner.SetCap(o.Name, owner.Cap{Revision: conf.Revision, Rate: o.Rate, Burst: o.Burst})
		}
	}
}

// Tick detects pauses of the process, evicts unused state and sends pings. Run calls it.
func (a *Agent) Tick(now time.Time) {
	if a.Owner.Tick(now) {
		a.reach.Reset()
		a.views.reset(now)
		a.Log.Info("caps-paused", "longer-than", owner.MaxGap)
	}
	a.evict(now)
	v := a.view(now) // also while nothing is granted, so that it is known since when this daemon is an owner
	watched, sample := a.pings.due(now)
	for _, daemon := range watched {
		a.startPing(daemon, false)
	}
	if !sample {
		return
	}
	count := sampled
	share, known := a.reach.Share(now, len(v.known))
	if !known {
		count = firstSampled
	} else {
		a.logShare(share, len(v.known))
		if owner.Part(share) < 1 {
			a.views.reset(now) // others may grant in place of this daemon
		}
	}
	for _, daemon := range v.sample(count) {
		a.startPing(daemon, true)
	}
}

// sample returns n random known members without this daemon. In a fleet with fewer members they repeat, so that a partition is noticed as
// fast as in a larger one.
func (v *view) sample(n int) []netip.AddrPort {
	if len(v.known) <= 1 {
		return nil
	}
	picked := make([]netip.AddrPort, 0, n)
	for len(picked) < n {
		for _, at := range rand.Perm(len(v.known)) {
			if address := v.known[at]; address != v.self && len(picked) < n {
				picked = append(picked, address)
			}
		}
	}
	return picked
}

func (a *Agent) startPing(daemon netip.AddrPort, sample bool) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		defer cancel()
		state := a.ping(ctx, daemon)
		if sample {
			a.reach.Sample(time.Now(), state)
		}
	}()
}

// ping checks whether a daemon replies until ctx ends.
func (a *Agent) ping(ctx context.Context, daemon netip.AddrPort) reach.State {
	results := make(chan error, 2)
	send := func(client proto.PermitClient) {
		_, err := client.Permit(ctx, daemon, &proto.PermitRequest{})
		results <- err
	}
	go send(a.Client)
	timer := time.NewTimer(pingRepeat)
	defer timer.Stop()
	var state reach.State
	select {
	case err := <-results:
		state = stateOf(err)
	case <-timer.C:
		repeat := a.Streams
		if repeat == nil {
			repeat = a.Client
		}
		go send(repeat)
		state = stateOf(<-results)
	}
	a.reach.Record(time.Now(), daemon, state)
	return state
}
