package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// applyBound is the time in which a change must be in force on the hosted platform's installations.
const applyBound = 2 * time.Second

// series is a source whose revision rises every gap, until there are so many.
type series struct {
	gap   time.Duration
	last  uint64
	began time.Time
	told  uint64
	reads int
}

// Next implements Source.
func (s *series) Next(ctx context.Context) (files.Set, uint64, error) {
	s.reads++
	now := func() uint64 { return min(s.last, 1+uint64(time.Since(s.began)/s.gap)) }
	for now() <= s.told {
		if !sleep(ctx, time.Millisecond) {
			return files.Set{}, 0, ctx.Err()
		}
	}
	s.told = now()
	return files.Set{Revision: s.told, Files: []files.File{{Name: "a.ini"}}}, s.told, nil
}

// Guards against a read of the store by every daemon for each of many changes in a row, and against a last change that waits for
// longer than its bound.
func TestSeriesOfChangesCostsFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(1)
		holder, members := &config.Holder{}, &member.Table{}
		s := &series{gap: 100 * time.Millisecond, last: 30, began: time.Now()}
		w := &Watch{
			Node:  &gossip.Node{Self: f.record(0), Table: members, Holder: holder, Merge: merge, Log: logr.Discard()},
			Table: members, Holder: holder, Source: s, Log: logr.Discard(),
		}
		members.SetSelf(f.record(0))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.sourceLoop(ctx) }()
		time.Sleep(time.Duration(s.last-1) * s.gap)
		bound := until(applyBound, func() bool { return holder.Get() != nil && holder.Get().Revision == s.last })
		g.Expect(bound).To(BeNumerically("<", applyBound))
		g.Expect(s.reads).To(BeNumerically("<=", 9), "3 s in steps of 0.4 s at least")
		cancel()
		g.Expect(<-done).To(Succeed())
	})
}

// Guards against a folder from before a removal that a peer hands to a daemon which has read the source since.
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
		w.adopt(read, 110)
		g.Expect(w.Node.HeldRevision()).To(Equal(uint64(100)))
		g.Expect(w.Node.AcceptSet(kept)).To(Succeed())
		w.adopt(read, 110)
		g.Expect(w.Node.FileSet()).To(Equal(kept), "what was read before the peer's change says nothing about it")
		w.adopt(read, 135)
		g.Expect(w.Node.FileSet()).To(Equal(files.Set{Revision: 135, Files: read.Files}))
		w.adopt(read, 140)
		g.Expect(w.Node.HeldRevision()).To(Equal(uint64(135)), "the same folder makes no new revision")
	})
}
