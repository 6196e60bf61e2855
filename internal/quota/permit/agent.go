// Package permit takes permits for the requests of organisations with a cap, and grants them to other daemons. The decisions are those of
// quota/stock, quota/owner and quota/reach; this package exchanges the messages.
package permit

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
	"marigoldwinch.example/marigoldwinch/internal/quota/reach"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	// maxWait is how long a request waits for a permit.
	maxWait = 50 * time.Millisecond
	// replyTimeout is the time without a reply after which the next daemon is asked. A request must be able to wait for both.
	replyTimeout = 28 * time.Millisecond
	// repeatAfter is the time without a reply after which a request is repeated. Round trips between zones take up to 7 ms.
	repeatAfter = 10 * time.Millisecond
	maxRepeats  = 2
	// lateTimeout is how long a reply is waited for that comes after replyTimeout, to use its permits or to return them.
	lateTimeout = 300 * time.Millisecond
	// preferredTimeout is how long a substitute waits for the reply of a preferred daemon, within the router's replyTimeout.
	preferredTimeout = 12 * time.Millisecond
	// pingTimeout is the time without a reply after which a ping has failed. Small instances stall for some 80 ms under load, and for several
	// times as long while a new revision of a large configuration comes into force on all of them.
	pingTimeout = 500 * time.Millisecond
	// pingRepeat is the time without a reply after which a ping is repeated on another connection.
	pingRepeat = 50 * time.Millisecond
	// freshness is the maximum age of a result that decides whether a preferred daemon grants.
	freshness = 600 * time.Millisecond
	// avoidance is how long a daemon that did not reply is not asked, unless it replies to a ping.
	avoidance = 2 * time.Second
	// retention is how long the stock of an organisation without requests is kept.
	retention = 30 * time.Second
)

// Members is the part of the membership that the agent uses. It is implemented by member.Table.
type Members interface {
	Each(visit func(member.Record))
	Generation() uint64
}

// Agent takes and grants permits. It implements call.Caps and proto.PermitHandler. Its exported fields must be set before use.
type Agent struct {
	Self    netip.AddrPort
	Members Members
	Config  *config.Holder
	Client  proto.PermitClient
	Streams proto.PermitClient // repeats pings over connections, which are refused when a daemon does not run; Client if nil
	Owner   *owner.Owner
	Window  time.Duration // within which the slack may be used
	Slack   int           // requests by which a cap may be exceeded within a window
	Log     logr.Logger

	reach reach.Reach
	views views
	pings pings
	lines lines
	caps  atomic.Pointer[caps] // of the configuration in force

	mu       sync.Mutex
	shelves  map[string]*shelf // by organisation
	counters counters
}

type counters struct {
	taken, refused, isolated, returned atomic.Uint64 // requests; permits of requests that did not run
	asks, failed, redirects, local     atomic.Uint64
	served, substituted, pinged        atomic.Uint64
}

// Take implements call.Caps.
func (a *Agent) Take(ctx context.Context, organisation *config.Organisation) (release func(mayHaveRun bool), err error) {
	limit, capped := a.currentCap(organisation)
	if !capped {
		return func(bool) {}, nil
	}
	s := a.shelf(organisation.Name)
	p, err := s.take(ctx, limit)
	if err != nil {
		a.countRefusal(code.Of(err))
		return nil, err
	}
	a.counters.taken.Add(1)
	return func(mayHaveRun bool) {
		if !mayHaveRun {
			a.counters.returned.Add(1)
			s.restore(p)
		}
	}, nil
}

func (a *Agent) countRefusal(failure *code.Error) {
	if failure.Code == code.OverCap {
		a.counters.refused.Add(1)
		return
	}
	a.counters.isolated.Add(1)
}

// currentCap returns the cap of the organisation in the configuration in force, which may be newer than that of the request.
func (a *Agent) currentCap(organisation *config.Organisation) (limit owner.Cap, capped bool) {
	current := a.currentCaps()
	if found, ok := current.byName[organisation.Name]; ok {
		return found, found.Rate > 0
	}
	return owner.Cap{Rate: organisation.Rate, Burst: organisation.Burst}, organisation.Capped()
}

// caps are those of a configuration, which has its organisations by the names of their sections.
type caps struct {
	conf   *config.Config       // nil before there is one
	byName map[string]owner.Cap // by the name of the organisation; rate 0 for one without a cap
	capped bool                 // any organisation has a cap
}

func (a *Agent) currentCaps() *caps {
	conf := a.Config.Get()
	if found := a.caps.Load(); found != nil && found.conf == conf {
		return found
	}
	next := &caps{conf: conf, byName: make(map[string]owner.Cap)}
	if conf != nil {
		for _, o := range conf.Organisations {
			next.byName[o.Name] = owner.Cap{Revision: conf.Revision, Rate: o.Rate, Burst: o.Burst}
			next.capped = next.capped || o.Capped()
		}
	}
	a.caps.Store(next)
	return next
}

func (a *Agent) shelf(organisation string) *shelf {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := a.shelves[organisation]
	if found == nil {
		if a.shelves == nil {
			a.shelves = make(map[string]*shelf)
		}
		found = &shelf{agent: a, organisation: organisation}
		a.shelves[organisation] = found
	}
	found.used = time.Now()
	return found
}

// evict removes the stocks of organisations without recent requests.
func (a *Agent) evict(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, s := range a.shelves {
		if now.Sub(s.used) > retention {
			delete(a.shelves, name)
		}
	}
}
