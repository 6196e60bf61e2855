// Package claim records in the platform's table service which request owns an idempotency key, so that a request with a key
// runs at most once, even if its caller repeats it through another daemon.
package claim

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	prefix = "claim/"
	// MaxRowBytes is the maximum size of a claim with its result. A larger result is not stored, and a repeated request gets
	// outcome unknown.
	MaxRowBytes = 4 << 10
	// MaxKeyBytes is the maximum length of an idempotency key, which becomes part of the row key.
	MaxKeyBytes       = 256
	maxTakeAttempts   = 3 // writes of one claim, which the caller waits for
	takeRetryDelay    = 20 * time.Millisecond
	tableTimeout      = 2 * time.Second // for one write in the background, and for one sweep
	maxPending        = 256             // background writes in progress; further releases are dropped and logged, further results are dropped
	releaseMinBackoff = 500 * time.Millisecond
	releaseMaxBackoff = time.Minute
	// maxReleaseAttempts is reached after about ten minutes. In a longer outage of the table service, the claim remains until
	// its retention ends.
	maxReleaseAttempts = 16
)

// Claims takes claims, releases them, stores their results and removes expired ones.
type Claims struct {
	Store   table.Store
	Daemons func() int  // number of daemons that share the removal of expired claims; 1 when nil
	InUse   func() bool // whether a service claims keys; always when nil
	Log     logr.Logger

	mu          sync.Mutex
	pending     int                        // background writes in progress
	releasingID map[string]ident.RequestID // claims of this daemon that are being released, by row key
	sweepAfter  string                     // row key after which the next sweep begins
	counters    Dump
}

// Claim identifies a claim: the key, the request that claims it, and what is stored with it.
type Claim struct {
	Service     string
	Key         string
	Fingerprint uint64 // hash that identifies what is requested; a key must not be reused for a different request
	ID          ident.RequestID
	Retention   time.Duration
}

func (c Claim) rowKey() string { return prefix + c.Service + "/" + c.Key }

// Result is the stored response of a finished request, returned to its repeats.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
}

// record is the content of a claim's row.
type record struct {
	id      ident.RequestID
	print   uint64 // Claim.Fingerprint
	expires time.Time
	result  *Result // nil until the request has finished
}

// Take claims the key for a request that has not run yet. It returns the stored result if an earlier request with the key
// has finished. An error means that this request has not run. With AlreadyClaimed, the earlier request may have run or be
// running.
//
// If the response to the write is lost, the row is read back: the key is claimed if the row holds the ID of this request.
// If the row cannot be read, the request does not run and the claim is released in the background. A repeat through this
// daemon takes the claim over at once, because this daemon knows that nothing ran under it. A repeat through another daemon
// gets AlreadyClaimed until the release has reached the table, because the row does not show that nothing ran.
func (c *Claims) Take(ctx context.Context, claim Claim) (*Result, error) {
	if len(claim.Key) > MaxKeyBytes {
		return nil, code.NotRunf(code.BadRequest, "idempotency key of %d bytes exceeds the limit of %d bytes", len(claim.Key), MaxKeyBytes)
	}
	value := encode(record{id: claim.ID, print: claim.Fingerprint, expires: time.Now().Add(claim.Retention)})
	var lastErr *code.Error
	var uncertain bool    // a write may have taken effect
	expectedVersion := "" // version of the row to be replaced; empty if there is none
	for attempt := range maxTakeAttempts {
		if attempt > 0 && !clock.Sleep(ctx, takeRetryDelay) {
			break
		}
		err := c.Store.Commit(ctx, table.Txn{
			Conditions: []table.Condition{{Key: claim.rowKey(), Version: expectedVersion}},
			Puts:       []table.Put{{Key: claim.rowKey(), Value: value}},
		})
		if err == nil {
			c.recordTaken(claim)
			return nil, nil
		}
		lastErr = code.Of(err)
		if lastErr.Code != code.ChangeConflict && lastErr.Outcome == code.NotRun {
			continue
		}
		uncertain = uncertain || lastErr.Code != code.ChangeConflict
		row, err := c.Store.Get(ctx, claim.rowKey())
		if err != nil {
			lastErr = code.Of(err)
			if lastErr.Code == code.NotFound {
				expectedVersion = ""
			}
			continue
		}
		stored, err := decode(row.Value)
		if err != nil {
			return nil, code.NotRunf(code.ClaimUnavailable, "could not decode the existing claim of the idempotency key").WithCause(err)
		}
		if stored.id == claim.ID {
			c.recordTaken(claim)
			return nil, nil
		}
		if stored.expires.After(time.Now()) && !c.isReleasing(claim.rowKey(), stored.id) {
			return repeatResult(claim, stored)
		}
		expectedVersion = row.Version
	}
	if uncertain {
		c.release(claim, 2) // the uncertain write may take effect after the first check
	}
	c.count(func(d *Dump) { d.Unavailable++ })
	return nil, code.NotRunf(code.ClaimUnavailable, "could not claim the idempotency key in the table service").WithCause(lastErr)
}

// repeatResult returns the outcome for a request whose key is claimed by an earlier request.
func repeatResult(claim Claim, stored record) (*Result, error) {
	if stored.print != claim.Fingerprint {
		return nil, code.NotRunf(code.BadRequest, "idempotency key was already used for a different request")
	}
	if stored.result == nil {
		return nil, code.Unknownf(code.AlreadyClaimed, "idempotency key is claimed by request %s, which has no stored result", stored.id)
	}
	return stored.result, nil
}

func (c *Claims) recordTaken(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Taken++
	delete(c.releasingID, claim.rowKey())
}

func (c *Claims) isReleasing(rowKey string, id ident.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	releasingID, ok := c.releasingID[rowKey]
	return ok && releasingID == id
}

func (c *Claims) count(change func(*Dump)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counters)
}

// beginBackground reports whether another background write may start, and counts it as pending.
func (c *Claims) beginBackground() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending >= maxPending {
		return false
	}
	c.pending++
	return true
}

func (c *Claims) endBackground() {
	c.count(func(*Dump) { c.pending-- })
}

// Release removes the claim of a request that is known not to have run. It does not block.
func (c *Claims) Release(claim Claim) {
	c.release(claim, 1)
}

// release retries until it has found the claim removed as many times as confirmations says.
func (c *Claims) release(claim Claim, confirmations int) {
	if !c.beginBackground() {
		c.Log.Info("claim-release-dropped", "service", claim.Service, "request", claim.ID.String())
		return
	}
	c.mu.Lock()
	if c.releasingID == nil {
		c.releasingID = make(map[string]ident.RequestID)
	}
	c.releasingID[claim.rowKey()] = claim.ID
	c.mu.Unlock()
	go func() {
		defer c.endBackground()
		backoff := releaseMinBackoff
		for range maxReleaseAttempts {
			if c.remove(claim) {
				confirmations--
			}
			if confirmations == 0 {
				break
			}
			time.Sleep(backoff/2 + rand.N(backoff))
			backoff = min(2*backoff, releaseMaxBackoff)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.releasingID[claim.rowKey()] == claim.ID {
			delete(c.releasingID, claim.rowKey())
		}
	}()
}

// remove deletes the row if it still holds the claim, and reports whether the table no longer holds it.
func (c *Claims) remove(claim Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	row, err := c.Store.Get(ctx, claim.rowKey())
	if err != nil {
		return code.Of(err).Code == code.NotFound
	}
	stored, err := decode(row.Value)
	if err != nil || stored.id != claim.ID {
		return true
	}
	err = c.Store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
	if err != nil {
		return false // the next attempt finds out whether the delete took effect
	}
	c.count(func(d *Dump) { d.Released++ })
	return true
}

// Finish stores the result of a request for its repeats. It does not block. A result that is too large or cannot be written
// is dropped, and repeats get outcome unknown.
func (c *Claims) Finish(claim Claim, result Result) {
	value := encode(record{id: claim.ID, print: claim.Fingerprint, expires: time.Now().Add(claim.Retention), result: &result})
	if len(value) > MaxRowBytes || !c.beginBackground() {
		return
	}
	go func() {
		defer c.endBackground()
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		row, err := c.Store.Get(ctx, claim.rowKey())
		if err != nil {
			return
		}
		if stored, err := decode(row.Value); err != nil || stored.id != claim.ID {
			return
		}
		err = c.Store.Commit(ctx, table.Txn{
			Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
			Puts:       []table.Put{{Key: row.Key, Value: value}},
		})
		if err == nil {
			c.count(func(d *Dump) { d.Finished++ })
		}
	}()
}

// Dump is the part of the state dump about claims, counted since the start except for Pending.
type Dump struct {
	Taken       uint64
	Released    uint64
	Finished    uint64 // results stored
	Unavailable uint64 // requests rejected because the table service could not be reached
	Swept       uint64 // expired claims removed
	Pending     int    // background writes in progress
}

// Dump returns the state for the state dump.
func (c *Claims) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	dump := c.counters
	dump.Pending = c.pending
	return dump
}
