package watch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// tellingSource is a platform that tells of changes. All daemons reach it.
type tellingSource struct {
	mu       sync.Mutex
	revision uint64
	changed  chan struct{} // closed by the next change

	open  atomic.Int64 // waits for a change
	reads atomic.Int64
}

func (s *tellingSource) now() (uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.changed
}

func (s *tellingSource) change() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// reading is what one daemon has read of the source.
type reading struct {
	source *tellingSource
	told   uint64
}

const longestWait = 20 * time.Second

// Next implements Source.
func (r *reading) Next(ctx context.Context) (files.Set, uint64, error) {
	r.source.reads.Add(1)
	revision, changed := r.source.now()
	if revision == r.told {
		r.source.open.Add(1)
		defer r.source.open.Add(-1)
		timer := time.NewTimer(longestWait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return files.Set{}, 0, ctx.Err()
		case <-changed:
		case <-timer.C:
		}
		revision, _ = r.source.now()
	}
	r.told = revision
	return files.Set{Revision: revision, Files: []files.File{{Name: "a.ini"}}}, revision, nil
}

const (
	followZones = 3
	followSize  = 72
)

// follow starts a fleet whose daemons have a source, and waits until only followers read it.
func follow(t *testing.T, scenario func(g *WithT, f *fleet)) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(followZones)
		f.seeds = nil
		f.source = &tellingSource{revision: 1, changed: make(chan struct{})}
		f.startAll(t, followSize, true)
		until(10*time.Second, f.inForce(1))
		time.Sleep(longestWait + 10*time.Second)
		scenario(g, f)
		g.Expect(f.lowered).To(Equal(0))
	})
}

// Guards against a store that each daemon reads for itself, and against a change that comes late to a daemon that does not, also when
// messages are lost.
func TestFollowersBringChangesToAll(t *testing.T) {
	follow(t, func(g *WithT, f *fleet) {
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

// Guards against a change that no daemon of a zone hears of because its followers have just been killed.
func TestKilledFollowersAreReplaced(t *testing.T) {
	follow(t, func(g *WithT, f *fleet) {
		for i := range followSize {
			if d := f.get(i); d.table.Self().Zone == "zone-1" && d.watch.role().follower {
				f.kill(i)
			}
		}
		revision := f.source.change()
		g.Expect(until(applyBound, f.inForce(revision))).To(BeNumerically("<", applyBound))
		time.Sleep(goneBound + longestWait)
		followers := f.count(func(d *daemon) bool { return d.table.Self().Zone == "zone-1" && d.watch.following() == asFollower })
		g.Expect(followers).To(Equal(followersPerZone))
	})
}

// Guards against old configuration on a daemon or in a zone that is cut off from the others while it still reaches the store.
func TestPartitionedDaemonsFollowSource(t *testing.T) {
	for name, cut := range map[string]func(i int) bool{
		"daemon": func(i int) bool { return i == 7 || i == 8 },
		"zone":   func(i int) bool { return i%followZones == 1 },
	} {
		t.Run(name, func(t *testing.T) {
			follow(t, func(g *WithT, f *fleet) {
				f.split(cut)
				for range 10 {
					revision := f.source.change()
					g.Expect(until(applyBound, f.inForce(revision))).To(BeNumerically("<", applyBound))
					time.Sleep(time.Second)
				}
				f.split(nil)
				time.Sleep(goneBound + longestWait)
				g.Expect(f.count(func(d *daemon) bool { return d.watch.following() == withoutPeers })).To(Equal(0))
				g.Expect(f.get(7).table.Self().State).To(Equal(member.Serving))
			})
		})
	}
}
