package watch

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// notifyingSource is a platform that notifies its readers of changes. All daemons can reach it.
type notifyingSource struct {
	mu       sync.Mutex
	revision uint64
	files    []files.File  // of the folder, besides a.ini
	changed  chan struct{} // closed by the next change
	silent   chan struct{} // closed when an outage begins; reads that are under way or begin in it are never answered

	open  atomic.Int64 // reads that wait for a change
	reads atomic.Int64
}

func (s *notifyingSource) now() (files.Set, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	folder := append([]files.File{{Name: "a.ini"}}, s.files...)
	return files.Set{Revision: s.revision, Files: folder}, s.changed
}

// change adds the files to the folder.
func (s *notifyingSource) change(added ...files.File) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.files = append(s.files, added...)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// sourceReader is the Source of one daemon.
type sourceReader struct {
	source       *notifyingSource
	fleet        *fleet
	self         netip.AddrPort // of the daemon that reads
	started      bool           // the first read returns at once
	lastRevision uint64
}

// setSilent begins or ends a silent outage.
func (s *notifyingSource) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		close(s.silent)
		return
	}
	s.silent = make(chan struct{})
}

// outage returns a channel that is closed when the source is silent.
func (s *notifyingSource) outage() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == nil {
		s.silent = make(chan struct{})
	}
	return s.silent
}

const (
	sourceTimeout = time.Second // of a request without a limit of its own, besides its wait
	rowShare      = 2           // size of the operators' record, JSON in base64, as a multiple of the folder's
)

// Next implements Source.
func (r *sourceReader) Next(ctx context.Context, wait, limit time.Duration) (files.Set, uint64, error) {
	limited, cancel := context.WithTimeout(ctx, wait+cmp.Or(limit, sourceTimeout))
	defer cancel()
	outage := r.source.outage()
	set, asOf, err := r.next(limited, wait, outage)
	select {
	case <-outage:
		<-limited.Done()
		return files.Set{}, 0, code.NotRunf(code.PlatformUnavailable, "no response from the source")
	default:
		return set, asOf, err
	}
}

func (r *sourceReader) next(ctx context.Context, wait time.Duration, outage chan struct{}) (files.Set, uint64, error) {
	r.source.reads.Add(1)
	folder, changed := r.source.now()
	if folder.Revision == r.lastRevision && r.started {
		r.source.open.Add(1)
		defer r.source.open.Add(-1)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return files.Set{}, 0, ctx.Err()
		case <-outage:
			return files.Set{}, 0, nil
		case <-changed:
		case <-timer.C:
		}
		folder, _ = r.source.now()
	}
	select {
	case <-outage:
		return files.Set{}, 0, nil
	default:
	}
	r.lastRevision, r.started = folder.Revision, true
	if folder.Revision == 0 {
		return files.Set{}, 0, nil
	}
	r.fleet.carry(ctx, netip.AddrPort{}, r.self, rowShare*setSize(folder))
	return folder, folder.Revision, nil
}

const (
	followZones = 3
	followSize  = 72
)

// runFollowing runs the scenario with a fleet whose daemons have a source, after waiting until only followers read it.
func runFollowing(t *testing.T, scenario func(g *WithT, f *fleet)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(followZones)
		f.seeds = nil
		f.source = &notifyingSource{revision: 1, changed: make(chan struct{})}
		f.startAll(t, followSize, true)
		until(10*time.Second, f.inForce(1))
		time.Sleep(maxSourceWait + 10*time.Second)
		scenario(g, f)
		g.Expect(f.lowered).To(Equal(0))
	})
}

// Guards against every daemon reading the store itself, and against a change that reaches the other daemons late, also when messages
// are lost.
func TestFollowersBringChangesToAll(t *testing.T) {
	runFollowing(t, func(g *WithT, f *fleet) {
		g.Expect(f.source.open.Load()).To(BeNumerically("<=", followZones*followersPerZone))
		g.Expect(f.source.open.Load()).To(BeNumerically(">=", followZones))
		f.mu.Lock()
		f.loss = 0.02
		f.mu.Unlock()
		before := f.source.reads.Load()
		const changes = 60
		for range changes {
			revision := f.source.change()
			g.Expect(until(applyBound, f.inForce(revision))).To(BeNumerically("<", applyBound))
			time.Sleep(3 * time.Second)
		}
		reads := f.source.reads.Load() - before
		g.Expect(reads).To(BeNumerically("<", changes*(followZones*followersPerZone+2)))
	})
}

// Guards against every daemon waiting at the store when a fleet starts before its operators have written a configuration, and against a
// first configuration that reaches some daemons late, also when all followers are killed before it or the first messages are lost.
func TestFirstConfigurationComesFromFollowers(t *testing.T) {
	const lossTime = 100 * time.Millisecond
	for name, killed := range map[string]bool{"all live": false, "followers killed": true, "first messages lost": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(followZones)
				f.seeds, f.source, f.firstStart = nil, &notifyingSource{changed: make(chan struct{})}, true
				if name == "first messages lost" {
					f.loss = 0.3
				}
				f.startAll(t, followSize, true)
				time.Sleep(lossTime)
				f.mu.Lock()
				f.loss = 0
				f.mu.Unlock()
				time.Sleep(3*time.Second - lossTime)
				g.Expect(f.source.open.Load()).To(BeNumerically("<=", followZones*followersPerZone+3))
				g.Expect(f.source.reads.Load()).To(BeNumerically("<=", 2*(followZones*followersPerZone+3)))
				bound := applyBound
				if killed {
					for i := range followSize {
						if f.get(i).watch.role().follower {
							f.kill(i)
						}
					}
					bound = emptyPatience
				}
				revision := f.source.change()
				g.Expect(until(bound, f.inForce(revision))).To(BeNumerically("<", bound))
				g.Expect(f.lowered).To(Equal(0))
			})
		})
	}
}

// Guards against a daemon that waits for followers at the first start although it has no peers.
func TestFirstStartWithoutPeersReadsSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		f.seeds, f.source, f.firstStart = nil, &notifyingSource{revision: 1, changed: make(chan struct{})}, true
		f.startAll(t, 1, true)
		NewWithT(t).Expect(until(applyBound, f.inForce(1))).To(BeNumerically("<", applyBound))
	})
}

// Guards against a change that does not reach a zone because all its followers have just been killed.
func TestKilledFollowersAreReplaced(t *testing.T) {
	runFollowing(t, func(g *WithT, f *fleet) {
		for i := range followSize {
			if d := f.get(i); d.table.Self().Zone == "zone-1" && d.watch.role().follower {
				f.kill(i)
			}
		}
		revision := f.source.change()
		g.Expect(until(applyBound, f.inForce(revision))).To(BeNumerically("<", applyBound))
		time.Sleep(goneBound + maxSourceWait)
		followers := f.count(func(d *daemon) bool { return d.table.Self().Zone == "zone-1" && d.watch.followReason() == zoneFollower })
		g.Expect(followers).To(Equal(followersPerZone))
	})
}

// Guards against an outdated configuration in a daemon or zone that is cut off from the other daemons but still reaches the store.
func TestPartitionedDaemonsFollowSource(t *testing.T) {
	for name, isolated := range map[string]func(i int) bool{
		"daemon": func(i int) bool { return i == 7 || i == 8 },
		"zone":   func(i int) bool { return i%followZones == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			runFollowing(t, func(g *WithT, f *fleet) {
				f.split(isolated)
				for range 10 {
					revision := f.source.change()
					g.Expect(until(applyBound, f.inForce(revision))).To(BeNumerically("<", applyBound))
					time.Sleep(time.Second)
				}
				f.split(nil)
				time.Sleep(goneBound + maxSourceWait)
				g.Expect(f.count(func(d *daemon) bool { return d.watch.followReason() == noPeerHeard })).To(Equal(0))
				g.Expect(f.get(7).table.Self().State).To(Equal(member.Serving))
			})
		})
	}
}

// Guards against accepted changes that stay out of force after a silent outage of the source, because it took the reads of all followers
// at once and none of them is given up for long. The outage ends every read that is under way.
func TestChangeAfterSilentOutage(t *testing.T) {
	const calm = 3500 * time.Millisecond // from the end of the outage to the change
	datadriven.RunTest(t, "testdata/outages", func(t *testing.T, d *datadriven.TestData) string {
		o := outage{after: duration(d, "after"), length: duration(d, "for"), calm: calm}
		if o.run(t) < applyBound {
			return "in force in time\n"
		}
		return ""
	})
}

// contactBound is the time after the end of an outage from which on a daemon must have the accepted changes of applyBound ago in force.
const contactBound = 3 * time.Second

// Guards against changes that were accepted soon after a short silence of the source and stay out of force, because the reads that began in
// the silence are given up too late.
func TestChangeSoonAfterShortSilence(t *testing.T) {
	datadriven.RunTest(t, "testdata/silences", func(t *testing.T, d *datadriven.TestData) string {
		o := outage{after: duration(d, "after"), length: duration(d, "for"), calm: duration(d, "calm"), killsFirst: d.HasArg("kill-first")}
		if o.run(t) < max(applyBound, contactBound-o.calm) {
			return "in force in time\n"
		}
		return ""
	})
}

// outage is a silent outage between two changes.
type outage struct {
	after      time.Duration // from the first change to the outage
	length     time.Duration
	calm       time.Duration // from the outage to the last change
	killsFirst bool          // the follower of the first turn is killed after the first change
}

// run plays the outage and returns how long the last change takes until it is in force everywhere, at most a minute.
func (o outage) run(t *testing.T) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(followZones)
		f.seeds, f.source = nil, &notifyingSource{revision: 1, changed: make(chan struct{})}
		f.startAll(t, followSize, true)
		until(10*time.Second, f.inForce(1))
		time.Sleep(maxSourceWait + 10*time.Second)
		g.Expect(until(applyBound, f.inForce(f.source.change()))).To(BeNumerically("<", applyBound))
		if o.killsFirst {
			f.killFirstFollower()
		}
		time.Sleep(o.after)
		f.source.setSilent(true)
		time.Sleep(o.length)
		f.source.setSilent(false)
		time.Sleep(o.calm)
		took = until(time.Minute, f.inForce(f.source.change()))
	})
	return took
}

func (f *fleet) killFirstFollower() {
	for i := range followSize {
		if r := f.get(i).watch.role(); r.follower && r.rank == 0 {
			f.kill(i)
			return
		}
	}
}

// duration returns the duration of an argument of a script.
func duration(d *datadriven.TestData, key string) time.Duration {
	var text string
	for _, arg := range d.CmdArgs {
		if arg.Key == key {
			text = arg.Vals[0]
		}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return parsed
}
