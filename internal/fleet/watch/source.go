package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
)

// Source reads the accepted configuration from a platform that notifies its readers of changes.
type Source interface {
	// Next blocks until a change, or until nothing has changed for the given time. It returns the folder and asOf, the revision up to
	// which the source reports that the folder is current. A set without files means that there is no folder. It fails when the source
	// is silent for longer than that time and the time limit of a request.
	Next(ctx context.Context, wait time.Duration) (set files.Set, asOf uint64, err error)
}

const (
	firstSourceRetry = 100 * time.Millisecond // after the first failure
	maxSourceRetry   = time.Second            // in a long outage; each attempt of 7,700 daemons is a read of the store
	// maxSourceWait is the longest wait of a follower for a change. Each wait is random, from half of it up, so that the waits of
	// different followers end at different times.
	maxSourceWait = 20 * time.Second
	// maxPromptWait and promptWaitSpread bound the waits of the followers that notice a silent source for the others. A read that was
	// lost in an outage, and the time limit of its request, end before a change has to be in force after the outage.
	maxPromptWait    = 3200 * time.Millisecond
	promptWaitSpread = 200 * time.Millisecond
	// sourcePause is the time between receiving a revision and the next read of the source, so that a series of changes costs each
	// daemon one read for several of them.
	sourcePause = 500 * time.Millisecond
	// maxPeerSilence is the time without a message from any peer after which a daemon follows the source itself. Messages normally
	// arrive about twice a second, and a silent period makes gossip contact a peer.
	maxPeerSilence = 1400 * time.Millisecond
	// maxReadAge is the age of the fleet's latest known read above which any daemon follows the source. Each follower's read ends
	// within 20 s, and it takes a few exchanges until other daemons know of it.
	maxReadAge          = 30 * time.Second
	followCheckInterval = 100 * time.Millisecond // between evaluations of followReason
	// emptyPatience is how long a daemon that found no configuration in the source relies on the followers for the first one.
	emptyPatience = 5 * time.Second
)

// sourceLoop accepts each revision of the source while followReason is not notFollowing. Peers may have delivered it before.
func (w *Watch) sourceLoop(ctx context.Context) error {
	if w.FirstStart && !w.awaitPeers(ctx) {
		return nil
	}
	retry := firstSourceRetry
	previous, failed := notFollowing, false
	for ctx.Err() == nil {
		reason := w.followReason()
		if reason != previous {
			w.Log.Info("source-following-changed", "reason", reason.String(), "before", previous.String())
			previous = reason
		}
		if reason == notFollowing {
			if !clock.Sleep(ctx, gossip.Jitter(followCheckInterval, jitterShare)) {
				return nil
			}
			continue
		}
		set, asOf, err := w.readSource(ctx, w.sourceWait(reason, failed))
		if ctx.Err() != nil {
			return nil
		}
		failed = err != nil
		if failed {
			if !clock.Sleep(ctx, gossip.Jitter(retry, jitterShare)) {
				return nil
			}
			retry = min(2*retry, maxSourceRetry)
			continue
		}
		retry = firstSourceRetry
		if len(set.Files) > 0 {
			w.acceptFromSource(set, asOf)
		} else {
			w.emptyReadAt = time.Now()
		}
		if !clock.Sleep(ctx, gossip.Jitter(sourcePause, jitterShare)) {
			return nil
		}
	}
	return nil
}

// readSource reads the source once, and counts and logs the outcome.
func (w *Watch) readSource(ctx context.Context, wait time.Duration) (set files.Set, asOf uint64, err error) {
	begun := time.Now()
	w.counters.sourceReads.Add(1)
	set, asOf, err = w.Source.Next(ctx, wait)
	if ctx.Err() != nil {
		return set, asOf, err
	}
	if err != nil {
		w.counters.sourceLost.Add(1)
		w.Log.Info("source-read-lost", "wait", wait, "took", time.Since(begun), "held", w.Node.HeldRevision(), "cause", err.Error())
	}
	w.recordOutcome(err)
	return set, asOf, err
}

// sourceWait returns how long the next read of the source may wait for a change. A silent source shows only when a read is not answered
// in time, and an outage may take the reads of all followers at once. Hence one follower of each zone, and each daemon that follows for
// itself alone, waits briefly. After a failure, a read that does not wait tells whether the source is back.
func (w *Watch) sourceWait(reason followReason, failed bool) time.Duration {
	switch {
	case failed:
		return 0
	case reason == zoneFollower && !w.role().prompt:
		return maxSourceWait - rand.N(maxSourceWait/2)
	}
	return maxPromptWait - rand.N(promptWaitSpread)
}

// awaitPeers waits a moment for the peers that a daemon relies on at the first start. It reports false when ctx has ended.
func (w *Watch) awaitPeers(ctx context.Context) bool {
	w.emptyReadAt = time.Now()
	timer := time.NewTimer(sourcePause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-w.Node.Joined():
	case <-timer.C:
	}
	return true
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=followReason -linecomment -output=names.go

// followReason tells why a daemon follows the source, or that it does not.
type followReason int

// The reasons. Watch.followReason checks them in this order.
const (
	notFollowing followReason = iota // not-following
	noRevision                       // no-revision
	zoneFollower                     // zone-follower
	noPeerHeard                      // no-peer-heard
	noReadKnown                      // no-read-known
)

func (w *Watch) followReason() followReason {
	_, age := w.Node.HeadSeen()
	follower := w.joined() && w.role().follower
	switch {
	case w.Node.HeldRevision() == 0 && !follower && w.awaitsFirstRevision():
		return notFollowing
	case w.Node.HeldRevision() == 0:
		return noRevision
	case follower:
		return zoneFollower
	case w.Node.PeerSilence() > maxPeerSilence:
		return noPeerHeard
	case !w.joined():
		return notFollowing
	case age > maxReadAge:
		return noReadKnown
	}
	return notFollowing
}

// awaitsFirstRevision reports whether the source had no configuration a moment ago and peers will tell of the first one. When a whole
// fleet starts before its operators have written a configuration, only the followers then wait for it at the source. A peer that
// has been heard suffices: a synchronization takes longer when a message of it is lost or the other daemon has yet to start.
func (w *Watch) awaitsFirstRevision() bool {
	return w.Node.PeerSilence() <= maxPeerSilence && time.Since(w.emptyReadAt) < emptyPatience
}

// acceptFromSource accepts a folder that is newer than the held one. If the source is current as of a revision above the held one but
// its folder is not newer and differs, the held folder is a state from before a removal that a peer still had. The source's folder
// then replaces it, with asOf as its revision.
func (w *Watch) acceptFromSource(set files.Set, asOf uint64) {
	w.Node.ObserveHead(set.Revision)
	held := w.Node.FileSet()
	if set.Revision <= held.Revision {
		if asOf <= held.Revision || slices.Equal(set.Files, held.Files) {
			return
		}
		w.Log.Info("held-revision-replaced", "held", held.Revision, "read", set.Revision, "as-of", asOf)
		set.Revision = asOf
	}
	w.counters.fetches.Add(1)
	if err := w.Node.AcceptSet(set); err != nil && code.Of(err).Code != code.StaleRevision {
		w.Log.Error(err, "revision-not-accepted", "revision", set.Revision)
	}
}
