package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
)

// applyBound is the time in which a change must be in force on the hosted platform's installations.
const applyBound = 2 * time.Second

// risingSource is a source whose revision rises by one every interval until it reaches last.
type risingSource struct {
	interval     time.Duration
	last         uint64
	start        time.Time
	lastRevision uint64
	reads        int
}

// Next implements Source.
func (s *risingSource) Next(ctx context.Context, _, _ time.Duration) (files.Set, uint64, error) {
	s.reads++
	now := func() uint64 { return min(s.last, 1+uint64(time.Since(s.start)/s.interval)) }
	for now() <= s.lastRevision {
		if !clock.Sleep(ctx, time.Millisecond) {
			return files.Set{}, 0, ctx.Err()
		}
	}
	s.lastRevision = now()
	return files.Set{Revision: s.lastRevision, Files: []files.File{{Name: "a.ini"}}}, s.lastRevision, nil
}

// Guards against one read of the store per daemon and change in a series of changes, and against a last change that is applied too
// late.
func TestSeriesOfChangesCostsFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(1)
		holder, members := &config.Holder{}, &member.Table{}
		s := &risingSource{interval: 100 * time.Millisecond, last: 30, start: time.Now()}
		w := &Watch{
			Node:  &gossip.Node{Self: f.record(0), Table: members, Holder: holder, Merge: merge, Log: logr.Discard()},
			Table: members, Holder: holder, Source: s, Log: logr.Discard(),
		}
		members.SetSelf(f.record(0))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.sourceLoop(ctx) }()
		time.Sleep(time.Duration(s.last-1) * s.interval)
		bound := until(applyBound, func() bool { return holder.Get() != nil && holder.Get().Revision == s.last })
		g.Expect(bound).To(BeNumerically("<", applyBound))
		g.Expect(s.reads).To(BeNumerically("<=", 9), "changes for 3 s, reads at least 0.4 s apart")
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}

// Guards against keeping a folder from before a removal that a peer sent to a daemon after it had read the source.
func TestSourceReplacesStaleRevisionFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(1)
		members := &member.Table{}
		members.SetSelf(f.record(0))
		w := &Watch{
			Node:  &gossip.Node{Self: f.record(0), Table: members, Holder: &config.Holder{}, Merge: merge, Log: logr.Discard()},
			Table: members, Log: logr.Discard(),
		}
		kept := files.Set{Revision: 120, Files: []files.File{{Name: "a.ini"}, {Name: "zone-out.ini"}}}
		read := files.Set{Revision: 100, Files: kept.Files[:1]}
		w.acceptFromSource(read, 110)
		g.Expect(w.Node.HeldRevision()).To(Equal(uint64(100)))
		g.Expect(w.Node.AcceptSet(kept)).To(Succeed())
		w.acceptFromSource(read, 110)
		g.Expect(w.Node.FileSet()).To(Equal(kept), "a read as of a revision below the held one must not replace it")
		w.acceptFromSource(read, 135)
		g.Expect(w.Node.FileSet()).To(Equal(files.Set{Revision: 135, Files: read.Files}))
		w.acceptFromSource(read, 140)
		g.Expect(w.Node.HeldRevision()).To(Equal(uint64(135)), "an unchanged folder must not raise the revision")
	})
}

// answeredSource gives one answer to all reads.
type answeredSource struct {
	set  files.Set
	asOf uint64
}

// Next implements Source.
func (s answeredSource) Next(context.Context, time.Duration, time.Duration) (files.Set, uint64, error) {
	return s.set, s.asOf, nil
}

// beforeAnswer is a source whose answer comes after an event.
type beforeAnswer struct {
	answeredSource
	event func()
}

// Next implements Source.
func (s beforeAnswer) Next(ctx context.Context, wait, limit time.Duration) (files.Set, uint64, error) {
	s.event()
	return s.answeredSource.Next(ctx, wait, limit)
}

// Guards against a configuration that stays out of force after the source has lost writes, and against a late answer from before.
func TestSourceThatLostWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(1)
		members := &member.Table{}
		members.SetSelf(f.record(0))
		w := &Watch{
			Node:  &gossip.Node{Self: f.record(0), Table: members, Holder: &config.Holder{}, Merge: merge, Log: logr.Discard()},
			Table: members, Log: logr.Discard(),
		}
		old, latest := []files.File{{Name: "old.ini"}}, []files.File{{Name: "latest.ini"}}
		read := func(list []files.File, revision, asOf uint64) files.Set {
			w.Source = answeredSource{set: files.Set{Revision: revision, Files: list}, asOf: asOf}
			w.followSource(t.Context(), &turn{}, noPeerHeard)
			return w.Node.FileSet()
		}
		g.Expect(read(old, 120, 120)).To(Equal(files.Set{Revision: 120, Files: old}))
		g.Expect(read(latest, 100, 110)).To(Equal(files.Set{Revision: 121, Files: latest}))
		g.Expect(read(latest, 100, 111).Revision).To(Equal(uint64(121)), "an unchanged folder must not raise the revision")
		g.Expect(read(old, 121, 121)).To(Equal(files.Set{Revision: 122, Files: old}), "a change at the version that equals the held revision")
		w.Source = beforeAnswer{answeredSource{set: files.Set{Revision: 122, Files: latest}, asOf: 122}, func() {
			g.Expect(w.Node.AcceptSet(files.Set{Revision: 123, Files: latest})).To(Succeed())
			g.Expect(w.Node.AcceptSet(files.Set{Revision: 124, Files: old})).To(Succeed())
		}}
		w.followSource(t.Context(), &turn{}, noPeerHeard)
		g.Expect(w.Node.FileSet()).To(Equal(files.Set{Revision: 124, Files: old}), "a change that peers sent during the read")
		restored := epoch.Revision(1, 7)
		g.Expect(read(old, restored, restored)).To(Equal(files.Set{Revision: restored, Files: old}))
		g.Expect(read(latest, 130, 130)).To(Equal(files.Set{Revision: restored, Files: old}), "an answer of the earlier era")
	})
}
