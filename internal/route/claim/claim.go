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
	MaxKeyBytes = 256
	takeTries   = 3 // writes of one claim; the caller waits for them
	tablePause  = 20 * time.Millisecond
	tableBound  = 2 * time.Second // for one write after the response
	maxPending  = 256             // releases and results in progress; further ones are dropped and logged
	releaseBase = 500 * time.Millisecond
	releaseMax  = time.Minute
	// releaseTries gives up after about ten minutes. A later outage than that leaves the claim until its retention ends.
	releaseTries = 16
)

// Claims takes, releases and finishes claims.
type Claims struct {
	Store   table.Store
	Daemons func() int // number of daemons that share the sweep of expired claims; 1 when nil
	Log     logr.Logger

	mu       sync.Mutex
	pending  int                        // releases and results in progress
	dropped  map[string]ident.RequestID // own claims that are being released, by row key
	sweepAt  string                     // key after which the next sweep begins
	counters Dump
}

// Claim names a claim.
type Claim struct {
	Service     string
	Key         string
	Fingerprint uint64 // hash of what the request asks for; a key may not be used for another request
	ID          ident.RequestID
	Retention   time.Duration
}

func (a Claim) row() string { return prefix + a.Service + "/" + a.Key }

// Result is the response that a repeat of a finished request gets.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
}

// record is a claim as it is stored.
type record struct {
	id      ident.RequestID
	print   uint64
	expires time.Time
	result  *Result // nil until the request has finished
}

// Take claims the key for a request that has not run yet. It returns the stored result when an earlier request with the
// key has finished. Its errors prove that this request did not run, except AlreadyClaimed, where the earlier one may run.
//
// When the response of the write is lost, the row is read back: the own id in it means claimed. When it cannot be read,
// the request does not run and the claim is released in the background. A repeat through this daemon takes the claim
// over at once, because this daemon knows that nothing ran under it. A repeat through another daemon is answered with
// AlreadyClaimed until the release has reached the table, as the row does not show there that nothing runs.
func (c *Claims) Take(ctx context.Context, ask Claim) (*Result, error) {
	if len(ask.Key) > MaxKeyBytes {
		return nil, code.NotRunf(code.BadRequest, "the idempotency key has %d bytes, at most %d are allowed", len(ask.Key), MaxKeyBytes)
	}
	value := encode(record{id: ask.ID, print: ask.Fingerprint, expires: time.Now().Add(ask.Retention)})
	var last *code.Error
	var uncertain bool // a write may have taken effect
	expect := ""       // version of the row that the claim replaces; empty for a missing row
	for try := range takeTries {
		if try > 0 && !pause(ctx, tablePause) {
			break
		}
		err := c.Store.Commit(ctx, table.Txn{
			Conditions: []table.Condition{{Key: ask.row(), Version: expect}},
			Puts:       []table.Put{{Key: ask.row(), Value: value}},
		})
		if err == nil {
			c.taken(ask)
			return nil, nil
		}
		last = code.Of(err)
		if last.Code != code.ChangeConflict && last.Outcome == code.NotRun {
			continue
		}
		uncertain = uncertain || last.Code != code.ChangeConflict
		row, err := c.Store.Get(ctx, ask.row())
		if err != nil {
			last = code.Of(err)
			if last.Code == code.NotFound {
				expect = ""
			}
			continue
		}
		found, err := decode(row.Value)
		if err != nil {
			return nil, code.NotRunf(code.ClaimUnavailable, "the claim of this key cannot be read").WithCause(err)
		}
		if found.id == ask.ID {
			c.taken(ask)
			return nil, nil
		}
		if found.expires.After(time.Now()) && !c.isDropped(ask.row(), found.id) {
			return repeat(ask, found)
		}
		expect = row.Version
	}
	if uncertain {
		c.release(ask, 2) // the write may also arrive after the first look
	}
	c.count(func(d *Dump) { d.Unavailable++ })
	return nil, code.NotRunf(code.ClaimUnavailable, "the key could not be claimed in the platform's table").WithCause(last)
}

// repeat answers a request whose key is claimed by another one.
func repeat(ask Claim, found record) (*Result, error) {
	if found.print != ask.Fingerprint {
		return nil, code.NotRunf(code.BadRequest, "the idempotency key was used for another request")
	}
	if found.result == nil {
		return nil, code.Unknownf(code.AlreadyClaimed, "request %s has claimed the key and has no stored result", found.id)
	}
	return found.result, nil
}

func (c *Claims) taken(ask Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counters.Taken++
	delete(c.dropped, ask.row())
}

func (c *Claims) isDropped(row string, id ident.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	dropped, ok := c.dropped[row]
	return ok && dropped == id
}

func (c *Claims) count(change func(*Dump)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counters)
}

// begin reserves a place among the writes that go on after a response.
func (c *Claims) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending >= maxPending {
		return false
	}
	c.pending++
	return true
}

func (c *Claims) end() {
	c.count(func(*Dump) { c.pending-- })
}

// Release removes the claim of a request that certainly did not run. It returns at once.
func (c *Claims) Release(ask Claim) {
	c.release(ask, 1)
}

// release looks until it has found the claim gone as often as looks says.
func (c *Claims) release(ask Claim, looks int) {
	if !c.begin() {
		c.Log.Info("claim-release-dropped", "service", ask.Service, "request", ask.ID.String())
		return
	}
	c.mu.Lock()
	if c.dropped == nil {
		c.dropped = make(map[string]ident.RequestID)
	}
	c.dropped[ask.row()] = ask.ID
	c.mu.Unlock()
	go func() {
		defer c.end()
		wait := releaseBase
		for range releaseTries {
			if c.remove(ask) {
				looks--
			}
			if looks == 0 {
				break
			}
			time.Sleep(wait/2 + rand.N(wait))
			wait = min(2*wait, releaseMax)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.dropped[ask.row()] == ask.ID {
			delete(c.dropped, ask.row())
		}
	}()
}

// remove deletes the row when it still holds the claim, and reports whether the claim is gone.
func (c *Claims) remove(ask Claim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tableBound)
	defer cancel()
	row, err := c.Store.Get(ctx, ask.row())
	if err != nil {
		return code.Of(err).Code == code.NotFound
	}
	found, err := decode(row.Value)
	if err != nil || found.id != ask.ID {
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
func (c *Claims) Finish(ask Claim, result Result) {
	value := encode(record{id: ask.ID, print: ask.Fingerprint, expires: time.Now().Add(ask.Retention), result: &result})
	if len(value) > MaxRowBytes || !c.begin() {
		return
	}
	go func() {
		defer c.end()
		ctx, cancel := context.WithTimeout(context.Background(), tableBound)
		defer cancel()
		row, err := c.Store.Get(ctx, ask.row())
		if err != nil {
			return
		}
		if found, err := decode(row.Value); err != nil || found.id != ask.ID {
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

func pause(ctx context.Context, d time.Duration) bool {
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
