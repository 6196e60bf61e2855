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

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// Defaults of the durations of a Watch.
const (
	// DefaultStartSpread is the time over which the first announcements are spread when all daemons of a zone start at once: 1,100
	// writes in 3 s.
	DefaultStartSpread = 3 * time.Second
	// DefaultPeersFirst is how long peers may take to send the members before the table is read for them.
	DefaultPeersFirst = 3 * time.Second
	// DefaultRefresh is the interval between announcements: 26 writes/s from 7,700 daemons.
	DefaultRefresh = 5 * time.Minute
)

const (
	platformTimeout = 2 * time.Second
	firstBackoff    = time.Second
	maxBackoff      = 30 * time.Second // 1,100 retrying daemons make 37 reads/s
	jitterShare     = 0.2
)

// Reader reads the accepted configuration from the platform. It gives up a store that does not answer; a large answer may take a slow
// link for long.
type Reader interface {
	// ReadHead returns the revision of the configuration head.
	ReadHead(ctx context.Context) (revision uint64, err error)
	// Changes returns the changes after revision since in order, or the error NotFound when they are no longer stored.
	Changes(ctx context.Context, since uint64) ([]files.Change, error)
	// Snapshot returns the whole configuration folder.
	Snapshot(ctx context.Context) (files.Set, error)
}

// Watch keeps one daemon's membership and configuration in step with the platform.
type Watch struct {
	Node   *gossip.Node
	Table  *member.Table
	Holder *config.Holder
	Store  table.Store
	Reader Reader
	Source Source         // followed instead of polling the head; may be nil
	Era    *epoch.Tracker // of Store; nil when it tells none
	Log    logr.Logger

	// OnDepartureRestored is called with the departure that an earlier daemon at this address acknowledged, again if peers or the row
	// then tell one of a later lifetime. It may be nil; the first announcement then does not wait for the row of the earlier daemon.
	OnDepartureRestored func(d Departure)
	// OnServerRestored is called with the id of the server that an earlier daemon at this address knew to run the service; may be nil.
	OnServerRestored func(id string)
	// OnHistoryKnown is called once, when every departure that earlier processes acknowledged has been told to OnDepartureRestored, or there
	// is none; may be nil.
	OnHistoryKnown func()

	StartSpread time.Duration    // DefaultStartSpread when 0
	PeersFirst  time.Duration    // DefaultPeersFirst when 0
	Refresh     time.Duration    // DefaultRefresh when 0
	Now         func() time.Time // wall clock of the instance; time.Now when nil
	FirstStart  bool             // the fleet starts for the first time: the followers alone look for a configuration

	initOnce        sync.Once
	announced       chan struct{} // closed after the first attempt to announce
	announcedOnce   sync.Once
	ready           chan struct{} // closed when the members are known
	readyOnce       sync.Once
	roles           roles
	departures      departures
	server          rowServer
	history         history
	eras            eras
	handovers       handovers
	firstRead       chan struct{} // closed after the first attempt to read a page of members or when a peer has sent them
	firstReadOnce   sync.Once
	platform        platformState
	loggedLowerHead atomic.Uint64 // 1 + last logged head revision below the held one; 0 for none
	expiredRows     expiredRows   // of the last complete sweep; used by sweepLoop alone
	emptyReadAt     time.Time     // when the source last had no configuration; used by sourceLoop alone
	counters        counters
}

type counters struct {
	announcements, pages, headReads, fetches, swept, sourceReads, sourceLost atomic.Uint64
}

// Run announces this daemon, discovers the members and follows the configuration until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	w.init()
	w.Holder.Subscribe(func(*config.Config) { w.checkEra() })
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.announceLoop(ctx) })
	group.Go(func() error { return w.departureLoop(ctx) })
	group.Go(func() error { return w.discoverLoop(ctx) })
	if w.Source != nil {
		group.Go(func() error { return w.sourceLoop(ctx) })
	} else {
		group.Go(func() error { return w.headLoop(ctx) })
	}
	group.Go(func() error { return w.sweepLoop(ctx) })
	return group.Wait()
}

func (w *Watch) init() {
	w.initOnce.Do(w.setUp)
}

func (w *Watch) setUp() {
	w.announced = make(chan struct{})
	w.ready = make(chan struct{})
	w.firstRead = make(chan struct{})
	w.departures.unwritten = make(chan struct{}, 1)
	w.eras.risen = make(chan struct{}, 1)
	w.server.changed = make(chan struct{}, 1)
	if w.StartSpread == 0 {
		w.StartSpread = DefaultStartSpread
	}
	if w.PeersFirst == 0 {
		w.PeersFirst = DefaultPeersFirst
	}
	if w.Now == nil {
		w.Now = time.Now
	}
	if w.Refresh == 0 {
		w.Refresh = DefaultRefresh
	}
}

// platformState holds whether the latest request to the platform succeeded, so that only changes are logged.
type platformState struct {
	mu    sync.Mutex
	down  bool
	since time.Time // start of the current state; zero before the first request
	cause string    // last failure
}

// recordOutcome updates the platform state after a request to the platform and logs a change.
func (w *Watch) recordOutcome(err error) {
	w.checkEra()
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

// backoff is a wait that doubles from firstBackoff up to maxBackoff, varied at random by up to half.
type backoff struct {
	next time.Duration
}

func (b *backoff) sleep(ctx context.Context) bool {
	b.next = max(b.next, firstBackoff)
	wait := gossip.Jitter(b.next, 0.5)
	b.next = min(2*b.next, maxBackoff)
	return clock.Sleep(ctx, wait)
}

// uniform returns a random duration between 0 and d.
func uniform(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d) + 1))
}
