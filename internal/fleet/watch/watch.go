// Package watch connects a daemon to the platform: it announces the daemon in the table, reads the members at the start
// and polls the configuration head within the budget of the whole fleet.
package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// Defaults of a Watch's periods.
const (
	// DefaultStartSpread spreads the first announcements of a zone's worth of simultaneous starts: 1,100 writes in 3 s.
	DefaultStartSpread = 3 * time.Second
	// DefaultPeersFirst is how long peers may take to hand over the members before the table is read for them.
	DefaultPeersFirst = 3 * time.Second
	// DefaultRefresh is the interval between announcements: 26 writes/s from 7,700 daemons.
	DefaultRefresh = 5 * time.Minute
)

const (
	platformTimeout = 2 * time.Second
	firstBackoff    = time.Second
	maxBackoff      = 30 * time.Second // 1,100 daemons that retry make 37 reads/s
	jitterShare     = 0.2
)

// Reader reads the accepted configuration from the platform.
type Reader interface {
	// ReadHead returns the revision of the configuration head.
	ReadHead(ctx context.Context) (revision uint64, err error)
	// Changes returns the changes above since in order, or NotFound when they are no longer kept.
	Changes(ctx context.Context, since uint64) ([]files.Change, error)
	// Snapshot returns the whole folder.
	Snapshot(ctx context.Context) (files.Set, error)
}

// Watch is the platform side of one daemon's membership.
type Watch struct {
	Node   *gossip.Node
	Table  *member.Table
	Holder *config.Holder
	Store  table.Store
	Reader Reader
	Source Source // followed instead of polling the head; may be nil
	Log    logr.Logger

	// OnDepartureRestored is told, once at most, of the departure that an earlier daemon at this address has acknowledged. It may be nil.
	OnDepartureRestored func(d Departure)

	StartSpread time.Duration // DefaultStartSpread when 0
	PeersFirst  time.Duration // DefaultPeersFirst when 0
	Refresh     time.Duration // DefaultRefresh when 0

	announced     chan struct{} // closed after the first attempt to announce
	announcedOnce sync.Once
	ready         chan struct{} // closed when the members have been learned
	readyOnce     sync.Once
	roles         roles
	departures    departures
	firstRead     chan struct{} // closed after the first attempt to read a page of the members, or when a peer has handed them over
	firstReadOnce sync.Once
	platform      platform
	lowerLogged   atomic.Uint64 // lower head revision that was logged last
	counters      counters
}

type counters struct {
	announcements, pages, heads, fetches, swept atomic.Uint64
}

// Run watches the platform until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	w.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.announceLoop(ctx) })
	group.Go(func() error { return w.startLoop(ctx) })
	if w.Source != nil {
		group.Go(func() error { return w.sourceLoop(ctx) })
	} else {
		group.Go(func() error { return w.headLoop(ctx) })
	}
	group.Go(func() error { return w.sweepLoop(ctx) })
	return group.Wait()
}

func (w *Watch) init() {
	w.announced = make(chan struct{})
	w.ready = make(chan struct{})
	w.firstRead = make(chan struct{})
	if w.StartSpread == 0 {
		w.StartSpread = DefaultStartSpread
	}
	if w.PeersFirst == 0 {
		w.PeersFirst = DefaultPeersFirst
	}
	if w.Refresh == 0 {
		w.Refresh = DefaultRefresh
	}
}

// platform is whether the platform answered last, so that only changes are logged.
type platform struct {
	mu    sync.Mutex
	down  bool
	since time.Time // of the current state
	cause string    // last failure
}

// note records the outcome of a request to the platform.
func (w *Watch) note(err error) {
	w.platform.mu.Lock()
	defer w.platform.mu.Unlock()
	if err == nil {
		w.Node.RecordPlatformContact()
	} else {
		w.platform.cause = err.Error()
	}
	if w.platform.down == (err != nil) && !w.platform.since.IsZero() {
		return
	}
	w.platform.down = err != nil
	w.platform.since = time.Now()
	if err != nil {
		w.Log.Error(err, "platform-unavailable")
		return
	}
	w.Log.Info("platform-available")
}

// backoff doubles from firstBackoff to maxBackoff.
type backoff struct {
	next time.Duration
}

func (b *backoff) sleep(ctx context.Context) bool {
	b.next = max(b.next, firstBackoff)
	wait := gossip.Jitter(b.next, 0.5)
	b.next = min(2*b.next, maxBackoff)
	return sleep(ctx, wait)
}

func uniform(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d) + 1))
}

// sleep reports whether the time passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
