package watch

import (
	"cmp"
	"context"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// announceLoop writes this daemon's row at the start and refreshes it. Failed writes are retried with backoff.
func (w *Watch) announceLoop(ctx context.Context) error {
	if !clock.Sleep(ctx, uniform(w.StartSpread)) {
		return nil
	}
	w.awaitFirstRead(ctx)
	var retry backoff
	for {
		err := w.announce(ctx)
		w.announcedOnce.Do(func() { close(w.announced) })
		if err != nil {
			if !retry.sleep(ctx) {
				return nil
			}
			continue
		}
		retry = backoff{}
		if !w.awaitRefresh(ctx, gossip.Jitter(w.Refresh, jitterShare)) {
			return nil
		}
	}
}

// awaitFirstRead waits for the first page of members, which usually holds this daemon's row too and saves a separate read of it.
func (w *Watch) awaitFirstRead(ctx context.Context) {
	if w.OnDepartureRestored == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.firstRead:
	}
}

func (w *Watch) announce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	defer w.requestDepartureWrite()
	if err := w.readOwnRow(ctx); err != nil {
		return err
	}
	w.counters.announcements.Add(1)
	era := w.era()
	self, left, server := w.Table.Self(), w.currentDeparture(), w.currentServer()
	value := announcement{Record: self, At: w.Now(), Departure: left, Server: server, Era: w.historyEra(era)}.encode()
	err := w.Store.Commit(ctx, table.Txn{Puts: []table.Put{{Key: rowKey(self.Address), Value: value}}})
	w.recordOutcome(err)
	if err == nil {
		w.markDeparturePersisted(left, cmp.Or(era, w.era()))
		w.markServerWritten(server)
	}
	return err
}

// Withdraw deletes this daemon's row at a planned stop. The row is kept when it belongs to a later incarnation at the same address, when
// it names a server for the next daemon at this address, or when this daemon has acknowledged a departure, which the next one must honor
// too. A departure that is not in the row is written now, as soon as the store answers: it could not be written before, or the store has
// lost it since.
func (w *Watch) Withdraw(ctx context.Context) error {
	for {
		err := w.withdraw(ctx)
		if err == nil || w.currentDeparture().Server == "" || !clock.Sleep(ctx, gossip.Jitter(departureRetry, jitterShare)) {
			return err
		}
	}
}

func (w *Watch) withdraw(ctx context.Context) error {
	departure, self := w.currentDeparture(), w.Table.Self()
	leaves := departure.Server != ""
	row, err := w.Store.Get(ctx, rowKey(self.Address))
	absent := code.Of(err).Code == code.NotFound
	if err != nil && !absent {
		return err
	}
	held, err := decodeAnnouncement(row.Value)
	switch {
	case err == nil && held.Record.Incarnation > self.Incarnation:
		return nil
	case leaves && err == nil && held.Departure.same(departure):
		return nil
	case leaves, w.currentServer() != "":
		return w.announce(ctx)
	case absent:
		return nil
	}
	return w.Store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
}
