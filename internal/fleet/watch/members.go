package watch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	pageRows = 500
	// staleAfter is the age above which an announcement is ignored: four times DefaultRefresh.
	staleAfter = 20 * time.Minute
	// maxSkew is how far in the future the time of an announcement may lie when its daemon's clock is fast.
	maxSkew = 5 * time.Minute
	// maxJoinPeers bounds the members of a page that are contacted for a synchronization before the next page is read.
	maxJoinPeers = 3
)

// discoverLoop learns the members, from a peer if one can be reached, else from the table. When no peer has synchronized within
// PeersFirst, the table is read, since after a simultaneous restart of the fleet it still holds the previous members. It is read again
// after this daemon has announced itself, so that of two daemons that start together the later one finds the earlier.
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
		// The table may be empty or its members may not answer, so it is read again: others may announce themselves later.
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

// markFirstRead unblocks the first announcement. It is called before the peers of the first page are contacted, because they may not
// answer for seconds.
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

// readMembers reads pages of the table until a synchronization with a peer has completed or the table ends.
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
		peers := w.applyRows(rows)
		if w.joined() || len(peers) > 0 && w.Node.Join(ctx, peers[:min(maxJoinPeers, len(peers))]) == nil {
			return nil
		}
		if len(rows) < pageRows {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// applyRows merges a page of announcements into the member table and returns the addresses to contact, in random order, those with a fresh
// announcement first. By the clock of this daemon or of the others all may be too old or in the future, and still be of live daemons.
func (w *Watch) applyRows(rows []table.Row) []netip.AddrPort {
	var fresh, others []netip.AddrPort
	for _, row := range rows {
		r, isFresh := w.applyRow(row)
		switch {
		case !r.Address.IsValid():
		case isFresh:
			fresh = append(fresh, r.Address)
		default:
			others = append(others, r.Address)
		}
	}
	for _, list := range [][]netip.AddrPort{fresh, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(fresh, others...)
}

func (w *Watch) readPage(ctx context.Context, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	w.counters.pages.Add(1)
	rows, err := w.Store.Range(ctx, rowPrefix, after, pageRows)
	w.recordOutcome(err)
	return rows, err
}

// applyRow merges the announcement of another daemon into the member table if it is fresh, and reports whether it is. The record is zero if
// there is none of another daemon. One of a leaving daemon may be kept for its next process, and tells nothing of the present one.
func (w *Watch) applyRow(row table.Row) (member.Record, bool) {
	a, err := readAnnouncement(row)
	if err != nil {
		w.Log.Error(err, "announcement-unreadable", "key", row.Key)
		return member.Record{}, false
	}
	age := w.Now().Sub(a.At)
	if a.Record.Address == w.Table.Self().Address {
		return member.Record{}, false
	}
	if age > staleAfter || age < -maxSkew || a.Record.State == member.Leaving {
		return a.Record, false
	}
	w.Table.Apply(a.Record)
	return a.Record, true
}
