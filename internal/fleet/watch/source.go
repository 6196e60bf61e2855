package watch

import (
	"context"
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
)

// Source follows the operators' decisions where the platform tells of changes by itself.
type Source interface {
	// Next returns the folder after a change or when nothing has changed for a while, and the revision up to which the source
	// tells that it holds. A set without files is none.
	Next(ctx context.Context) (set files.Set, asOf uint64, err error)
}

const (
	firstSourceRetry = 100 * time.Millisecond // after a first failure
	maxSourceRetry   = time.Second            // in a long outage; each try of 7,700 daemons is a read of the store
	// sourcePause is the time after a revision until the source is asked again. A series of changes then costs each daemon one read
	// for several of them.
	sourcePause = 500 * time.Millisecond
	// maxPeerSilence is how long a daemon may hear no peer until it follows the source by itself. Peers are heard about twice a second,
	// and one is asked when they are not.
	maxPeerSilence = 1400 * time.Millisecond
	// maxReadAge is the age of the fleet's latest known read above which any daemon follows the source. Each follower's read ends
	// within 20 s, and takes a few exchanges to become known.
	maxReadAge          = 30 * time.Second
	followCheckInterval = 100 * time.Millisecond // between two looks at whether this daemon is to follow
)

// sourceLoop accepts each revision of the source while this daemon follows it. Peers may have delivered it before.
func (w *Watch) sourceLoop(ctx context.Context) error {
	retry := firstSourceRetry
	following := notFollowing
	for ctx.Err() == nil {
		reason := w.followReason()
		if reason != following {
			w.Log.Info("source-following-changed", "reason", reason.String(), "before", following.String())
			following = reason
		}
		if reason == notFollowing {
			if !sleep(ctx, gossip.Jitter(followCheckInterval, jitterShare)) {
				return nil
			}
			continue
		}
		set, asOf, err := w.Source.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		w.recordOutcome(err)
		if err != nil {
			if !sleep(ctx, gossip.Jitter(retry, jitterShare)) {
				return nil
			}
			retry = min(2*retry, maxSourceRetry)
			continue
		}
		retry = firstSourceRetry
		if len(set.Files) == 0 {
			continue
		}
		w.acceptFromSource(set, asOf)
		if !sleep(ctx, gossip.Jitter(sourcePause, jitterShare)) {
			return nil
		}
	}
	return nil
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=following -linecomment -output=names.go

// followReason is why a daemon follows the source.
type followReason int

// Reasons, in the order in which they are looked at.
const (
	notFollowing followReason = iota // not-following
	noRevision                       // no-revision
	zoneFollower                     // zone-follower
	noPeerHeard                      // no-peer-heard
	noReadKnown                      // no-read-known
)

func (w *Watch) followReason() followReason {
	_, age := w.Node.HeadSeen()
	switch {
	case w.Node.HeldRevision() == 0:
		return noRevision
	case w.joined() && w.role().follower:
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

// acceptFromSource accepts a folder that is newer than the held one. A held folder that differs although the source had nothing newer is one that
// a peer kept from before a removal; the source then replaces it at the revision up to which it was read.
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
