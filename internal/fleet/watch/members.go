package watch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	pageRows = 500
	// staleAfter is the age above which an announcement is ignored: four refreshes.
	staleAfter = 20 * time.Minute
	// sweepAfter is the age above which a row is deleted. It leaves hours for a daemon that cannot refresh.
	sweepAfter = 2 * time.Hour
	// maxSkew is how far in the future an announcement of a daemon with a fast clock may lie.
	maxSkew = 5 * time.Minute
	// maxJoinPeers is how many members of a page are asked to hand over the others before the next page is read.
	maxJoinPeers = 3
	// sweepers read the whole table regularly. Two of them also merge parts of the fleet that never met.
	sweepers = 2
	// sweepInterval makes 2 x 16 reads in 5 min at 7,700 rows.
	sweepInterval = 5 * time.Minute
	firstSweep    = 15 * time.Second
	sweepDelay    = 100 * time.Millisecond // between two requests of a sweep
	maxSweep      = 1000                   // rows deleted by one sweep
)

// discoverLoop learns the members: from peers while these answer, else from the table. It is read as soon as peers have had their time,
// since the members of before a common restart are still there, and again after this daemon has announced itself, so that of two
// daemons that start together the later one finds the earlier.
func (w *Watch) discoverLoop(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-w.Node.Joined():
		w.markFirstRead()
	case <-time.After(gossip.Jitter(w.PeersFirst, jitterShare)):
		if w.readMembers(ctx) == nil && w.joined() {
			w.markReady()
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case <-w.Node.Joined():
	case <-w.announced:
	}
	var retry backoff
	for !w.joined() {
		if w.readMembers(ctx) == nil {
			w.markReady()
		}
		// An empty table or one of silent members is read again: others may announce themselves later.
		if !retry.sleep(ctx) {
			return nil
		}
	}
	w.markReady()
	return nil
}

func (w *Watch) markReady() {
	w.readyOnce.Do(func() { close(w.ready) })
}

// markFirstRead lets the first announcement go out. The peers that a page names may not answer for seconds.
func (w *Watch) markFirstRead() {
	w.firstReadOnce.Do(func() { close(w.firstRead) })
}

func (w *Watch) joined() bool {
	select {
	case <-w.Node.Joined():
		return true
	default:
		return false
	}
}

// readMembers reads pages until a peer has handed over its members.
func (w *Watch) readMembers(ctx context.Context) error {
	after := ""
	for {
		rows, err := w.readPage(ctx, after)
		if err == nil && after == "" {
			w.findOwnRow(rows)
		}
		w.markFirstRead()
		if err != nil {
			return err
		}
		var peers []netip.AddrPort
		for _, row := range rows {
			if r, fresh := w.applyRow(row); fresh {
				peers = append(peers, r.Address)
			}
		}
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		if w.joined() || len(peers) > 0 && w.Node.Join(ctx, peers[:min(maxJoinPeers, len(peers))]) == nil {
			return nil
		}
		if len(rows) < pageRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

func (w *Watch) readPage(ctx context.Context, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	w.counters.pages.Add(1)
	rows, err := w.Store.Range(ctx, rowPrefix, after, pageRows)
	w.recordOutcome(err)
	return rows, err
}

// applyRow applies a fresh announcement of another daemon.
func (w *Watch) applyRow(row table.Row) (member.Record, bool) {
	a, err := decodeAnnouncement(row.Value)
	if err != nil {
		w.Log.Error(err, "announcement-unreadable", "key", row.Key)
		return member.Record{}, false
	}
	age := time.Since(a.At)
	if age > staleAfter || age < -maxSkew || a.Record.Address == w.Table.Self().Address {
		return member.Record{}, false
	}
	w.Table.Apply(a.Record)
	return a.Record, true
}

// sweepLoop lets few daemons read the whole table now and then and delete the rows of members that are long expired.
func (w *Watch) sweepLoop(ctx context.Context) error {
	for wait := firstSweep; sleep(ctx, gossip.Jitter(wait, jitterShare)); wait = sweepInterval {
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
	for {
		rows, err := w.readPage(ctx, after)
		if err != nil {
			return err
		}
		for _, row := range rows {
			w.applyRow(row)
			if deleted >= maxSweep || !expired(row) {
				continue
			}
			if err := w.deleteRow(ctx, row); err != nil {
				return err
			}
			deleted++
		}
		if len(rows) < pageRows {
			return nil
		}
		after = rows[len(rows)-1].Key
		if !sleep(ctx, sweepDelay) {
			return ctx.Err()
		}
	}
}

func expired(row table.Row) bool {
	a, err := decodeAnnouncement(row.Value)
	return err == nil && time.Since(a.At) > sweepAfter
}

// deleteRow deletes the row unless it was refreshed after it was read.
func (w *Watch) deleteRow(ctx context.Context, row table.Row) error {
	if !sleep(ctx, sweepDelay) {
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
