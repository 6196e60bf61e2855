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
	sourceRetry    = 100 * time.Millisecond // after a first failure
	maxSourceRetry = time.Second            // in a long outage; each try of 7,700 daemons is a read of the store
	// sourcePause is the time after a revision until the source is asked again. A series of changes then costs each daemon one read
	// for several of them.
	sourcePause = 500 * time.Millisecond
	// peerSilence is how long a daemon may hear no peer until it follows the source by itself. Peers are heard about twice a second,
	// and one is asked when they are not.
	peerSilence = 1400 * time.Millisecond
	// sourceSilence is the age of the fleet's latest known read above which any daemon follows the source. Each follower's read ends
	// within 20 s, and takes a few exchanges to become known.
	sourceSilence = 30 * time.Second
	followCheck   = 100 * time.Millisecond // between two looks at whether this daemon is to follow
)

// sourceLoop accepts each revision of the source while this daemon follows it. Peers may have delivered it before.
func (w *Watch) sourceLoop(ctx context.Context) error {
	retry := sourceRetry
	following := notFollowing
	for ctx.Err() == nil {
		reason := w.following()
		if reason != following {
			w.Log.Info("source-following-changed", "reason", reason.String(), "before", following.String())
			following = reason
		}
		if reason == notFollowing {
			if !sleep(ctx, gossip.Jitter(followCheck, jitterShare)) {
				return nil
			}
			continue
		}
		set, asOf, err := w.Source.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		w.note(err)
		if err != nil {
			if !sleep(ctx, gossip.Jitter(retry, jitterShare)) {
				return nil
			}
			retry = min(2*retry, maxSourceRetry)
			continue
		}
		retry = sourceRetry
		if len(set.Files) == 0 {
			continue
		}
		w.adopt(set, asOf)
		if !sleep(ctx, gossip.Jitter(sourcePause, jitterShare)) {
			return nil
		}
	}
	return nil
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=following -linecomment -output=names.go

// following is why a daemon follows the source.
type following int

// Reasons, in the order in which they are looked at.
const (
	notFollowing    following = iota // not-following
	withoutRevision                  // no-revision
	asFollower                       // zone-follower
	withoutPeers                     // no-peer-heard
	withoutNews                      // no-read-known
)

func (w *Watch) following() following {
	_, age := w.Node.HeadSeen()
	switch {
	case w.Node.HeldRevision() == 0:
		return withoutRevision
	case w.joined() && w.role().follower:
		return asFollower
	case w.Node.PeerSilence() > peerSilence:
		return withoutPeers
	case !w.joined():
		return notFollowing
	case age > sourceSilence:
		return withoutNews
	}
	return notFollowing
}

// adopt accepts a folder that is newer than the held one. A held folder that differs although the source had nothing newer is one that
// a peer kept from before a removal; the source then replaces it at the revision up to which it was read.
func (w *Watch) adopt(set files.Set, asOf uint64) {
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
