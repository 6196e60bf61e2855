package coord

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
)

// rowPrefix is followed by the service in the key of its row.
const rowPrefix = "rollout/"

// rowTimeout bounds one access to the table. It is below storeTimeout, so that one slow request does not make the coordinator step down.
const rowTimeout = time.Second

// rowJSON is the value of the row.
type rowJSON struct {
	Service string `json:"service"`
	Order   uint64 `json:"order"`
	Era     uint64 `json:"era,omitempty"` // of the table when it gave the order its number
	Target  string `json:"target"`
	Phase   string `json:"phase"`
}

// result is what an access to the row has shown.
type result struct {
	reached    bool // the table has answered
	found      bool // the row is that of the order, in phase
	phase      phase.Phase
	superseded bool // the row is that of a later order
	created    bool // this access has written the first phase
	asked      time.Time
}

// row accesses the row of a roll-out, one access at a time and in the background, because the table may be slow for seconds.
type row struct {
	store      table.Store
	service    string
	era        uint64 // of the table when it gave the order its number
	statusRow  StatusRow
	counters   *counters
	background *sync.WaitGroup

	mu        sync.Mutex
	busy      bool
	started   time.Time
	reachedAt time.Time // zero before the first answer
	last      result
	fresh     bool // last has not been taken yet
}

// reachedWithin reports whether the table has answered within the time.
func (r *row) reachedWithin(now time.Time, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.reachedAt.IsZero() && now.Sub(r.reachedAt) <= within
}

// idleFor reports whether the last access began at least the time ago and none is in progress.
func (r *row) idleFor(now time.Time, interval time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.busy && now.Sub(r.started) >= interval
}

// take returns the result of the last access, once.
func (r *row) take() (result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := r.fresh
	r.fresh = false
	return r.last, fresh
}

// read starts to read the row unless an access is in progress.
func (r *row) read(ctx context.Context, ordered config.Rollout) {
	r.start(ctx, func(ctx context.Context) (result, error) {
		found, _, err := r.get(ctx, ordered)
		return found, err
	})
}

// advance starts to write the phase unless an access is in progress.
func (r *row) advance(ctx context.Context, ordered config.Rollout, next phase.Phase) {
	r.start(ctx, func(ctx context.Context) (result, error) { return r.write(ctx, ordered, next) })
}

func (r *row) start(ctx context.Context, access func(ctx context.Context) (result, error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy {
		return
	}
	r.busy, r.started = true, time.Now()
	r.background.Go(func() {
		accessCtx, cancel := context.WithTimeout(ctx, rowTimeout)
		defer cancel()
		got, err := access(accessCtx)
		r.finish(got, err)
	})
}

func (r *row) finish(got result, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
	if got.reached {
		r.reachedAt = time.Now()
	}
	if err != nil {
		r.counters.storeFailures.Add(1)
		return
	}
	got.asked = r.started
	r.last, r.fresh = got, true
}

// get reads the row. The version is empty when there is no row.
func (r *row) get(ctx context.Context, ordered config.Rollout) (result, string, error) {
	read, err := r.store.Get(ctx, rowPrefix+r.service)
	if err != nil {
		if code.Of(err).Code == code.NotFound {
			return result{reached: true}, "", nil
		}
		return result{}, "", err
	}
	got := result{reached: true}
	var value rowJSON
	if json.Unmarshal(read.Value, &value) != nil {
		return got, read.Version, nil // a row that cannot be read is replaced
	}
	at, valid := phase.Parse(value.Phase)
	switch {
	case value.Order == ordered.Order && value.Target == ordered.Target:
		got.found, got.phase = valid, at
	case value.Era > r.era, value.Era == r.era && value.Order > ordered.Order:
		got.superseded = true
	}
	return got, read.Version, nil
}

// write writes the phase unless the row has it already, or a later one. After a lost response, or when another coordinator has written
// first, the row is read again: it shows what took effect.
func (r *row) write(ctx context.Context, ordered config.Rollout, next phase.Phase) (result, error) {
	got, version, err := r.get(ctx, ordered)
	if err != nil || got.superseded || got.found && (got.phase >= next || got.phase.Final()) {
		return got, err
	}
	txn, err := r.transaction(ordered, next, version)
	if err != nil {
		return got, err
	}
	err = r.store.Commit(ctx, txn)
	if err == nil {
		r.counters.writes.Add(1)
		return result{reached: true, found: true, phase: next, created: !got.found}, nil
	}
	failed := code.Of(err)
	if failed.Code != code.ChangeConflict && failed.Outcome == code.NotRun {
		return result{}, err
	}
	got, _, err = r.get(ctx, ordered)
	return got, err
}

func (r *row) transaction(ordered config.Rollout, next phase.Phase, version string) (table.Txn, error) {
	key := rowPrefix + r.service
	value, err := json.Marshal(rowJSON{Service: r.service, Order: ordered.Order, Era: r.era, Target: ordered.Target, Phase: next.String()})
	if err != nil {
		return table.Txn{}, code.NotRunf(code.Internal, "encode the row of a roll-out").WithCause(err)
	}
	txn := table.Txn{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Puts:       []table.Put{{Key: key, Value: value}},
	}
	if r.statusRow != nil {
		statusKey, status := r.statusRow(r.service, ordered.Target, next)
		txn.Puts = append(txn.Puts, table.Put{Key: statusKey, Value: status})
	}
	return txn, nil
}
