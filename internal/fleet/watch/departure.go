package watch

import (
	"context"
	"strings"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// departureRetry is the time between attempts to write a departure into this daemon's row. It is short, because a process that ends
// before one succeeds leaves nothing of the departure to the next process.
const departureRetry = 300 * time.Millisecond

// departures tracks the acknowledged departure of this daemon's server. It is stored in the daemon's row, so that a daemon that dies
// after acknowledging a departure still honors it after a restart.
type departures struct {
	unwritten chan struct{} // has a value after an announcement that has not written current

	mu        sync.Mutex
	rowRead   bool      // the row of an earlier daemon was read or does not exist, or current was set
	current   Departure // written with each announcement
	persisted Departure // in the row, as far as this daemon knows
	era       uint64    // of the store when persisted was written or read; a later one may have lost it
}

// PersistDeparture writes a departure into this daemon's row unless it is there already. After a failure, Run goes on trying.
func (w *Watch) PersistDeparture(ctx context.Context, d Departure) error {
	w.departures.mu.Lock()
	w.departures.rowRead, w.departures.current = true, d
	w.departures.mu.Unlock()
	if w.departurePersisted() {
		return nil
	}
	return w.announce(ctx)
}

// requestDepartureWrite makes departureLoop write the current departure if the last announcement did not.
func (w *Watch) requestDepartureWrite() {
	if w.departurePersisted() {
		return
	}
	select {
	case w.departures.unwritten <- struct{}{}:
	default: // departureLoop has yet to take the last request
	}
}

// departureLoop writes the departures that announcements could not write, when the store answers again. An announcement that began
// before a departure, and ended after its write, has replaced it.
func (w *Watch) departureLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.departures.unwritten:
		}
		for !w.departurePersisted() && clock.Sleep(ctx, gossip.Jitter(departureRetry, jitterShare)) {
			if w.announce(ctx) == nil {
				w.Log.Info("departure-kept-late", "server", w.currentDeparture().Server)
			}
		}
	}
}

// departurePersisted reports whether this daemon's row holds the current departure, as far as this daemon knows.
func (w *Watch) departurePersisted() bool {
	era := w.era()
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	lost := w.departures.persisted.Server != "" && w.departures.era < era
	return w.departures.current == w.departures.persisted && !lost
}

// currentDeparture returns the departure that each announcement must contain, zero when there is none.
func (w *Watch) currentDeparture() Departure {
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	return w.departures.current
}

// markDeparturePersisted records that this daemon's row held the departure in the era.
func (w *Watch) markDeparturePersisted(d Departure, era uint64) {
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	w.departures.persisted, w.departures.era = d, era
}

// restoreDeparture adopts the departure that an earlier daemon at this address stored. Only the first call has an effect.
func (w *Watch) restoreDeparture(d Departure) {
	era := w.era()
	w.departures.mu.Lock()
	known := w.departures.rowRead
	w.departures.rowRead = true
	if !known {
		w.departures.persisted, w.departures.era = d, era
	}
	recalled := w.departures.current // from peers
	known = known || recalled == d || recalled.follows(d)
	if !known {
		w.departures.current = d
	}
	w.departures.mu.Unlock()
	if known || d.Server == "" || w.OnDepartureRestored == nil {
		return
	}
	w.Log.Info("departure-restored", "server", d.Server, "born", d.Born)
	w.OnDepartureRestored(d)
}

// ownRowKnown reports whether overwriting the row of an earlier daemon would lose no departure.
func (w *Watch) ownRowKnown() bool {
	w.departures.mu.Lock()
	defer w.departures.mu.Unlock()
	return w.departures.rowRead || w.OnDepartureRestored == nil
}

// readOwnRow reads this daemon's row unless a page of members already contained it.
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

// applyOwnRow restores the departure in this daemon's row. A row without a value means that there is none.
func (w *Watch) applyOwnRow(row table.Row) {
	var a announcement
	if len(row.Value) > 0 {
		read, err := readAnnouncement(row)
		if err != nil {
			w.Log.Error(err, "announcement-unreadable", "key", row.Key)
		} else {
			a = read
		}
	}
	w.restoreServer(a)
	w.restoreDeparture(a.Departure)
	w.markRowRead(eraOfRow(row, a))
}

// findOwnRow looks for this daemon's row in the first page of the table. Where the page covers the key without a row, there is none.
func (w *Watch) findOwnRow(rows []table.Row) {
	key := rowKey(w.Table.Self().Address)
	for _, row := range rows {
		if row.Key == key {
			w.applyOwnRow(row)
			return
		}
	}
	covered := len(rows) < pageRows || strings.Compare(rows[len(rows)-1].Key, key) > 0
	if covered {
		w.applyOwnRow(table.Row{Key: key})
	}
}
