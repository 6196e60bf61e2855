package watch

import (
	"context"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
)

// eras notices that the store has come back from an older copy, which may lack this daemon's row as it was last written.
type eras struct {
	risen chan struct{} // has a value after current has risen

	mu      sync.Mutex
	current uint64 // the newest known; 0 while none is
}

// era returns the newest era of the store that this daemon knows, from its own requests or from the revision that it holds.
func (w *Watch) era() uint64 {
	known := epoch.Era(w.Node.HeldRevision())
	if w.Era != nil {
		known = max(known, w.Era.Newest())
	}
	return known
}

// checkEra makes this daemon write its row again if the era has risen. The first known era is no rise.
func (w *Watch) checkEra() {
	era := w.era()
	w.eras.mu.Lock()
	before := w.eras.current
	w.eras.current = max(before, era)
	w.eras.mu.Unlock()
	if before == 0 || era <= before {
		return
	}
	w.Log.Info("store-restored", "era", era, "before", before)
	w.requestDepartureWrite()
	select {
	case w.eras.risen <- struct{}{}:
	default: // announceLoop has yet to take the last one
	}
}

// awaitRefresh waits until this daemon's row is due: after the given time, or at a random moment within StartSpread after the store has
// come back from an older copy or another server runs beside the daemon. It reports false when ctx has ended.
func (w *Watch) awaitRefresh(ctx context.Context, refresh time.Duration) bool {
	timer := time.NewTimer(refresh)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-w.eras.risen:
			return clock.Sleep(ctx, uniform(w.StartSpread))
		case <-w.server.changed:
			if !clock.Sleep(ctx, uniform(w.StartSpread)) {
				return false
			}
			if !w.rowNamesServer() {
				return true
			}
		}
	}
}
