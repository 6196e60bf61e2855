// Package claim keeps claims of idempotency keys in the platform's table, so that a request with a key runs at most once
// also when its caller repeats it through another daemon.
package claim

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	prefix = "claim/"
	// MaxRowBytes bounds the stored result with its claim. A larger result is not stored, and a repeat gets outcome unknown.
	MaxRowBytes = 4 << 10
	// MaxKeyBytes bounds an idempotency key, which becomes part of a row's key.
	MaxKeyBytes       = 256
	maxTakeAttempts   = 3 // writes of one claim; the caller waits for them
	takeRetryDelay    = 20 * time.Millisecond
	tableTimeout      = 2 * time.Second // for one write after the response
	maxPending        = 256             // releases and results in progress; further ones are dropped and logged
	releaseMinBackoff = 500 * time.Millisecond
	releaseMaxBackoff = time.Minute
	// maxReleaseAttempts gives up after about ten minutes. A later outage than that leaves the claim until its retention ends.
	maxReleaseAttempts = 16
)

// Claims takes, releases and finishes claims.
type Claims struct {
	Store   table.Store
	Daemons func() int // number of daemons that share the sweep of expired claims; 1 when nil
	Log     logr.Logger

	mu         sync.Mutex
	pending    int                        // releases and results in progress
	releasing  map[string]ident.RequestID // own claims that are being released, by row key
	sweepAfter string                     // key after which the next sweep begins
	counters   Dump
}

// Claim names a claim.
type Claim struct {
	Service     string
	Key         string
	Fingerprint uint64 // hash of what the request asks for; a key may not be used for another request
	ID          ident.RequestID
	Retention   time.Duration
}

func (c Claim) rowKey() string { return prefix + c.Service + "/" + c.Key }

// Result is the response that a repeat of a finished request gets.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
}

// record is a claim as it is stored.
type record struct {
	id          ident.RequestID
	fingerprint uint64
	expires     time.Time
	result      *Result // nil until the request has finished
}

// Take claims the key for a request that has not run yet. It returns the stored result when an earlier request with the
// key has finished. Its errors prove that this request did not run, except AlreadyClaimed, where the earlier one may run.
//
// When the response of the write is lost, the row is read back: the own id in it means claimed. When it cannot be read,
// the request does not run and the claim is released in the background. A repeat through this daemon takes the claim
// over at once, because this daemon knows that nothing ran under it. A repeat through another daemon is answered with
// AlreadyClaimed until the release has reached the table, as the row does not show there that nothing runs.
func (c *Claims) Take(ctx context.Context, claim Claim) (*Result, error) {
	if len(claim.Key) > MaxKeyBytes {
		return nil, code.NotRunf(code.BadRequest, "the idempotency key has %d bytes, at most %d are allowed", len(claim.Key), MaxKeyBytes)
	}
	value := encode(record{id: claim.ID, fingerprint: claim.Fingerprint, expires: time.Now().Add(claim.Retention)})
	var lastErr *code.Error
	var uncertain bool    // a write may have taken effect
	expectedVersion := "" // version of the row that the claim replaces; empty for a missing row
	for attempt := range maxTakeAttempts {
		if attempt > 0 && !sleep(ctx, takeRetryDelay) {
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
			return nil, code.NotRunf(code.ClaimUnavailable, "the claim of this key cannot be read").WithCause(err)
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
		c.release(claim, 2) // the write may also arrive after the first look
	}
	c.count(func(d *Dump) { d.Unavailable++ })
	return nil, code.NotRunf(code.ClaimUnavailable, "the key could not be claimed in the platform's table").WithCause(lastErr)
}

// repeatResult answers a request whose key is claimed by another one.
func repeatResult(claim Claim, stored record) (*Result, error) {
	if stored.fingerprint != claim.Fingerprint {
		return nil, code.NotRunf(code.BadRequest, "the idempotency key was used for another request")
	}
	if stored.result == nil {
		return nil, code.Unknownf(code.AlreadyClaimed, "request %s has claimed the key and has no stored result", stored.id)
	}
	return stored.result, nil
}

func (c *Claims) recordTaken(claim Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Taken++
	delete(c.releasing, claim.rowKey())
}

func (c *Claims) isReleasing(row string, id ident.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	releasing, ok := c.releasing[row]
	return ok && releasing == id
}

func (c *Claims) count(change func(*Dump)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counters)
}

// beginBackground reserves a place among the writes that go on after a response.
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

// Release removes the claim of a request that certainly did not run. It returns at once.
func (c *Claims) Release(claim Claim) {
	c.release(claim, 1)
}

// release looks until it has found the claim gone as often as looks says.
func (c *Claims) release(claim Claim, confirmations int) {
	if !c.beginBackground() {
		c.Log.Info("claim-release-dropped", "service", claim.Service, "request", claim.ID.String())
		return
	}
	c.mu.Lock()
	if c.releasing == nil {
		c.releasing = make(map[string]ident.RequestID)
	}
	c.releasing[claim.rowKey()] = claim.ID
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
		if c.releasing[claim.rowKey()] == claim.ID {
			delete(c.releasing, claim.rowKey())
		}
	}()
}

// remove deletes the row when it still holds the claim, and reports whether the claim is gone.
func (c *Claims) remove(claim Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	row, err := c.Store.Get(ctx, claim.rowKey())
	if err != nil {
		return code.Of(err).Code == code.NotFound
	}
	found, err := decode(row.Value)
	if err != nil || found.id != claim.ID {
		return true
	}
	err = c.Store.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{Key: row.Key, Version: row.Version}},
		Deletes:    []string{row.Key},
	})
	if err != nil {
		return false // the next try finds out whether the delete took effect
	}
	c.count(func(d *Dump) { d.Released++ })
	return true
}

// Finish stores the result of a request for its repeats. It returns at once; a result that is too large or cannot be
// written is left out, and repeats get outcome unknown.
func (c *Claims) Finish(claim Claim, result Result) {
	value := encode(record{id: claim.ID, fingerprint: claim.Fingerprint, expires: time.Now().Add(claim.Retention), result: &result})
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
		if found, err := decode(row.Value); err != nil || found.id != claim.ID {
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

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Dump counts what became of claims.
type Dump struct {
	Taken       uint64
	Released    uint64
	Finished    uint64 // results stored
	Unavailable uint64 // requests refused because the table could not be reached
	Swept       uint64 // expired claims removed
	Pending     int    // writes in progress after a response
}

// Dump returns the state for the state dump.
func (c *Claims) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	dump := c.counters
	dump.Pending = c.pending
	return dump
}
