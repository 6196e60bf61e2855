package watch

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
)

// Source follows the operators' decisions where the platform tells of changes by itself.
type Source interface {
	// Next returns the folder when it is newer than the revision after, or ok false when nothing has changed for a while.
	Next(ctx context.Context, after uint64) (set files.Set, ok bool, err error)
}

const (
	sourceRetry    = 100 * time.Millisecond // after a first failure
	maxSourceRetry = time.Second            // in a long outage; each try of 7,700 daemons is a read of the store
	// sourcePause is the time after a revision until the source is asked again. A series of changes then costs each daemon one read
	// for several of them.
	sourcePause = 500 * time.Millisecond
)

// sourceLoop accepts each revision of the source. Peers may have delivered it before.
func (w *Watch) sourceLoop(ctx context.Context) error {
	after := uint64(0)
	retry := sourceRetry
	for ctx.Err() == nil {
		set, ok, err := w.Source.Next(ctx, after)
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
		if !ok {
			continue
		}
		after = set.Revision
		w.counters.fetches.Add(1)
		w.Node.Observe(set.Revision)
		if err := w.Node.AcceptSet(set); err != nil && code.Of(err).Code != code.StaleRevision {
			w.Log.Error(err, "revision-not-accepted", "revision", set.Revision)
		}
		if !sleep(ctx, gossip.Jitter(sourcePause, jitterShare)) {
			return nil
		}
	}
	return nil
}
