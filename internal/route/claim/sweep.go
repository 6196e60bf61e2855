package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	sweepBatch = 100 // rows per read; a transaction with more deletes could exceed the limits of the table service
	// sweepInterval is the mean time between two reads by the whole fleet, so that sweeps are a small share of the platform's
	// reads per second.
	sweepInterval = 250 * time.Millisecond
	// minSweepInterval limits the reads of each daemon in a small fleet, which has few claims.
	minSweepInterval = 10 * time.Second
	// idleCheckInterval is the mean time between two looks whether claims are in use, and idleSweepOneIn the inverse of the probability
	// that a look leads to a sweep by one of the fleet's daemons. Only rows from before a change of the configuration can be left.
	idleCheckInterval = time.Minute
	idleSweepOneIn    = 10
)

// Run removes expired claims until ctx ends. Each daemon starts at a random row key, so that the daemons together cover all
// rows.
func (c *Claims) Run(ctx context.Context) error {
	c.mu.Lock()
	c.sweepAfter = prefix + string(rune('a'+rand.IntN(26)))
	c.mu.Unlock()
	for {
		daemons := 1
		if c.Daemons != nil {
			daemons = max(c.Daemons(), 1)
		}
		inUse := c.InUse == nil || c.InUse()
		wait := idleCheckInterval
		if inUse {
			wait = max(sweepInterval*time.Duration(daemons), minSweepInterval)
		}
		if !clock.Sleep(ctx, wait/2+rand.N(wait)) {
			return nil
		}
		if inUse || rand.IntN(idleSweepOneIn*daemons) == 0 {
			c.sweep(ctx)
		}
	}
}

// sweep removes the expired claims in the next batch of rows. Each delete requires the version that was read, so that a claim
// taken over in the meantime is kept.
func (c *Claims) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	c.mu.Lock()
	after := c.sweepAfter
	c.mu.Unlock()
	rows, err := c.Store.Range(ctx, prefix, after, sweepBatch)
	if err != nil {
		return
	}
	next := ""
	if len(rows) == sweepBatch {
		next = rows[len(rows)-1].Key
	}
	var txn table.Txn
	now := time.Now()
	for _, row := range rows {
		if stored, err := decode(row.Value); err == nil && stored.expires.Before(now) {
			txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) > 0 && c.Store.Commit(ctx, txn) != nil {
		next = after // retry the batch in the next sweep
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweepAfter = next
	if next != after {
		c.counters.Swept += uint64(len(txn.Deletes))
	}
}
