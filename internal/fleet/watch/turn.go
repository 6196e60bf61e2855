package watch

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
)

// turn schedules the reads of the source by one daemon. A source that is silent shows only when a read is not answered in time, and a
// silence takes all reads that begin in it. Hence the followers of the fleet take turns: the wait of one of them ends every readSpacing. A
// change ends the waits of all at once and begins a new round.
type turn struct {
	revision uint64 // of the last answer; 0 while there is no configuration
	newRound bool   // the next wait is counted by rank, not as a whole round
	failures int    // since the last answer
	rank     int    // at the last wait; below slots
	slots    int    // turns of a round at the last wait; 0 before the first
}

// wait returns how long the next read may wait for a change. After a failure, a read that does not wait tells whether the source is back.
func (t *turn) wait(reason followReason, current role) time.Duration {
	if t.failures > 0 {
		return 0
	}
	rank, slots := 0, 1 // of a daemon that follows for itself alone
	if current.follower && (reason == zoneFollower || reason == noRevision) {
		slots = min(max(1, current.followers), int(maxSourceWait/readSpacing))
		rank = current.rank % slots
	}
	if rank != t.rank || slots != t.slots {
		t.rank, t.slots, t.newRound = rank, slots, true
	}
	wait := time.Duration(slots) * readSpacing
	if t.newRound {
		wait = time.Duration(rank+1) * readSpacing
	}
	t.newRound = false
	if t.revision == 0 {
		return max(wait, emptyWait)
	}
	return wait
}

// answered returns the pause after an answer to a read that took the given time. A series of changes costs one read for several of them.
// After an answer without a change the next read follows at once if the last one waited.
func (t *turn) answered(revision uint64, took time.Duration) time.Duration {
	changed := revision != t.revision
	t.newRound = t.newRound || changed || t.failures > 0
	t.revision, t.failures = revision, 0
	pause := gossip.Jitter(sourcePause, jitterShare)
	if changed {
		return pause
	}
	return max(0, pause-took)
}

// failed returns the pause after a read that failed after the given time. A read that waited for a change and was not answered is repeated
// at once, since the source may long be back.
func (t *turn) failed(took time.Duration) time.Duration {
	pause := min(firstSourceRetry<<min(t.failures, retryDoublings), maxSourceRetry)
	t.failures++
	pause = gossip.Jitter(pause, jitterShare)
	if t.failures == 1 {
		return max(0, pause-took)
	}
	return pause
}
