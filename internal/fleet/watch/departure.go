package watch

import (
	"context"
	"strings"
	"sync"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// departures is what this daemon's row tells of the own server, so that a daemon which dies after it has acknowledged a departure
// is bound by it when it runs again.
type departures struct {
	mu        sync.Mutex
	rowRead   bool      // the row of an earlier daemon at this address has been read, or there is none
	current   Departure // to be written with each announcement
	persisted Departure // in the row, as far as is known
}

// PersistDeparture writes a departure into this daemon's row unless it is there already.
func (w *Watch) PersistDeparture(ctx context.Context, d Departure) error {
	w.departures.mu.Lock()
	w.departures.rowRead, w.departures.current = true, d
	kept := w.departures.persisted == d
	w.departures.mu.Unlock()
	if kept {
		return nil
	}
	return w.announce(ctx)
}

// currentDeparture returns what an announcement has to tell.
func (w *Watch) currentDeparture() Departure {
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	return w.departures.current
}

func (w *Watch) markDeparturePersisted(d Departure) {
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	w.departures.persisted = d
}

// restoreDeparture takes in what an earlier daemon at this address wrote of the server.
func (w *Watch) restoreDeparture(d Departure) {
	w.departures.mu.Lock()
	known := w.departures.rowRead
	w.departures.rowRead = true
	if !known {
		w.departures.current, w.departures.persisted = d, d
	}
	w.departures.mu.Unlock()
	if known || d.Server == "" || w.OnDepartureRestored == nil {
		return
	}
	w.Log.Info("departure-restored", "server", d.Server, "born", d.Born)
	w.OnDepartureRestored(d)
}

// ownRowKnown reports whether nothing of an earlier daemon's row would be lost by writing it anew.
func (w *Watch) ownRowKnown() bool {
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	return w.departures.rowRead || w.OnDepartureRestored == nil
}

// readOwnRow reads the row unless a page of the table has held it.
func (w *Watch) readOwnRow(ctx context.Context) error {
	if w.ownRowKnown() {
		return nil
	}
	row, err := w.Store.Get(ctx, rowKey(w.Table.Self().Address))
	w.recordOutcome(err)
	if err != nil && code.Of(err).Code != code.NotFound {
		return err
	}
	w.applyOwnRow(row)
	return nil
}

// applyOwnRow takes in this daemon's row, or that there is none.
func (w *Watch) applyOwnRow(row table.Row) {
	a, err := decodeAnnouncement(row.Value)
	if err != nil && len(row.Value) > 0 {
		w.Log.Error(err, "announcement-unreadable", "key", row.Key)
	}
	w.restoreDeparture(a.Departure)
}

// findOwnRow finds this daemon's row in a page of the table that begins at the first row.
func (w *Watch) findOwnRow(rows []table.Row) {
	own := rowKey(w.Table.Self().Address)
	for _, row := range rows {
		if row.Key == own {
			w.applyOwnRow(row)
			return
		}
	}
	whole := len(rows) < pageRows || strings.Compare(rows[len(rows)-1].Key, own) > 0
	if whole {
		w.applyOwnRow(table.Row{Key: own})
	}
}
