package watch

import (
	"sync"

	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// firstEra is the era of a store that has not come back from an older copy, if it tells eras.
const firstEra = 1

// history tracks whether this daemon knows every departure that earlier processes at its address acknowledged. The row may come from an
// older copy of the store, and what was acknowledged while the store was away is with peers only, so that it takes both.
type history struct {
	mu        sync.Mutex
	rowRead   bool
	rowEra    uint64 // of the store, up to which the row of the earlier daemon held every departure in it
	rowWhole  bool   // the row was read, and the store had not come back from an older copy since it was written
	peersTold bool   // enough peers have told the departures from before their own start
	known     bool   // OnHistoryKnown was called
}

// markRowRead records that the row was read, which holds every departure written into it up to an era. Only the first call has an effect:
// later the row is this process's own.
func (w *Watch) markRowRead(era uint64) {
	now := w.era()
	w.history.mu.Lock()
	known := w.history.rowRead
	if !known {
		w.history.rowRead, w.history.rowEra, w.history.rowWhole = true, era, era >= now
	}
	w.history.mu.Unlock()
	if known {
		return
	}
	if era < now {
		w.Log.Info("departures-may-be-lost", "row-era", era, "era", now)
	}
	w.settleHistory()
}

// PeersRecalled records that enough peers have told the departures from before their own start.
func (w *Watch) PeersRecalled() {
	w.history.mu.Lock()
	w.history.peersTold = true
	w.history.mu.Unlock()
	w.settleHistory()
}

func (w *Watch) settleHistory() {
	w.history.mu.Lock()
	settled := w.history.rowWhole && w.history.peersTold && !w.history.known
	w.history.known = w.history.known || settled
	w.history.mu.Unlock()
	if settled && w.OnHistoryKnown != nil {
		w.OnHistoryKnown()
	}
}

// historyEra returns the era of the store up to which a row that is written in the given era holds every departure written at this address.
func (w *Watch) historyEra(era uint64) uint64 {
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	if w.history.rowWhole {
		return era
	}
	return w.history.rowEra
}

// eraOfRow returns the era up to which an earlier daemon's row holds every departure. No row is the first state of a store only: one that
// has come back from a copy may have lost it.
func eraOfRow(row table.Row, a announcement) uint64 {
	if len(row.Value) == 0 {
		return firstEra
	}
	return a.Era
}
