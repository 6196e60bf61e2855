package watch

import (
	"context"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	// sweepAfter is the age above which a row is deleted. A daemon that cannot refresh its row keeps it for hours.
	sweepAfter = 2 * time.Hour
	// sweepers is the number of daemons that read the whole table regularly. Two of them also connect groups of daemons that do
	// not know of each other.
	sweepers = 2
	// sweepInterval leads to 2 x 16 reads in 5 min at 7,700 rows.
	sweepInterval = 5 * time.Minute
	firstSweep    = 15 * time.Second
	sweepDelay    = 100 * time.Millisecond // between the requests of a sweep
	maxSweep      = 1000                   // rows deleted by one sweep
)

// sweepLoop reads the whole table every sweepInterval while this daemon is a sweeper, and deletes the rows older than sweepAfter.
func (w *Watch) sweepLoop(ctx context.Context) error {
	for wait := firstSweep; clock.Sleep(ctx, gossip.Jitter(wait, jitterShare)); wait = sweepInterval {
		if !w.joined() || !w.role().sweeper {
			continue
		}
		if err := w.sweep(ctx); err != nil && ctx.Err() == nil {
			w.Log.Error(err, "sweep-failed")
		}
	}
	return nil
}

func (w *Watch) sweep(ctx context.Context) error {
	after := ""
	deleted := 0
	expired := make(expiredRows)
	for {
		rows, err := w.readPage(ctx, after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			w.applyRow(row)
			if !w.expired(row) {
				continue
			}
			expired.keep(row, w.expiredRows)
			if deleted >= maxSweep || time.Since(expired[row.Key].since) < staleAfter {
				continue
			}
			if err := w.deleteRow(ctx, row); err != nil {
				return err
			}
			deleted++
		}
		if len(rows) < pageRows {
			w.expiredRows = expired
			return nil
		}
		after = rows[len(rows)-1].Key
		if !clock.Sleep(ctx, sweepDelay) {
			return ctx.Err()
		}
	}
}

// expiredRows holds, by key, the rows that look expired by the wall clock. One is deleted only when it has also stayed unchanged for
// staleAfter of this process's time: a live daemon writes its row anew, whatever the clocks say.
type expiredRows map[string]expiredRow

type expiredRow struct {
	version string
	since   time.Time // when the row with this version was first seen
}

// keep adds a row, with the time from before if it has not changed.
func (e expiredRows) keep(row table.Row, before expiredRows) {
	seen, found := before[row.Key]
	if !found || seen.version != row.Version {
		seen = expiredRow{version: row.Version, since: time.Now()}
	}
	e[row.Key] = seen
}

func (w *Watch) expired(row table.Row) bool {
	a, err := readAnnouncement(row)
	return err == nil && w.Now().Sub(a.At) > sweepAfter
}

// deleteRow deletes the row unless it was rewritten after it was read.
func (w *Watch) deleteRow(ctx context.Context, row table.Row) error {
	if !clock.Sleep(ctx, sweepDelay) {
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := w.Store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
	if err != nil && code.Of(err).Code == code.ChangeConflict {
		return nil
	}
	w.recordOutcome(err)
	if err == nil {
		w.counters.swept.Add(1)
		w.Log.Info("announcement-swept", "key", row.Key)
	}
	return err
}
