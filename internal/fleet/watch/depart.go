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
	mu   sync.Mutex
	read bool      // the row of an earlier daemon at this address has been read, or there is none
	held Departure // to be written with each announcement
	kept Departure // in the row, as far as is known
}

// PersistDeparture writes a departure into this daemon's row unless it is there already.
func (w *Watch) PersistDeparture(ctx context.Context, d Departure) error {
	w.departures.mu.Lock()
	w.departures.read, w.departures.held = true, d
	kept := w.departures.kept == d
	w.departures.mu.Unlock()
	if kept {
		return nil
	}
	return w.announce(ctx)
}

// departure returns what an announcement has to tell.
func (w *Watch) departure() Departure {
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	return w.departures.held
}

func (w *Watch) departureKept(d Departure) {
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	w.departures.kept = d
}

// ownRow takes in what an earlier daemon at this address wrote of the server.
func (w *Watch) ownRow(d Departure) {
	w.departures.mu.Lock()
	known := w.departures.read
	w.departures.read = true
	if !known {
		w.departures.held, w.departures.kept = d, d
	}
	w.departures.mu.Unlock()
	if known || d.Server == "" || w.OnDepartureRestored == nil {
		return
	}
	w.Log.Info("departure-restored", "server", d.Server, "born", d.Born)
	w.OnDepartureRestored(d)
}

// ownRowRead reports whether nothing of an earlier daemon's row would be lost by writing it anew.
func (w *Watch) ownRowRead() bool {
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	return w.departures.read || w.OnDepartureRestored == nil
}

// readOwnRow reads the row unless a page of the table has held it.
func (w *Watch) readOwnRow(ctx context.Context) error {
	if w.ownRowRead() {
		return nil
	}
	row, err := w.Store.Get(ctx, rowKey(w.Table.Self().Address))
	w.note(err)
	if err != nil && code.Of(err).Code != code.NotFound {
		return err
	}
	w.takeOwn(row)
	return nil
}

// takeOwn takes in this daemon's row, or that there is none.
func (w *Watch) takeOwn(row table.Row) {
	a, err := decodeAnnouncement(row.Value)
	if err != nil && len(row.Value) > 0 {
		w.Log.Error(err, "announcement-unreadable", "key", row.Key)
	}
	w.ownRow(a.Departure)
}

// lookForOwn finds this daemon's row in a page of the table that begins at the first row.
func (w *Watch) lookForOwn(rows []table.Row) {
	own := rowKey(w.Table.Self().Address)
	for _, row := range rows {
		if row.Key == own {
			w.takeOwn(row)
			return
		}
	}
	whole := len(rows) < pageRows || strings.Compare(rows[len(rows)-1].Key, own) > 0
	if whole {
		w.takeOwn(table.Row{Key: own})
	}
}
