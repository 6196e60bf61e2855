package ledger

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// The fixed seed makes each run draw the same schedules.
var _, _ = flag.Set("rapid.seed", "1"), flag.Set("rapid.nofailfile", "true")

const own = ident.Incarnation(7)

func attempt(seq uint64, number uint32) ident.AttemptID {
	return ident.AttemptID{Request: ident.RequestID{Router: 1, Seq: seq}, Attempt: number}
}

func begin(l *Ledger, peer *proto.Peer, id ident.AttemptID) (Entry, *code.Error) {
	return l.Begin(peer, &proto.Head{ID: id, Class: ident.Write, Depth: 2}, time.Now().Add(time.Minute))
}

func resolve(l *Ledger, id ident.AttemptID) *proto.Resolution {
	return l.Resolve(&proto.Resolve{ID: id, Incarnation: own})
}

// Guards against an attempt that runs although its router was told that it did not, or that runs twice.
func TestAttemptRunsAtMostOnceAndNeverAfterRevoked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Ledger{Incarnation: own}
		attempts := rapid.IntRange(1, 4).Draw(t, "attempts")
		heads := rapid.IntRange(1, 3).Draw(t, "heads")
		resolves := rapid.IntRange(0, 3).Draw(t, "resolves")
		ran := make([]int, attempts)
		states := make([]map[proto.ResolveState]bool, attempts)
		var mu sync.Mutex
		var group sync.WaitGroup
		for i := range attempts {
			states[i] = make(map[proto.ResolveState]bool)
			id := attempt(9, uint32(i+1))
			peer := &proto.Peer{}
			for range heads {
				group.Go(func() {
					if entry, refused := begin(l, peer, id); refused == nil {
						mu.Lock()
						ran[i]++
						mu.Unlock()
						entry.Answered(nil)
					}
				})
			}
			for range resolves {
				group.Go(func() {
					peer.Revoke()
					state := resolve(l, id).State
					mu.Lock()
					states[i][state] = true
					mu.Unlock()
				})
			}
		}
		group.Wait()
		for i := range attempts {
			if ran[i] > 1 || ran[i] > 0 && states[i][proto.StateRevoked] {
				t.Fatalf("attempt %d ran %d times, resolved to %v", i, ran[i], states[i])
			}
			if _, refused := begin(l, &proto.Peer{}, attempt(9, uint32(i+1))); refused == nil && (resolves > 0 || ran[i] > 0) {
				t.Fatalf("attempt %d began again on another connection", i)
			}
		}
	})
}

// Guards against a head on a revoked connection that registers because only its id was checked.
func TestRevokedConnectionRegistersNothing(t *testing.T) {
	g := NewWithT(t)
	l := &Ledger{Incarnation: own}
	peer := &proto.Peer{}
	peer.Revoke()
	_, refused := begin(l, peer, attempt(1, 1))
	g.Expect(refused.Code).To(Equal(code.Revoked))
	g.Expect(refused.Outcome).To(Equal(code.NotRun))
}

// Guards against a false "revoked" for an attempt that ran and was forgotten, in all ways that an attempt is forgotten.
func TestForgottenAttemptIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := &Ledger{Incarnation: own}
		go func() { _ = l.Run(ctx) }()
		entry, refused := begin(l, &proto.Peer{}, attempt(shards, 1))
		g.Expect(refused).To(BeNil())
		g.Expect(resolve(l, attempt(shards, 1)).State).To(Equal(proto.StateRunning))
		info, found := l.Lookup(attempt(shards, 1).Request)
		g.Expect(found).To(BeTrue())
		g.Expect(info.Depth).To(Equal(2))
		entry.Answered(nil)
		_, found = l.Lookup(attempt(shards, 1).Request)
		g.Expect(found).To(BeFalse())

		time.Sleep(Retention + 2*sweepEvery)
		g.Expect(l.Dump().(Dump)).To(Equal(Dump{Routers: 1}))
		g.Expect(resolve(l, attempt(shards, 1)).State).To(Equal(proto.StateUnknown), "forgotten")
		g.Expect(resolve(l, attempt(0, 1)).State).To(Equal(proto.StateUnknown), "below a forgotten one")
		g.Expect(resolve(l, attempt(2*shards, 1)).State).To(Equal(proto.StateRevoked), "above it")
		old := &proto.Resolve{ID: attempt(3*shards, 1), Incarnation: own, Elapsed: MaxElapsed + 1}
		g.Expect(l.Resolve(old).State).To(Equal(proto.StateUnknown), "sent too long ago")
		other := &proto.Resolve{ID: attempt(4*shards, 1), Incarnation: own - 1}
		g.Expect(l.Resolve(other).State).To(Equal(proto.StateUnknown), "sent to an earlier incarnation")

		time.Sleep(MaxElapsed)
		g.Expect(resolve(l, attempt(shards, 1)).State).To(Equal(proto.StateUnknown), "mark kept past MaxElapsed")
		cancel()
	})
}

// Guards against held answers and ended attempts that grow without bound, and against an answer that is cut to fit.
func TestHeldAnswersStayWithinBounds(t *testing.T) {
	g := NewWithT(t)
	l := &Ledger{Incarnation: own}
	end := func(seq uint64, size int) {
		entry, refused := begin(l, &proto.Peer{}, attempt(seq, 1))
		g.Expect(refused).To(BeNil())
		entry.Answered(&proto.Answer{Status: 200, Body: make([]byte, size), End: true})
	}
	for seq := range uint64(300) {
		end(seq, MaxAnswerBytes)
		g.Expect(l.Dump().(Dump).HeldBytes).To(BeNumerically("<=", MaxHeldBytes))
	}
	g.Expect(resolve(l, attempt(299, 1)).Answer.Body).To(HaveLen(MaxAnswerBytes))
	dropped := resolve(l, attempt(0, 1))
	g.Expect(dropped.State).To(Equal(proto.StateFinished))
	g.Expect(dropped.Failure.Outcome).To(Equal(code.Unknown))
	end(300, MaxAnswerBytes+1)
	g.Expect(resolve(l, attempt(300, 1)).Answer).To(BeNil())

	l.Resolve(&proto.Resolve{ID: attempt(299, 1), Incarnation: own, Done: true})
	g.Expect(resolve(l, attempt(299, 1)).Answer).To(BeNil(), "confirmed")
	for seq := range uint64(MaxEntries) {
		end(1000+seq, 0)
	}
	g.Expect(l.Dump().(Dump).Ended).To(BeNumerically("<=", MaxEntries))
	g.Expect(resolve(l, attempt(299, 1)).State).To(Equal(proto.StateUnknown), "forgotten early")
}
