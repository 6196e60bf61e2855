package watch

import (
	"context"
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
)

// Source reads the accepted configuration from a platform that notifies its readers of changes.
type Source interface {
	// Next blocks until a change, or until nothing has changed for the given wait. It returns the folder and asOf, the revision up to
	// which the source reports that the folder is current. Both revisions are of package epoch. A set without files means that there is
	// no folder. It fails when the source does not begin to answer within the limit after the wait; 0 stands for the time limit of any
	// request.
	Next(ctx context.Context, wait, limit time.Duration) (set files.Set, asOf uint64, err error)
}

const (
	firstSourceRetry = 100 * time.Millisecond // after the first failure
	maxSourceRetry   = time.Second            // in a long outage; each attempt of 7,700 daemons is a read of the store
	retryDoublings   = 4                      // from firstSourceRetry to above maxSourceRetry
	// maxSourceWait is the longest wait of a follower for a change.
	maxSourceWait = 24 * time.Second
	// readSpacing is the time between the ends of the waits of successive followers, and answerLimit the time limit of an answer after a
	// wait. A read that was lost in a silence of the source is given up after both, before a daemon has to have the latest change in force,
	// 3 s after the end of the silence.
	readSpacing = 1700 * time.Millisecond
	answerLimit = 700 * time.Millisecond
	// sourcePause is the time between receiving a revision and the next read of the source, so that a series of changes costs each
	// daemon one read for several of them.
	sourcePause = 500 * time.Millisecond
	// maxPeerSilence is the time without a message from any peer after which a daemon follows the source itself. Messages normally
	// arrive about twice a second, and a silent period makes gossip contact a peer.
	maxPeerSilence = 1400 * time.Millisecond
	// maxReadAge is the age of the fleet's latest known read above which any daemon follows the source. Each follower's read ends
	// within maxSourceWait, and it takes a few exchanges until other daemons know of it.
	maxReadAge          = 30 * time.Second
	emptyWait           = 2 * readSpacing        // shortest wait for the first configuration: no older one is in force
	followCheckInterval = 100 * time.Millisecond // between evaluations of followReason
	// emptyPatience is how long a daemon that found no configuration in the source relies on the followers for the first one.
	emptyPatience = 5 * time.Second
)

// sourceLoop accepts each revision of the source while followReason is not notFollowing. Peers may have delivered it before.
func (w *Watch) sourceLoop(ctx context.Context) error {
	if w.FirstStart && !w.awaitPeers(ctx) {
		return nil
	}
	previous := notFollowing
	var turn turn
	for ctx.Err() == nil {
		reason := w.followReason()
		if reason != previous {
			w.Log.Info("source-following-changed", "reason", reason.String(), "before", previous.String())
			previous = reason
		}
		pause := gossip.Jitter(followCheckInterval, jitterShare)
		if reason != notFollowing {
			pause = w.followSource(ctx, &turn, reason)
		}
		if !clock.Sleep(ctx, pause) {
			return nil
		}
	}
	return nil
}

// followSource reads the source once, accepts what it has, and returns the time until the next read.
func (w *Watch) followSource(ctx context.Context, turn *turn, reason followReason) time.Duration {
	begun, held := time.Now(), w.Node.HeldRevision()
	set, asOf, err := w.readSource(ctx, turn.wait(reason, w.role()))
	took := time.Since(begun)
	if err != nil {
		return turn.failed(took)
	}
	switch {
	case len(set.Files) == 0:
		w.emptyReadAt = time.Now()
	case asOf < held && epoch.Era(asOf) == epoch.Era(held):
		w.acceptFallen(set, asOf, w.Node.HeldRevision())
	case asOf == held && epoch.Era(asOf) == 0 && w.Node.HeldRevision() == held:
		w.Node.ObserveHead(set.Revision)
		w.acceptFallen(set, asOf, held) // not accepted if a peer sends a later change meanwhile
	default:
		w.acceptFromSource(set, asOf)
	}
	return turn.answered(set.Revision, took)
}

// readSource reads the source once, and counts and logs the outcome.
func (w *Watch) readSource(ctx context.Context, wait time.Duration) (set files.Set, asOf uint64, err error) {
	begun := time.Now()
	w.counters.sourceReads.Add(1)
	limit := time.Duration(0)
	if wait > 0 {
		limit = answerLimit
	}
	set, asOf, err = w.Source.Next(ctx, wait, limit)
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
	w.acceptSet(set)
}

// acceptFallen accepts the folder of a source that is not beyond the revision that was held before the read, if it is another one: the
// source has lost writes without telling a new era, and its revisions are not above the held one until it has made as many writes again.
// All daemons that read the same folder give it the same revision.
func (w *Watch) acceptFallen(set files.Set, asOf, held uint64) {
	if slices.Equal(set.Files, w.Node.FileSet().Files) {
		return
	}
	w.Log.Info("source-fallen", "held", held, "read", set.Revision, "as-of", asOf)
	set.Revision = held + 1
	w.acceptSet(set)
}

func (w *Watch) acceptSet(set files.Set) {
	w.counters.fetches.Add(1)
	if err := w.Node.AcceptSet(set); err != nil && code.Of(err).Code != code.StaleRevision {
		w.Log.Error(err, "revision-not-accepted", "revision", set.Revision)
	}
}
