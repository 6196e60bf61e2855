package change

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	// SnapshotInterval is the number of revisions between snapshots.
	SnapshotInterval = 64
	// SnapshotsKept is the number of snapshots whose revisions can be shown; the log is trimmed below the first of them.
	SnapshotsKept = 8
	// DefaultResolveTimeout is how long a writer tries to learn the fate of a change whose response was lost.
	DefaultResolveTimeout = 30 * time.Second

	snapshotTimeout  = 2 * time.Second // a slow object store delays a change by no more than this
	firstBackoff     = 20 * time.Millisecond
	lastBackoff      = time.Second
	maxAttempts      = 100 // of one change against racing ones
	maxOperatorBytes = 100
	trimRows         = 2 * SnapshotInterval
)

// Writer changes the configuration for one operator.
type Writer struct {
	Store          table.Store
	Objects        object.Store
	Operator       string // recorded with each change
	Log            logr.Logger
	ResolveTimeout time.Duration // 0: DefaultResolve
}

// Options of a change.
type Options struct {
	Base   uint64 // revision that the change was made from; 0: the latest one when the call starts
	DryRun bool   // check the change and return its result without writing it
}

// Result tells what became of a change.
type Result struct {
	Revision  uint64 // that has the change in force; of a dry run, the revision it was checked against
	ID        string // of the change; empty when nothing was written
	Unchanged bool   // the folder already was as asked, so that no revision was made
	DryRun    bool
	Put       []string // names
	Remove    []string // names
	Effects   []Effect
}

// Effect is a key of the merged configuration that a change gives another value.
type Effect struct {
	Key    files.ID
	Before string // empty when it was not set
	After  string // empty when it is no longer set
	File   string // that sets it afterwards
}

// edit computes the files to put and the names to remove from the folder that a change is based on.
type edit func(base files.Set) (put []files.File, remove []string, err error)

func (w *Writer) reader() *Reader {
	return &Reader{Store: w.Store, Objects: w.Objects, Log: w.Log}
}

// change carries an edit through: it commits, merges with racing changes, and resolves lost responses.
func (w *Writer) change(ctx context.Context, options Options, e edit) (Result, error) {
	if w.Operator == "" || len(w.Operator) > maxOperatorBytes {
		return Result{}, code.NotRunf(code.BadRequest, "the operator's name must have 1 to %d bytes", maxOperatorBytes)
	}
	head, current, err := w.latest(ctx)
	if err != nil {
		return Result{}, err
	}
	base, err := w.base(ctx, head, current, options.Base)
	if err != nil {
		return Result{}, err
	}
	put, remove, err := e(base)
	if err != nil {
		return Result{}, err
	}
	id := newID()
	for attempt := range maxAttempts {
		p, err := newPlan(base, current, put, remove)
		if err != nil {
			return Result{}, w.blame(ctx, base, current, err)
		}
		if options.DryRun || p.unchanged() {
			return p.result(current.Revision, "", options.DryRun), nil
		}
		accepted, err := w.commit(ctx, head, current, p, id)
		if err != nil {
			return Result{}, err
		}
		if accepted {
			w.Log.Info("change-accepted", "revision", current.Revision+1, "change-id", id, "operator", w.Operator)
			return p.result(current.Revision+1, id, false), nil
		}
		w.Log.V(1).Info("change-raced", "revision", current.Revision+1, "change-id", id)
		if err := backOff(ctx, attempt); err != nil {
			return Result{}, code.NotRunf(code.ChangeConflict, "not accepted: other changes kept coming first").WithCause(err)
		}
		if head, current, err = w.latest(ctx); err != nil {
			return Result{}, err
		}
	}
	return Result{}, code.NotRunf(code.ChangeConflict, "not accepted: other changes came first %d times", maxAttempts)
}

// latest returns the head and the folder at its revision.
func (w *Writer) latest(ctx context.Context) (Head, files.Set, error) {
	reader := w.reader()
	head, err := reader.ReadHead(ctx)
	if err != nil {
		return Head{}, files.Set{}, err
	}
	set, err := reader.at(ctx, head, head.Revision)
	if err == nil {
		return head, set, nil
	}
	set, head, err = reader.fromRows(ctx)
	return head, set, err
}

func (w *Writer) base(ctx context.Context, head Head, current files.Set, revision uint64) (files.Set, error) {
	if revision == 0 || revision == current.Revision {
		return current, nil
	}
	return w.reader().at(ctx, head, revision)
}

// commit writes the plan as the revision after current. It returns false without an error when another change has taken
// that revision, which is certain then.
func (w *Writer) commit(ctx context.Context, head Head, current files.Set, p *plan, id string) (bool, error) {
	next := Head{Revision: current.Revision + 1, ID: id, Snapshots: head.Snapshots}
	txn := table.Txn{Conditions: []table.Condition{{Key: headKey, Version: head.version}}}
	if w.snapshot(ctx, head, current) {
		next.Snapshots, txn.Deletes = w.trim(ctx, head, current.Revision)
	}
	body, err := encodeHead(next)
	if err != nil {
		return false, err
	}
	change := files.Change{
		Revision: next.Revision,
		ID:       id,
		Operator: w.Operator,
		At:       time.Now().UTC(),
		Put:      p.put,
		Remove:   p.remove,
	}
	row, err := encodeChange(change)
	if err != nil {
		return false, err
	}
	txn.Puts = []table.Put{{Key: headKey, Value: body}, {Key: logKey(next.Revision), Value: row}}
	for _, file := range p.put {
		txn.Puts = append(txn.Puts, table.Put{Key: filePrefix + file.Name, Value: []byte(file.Content)})
	}
	for _, name := range p.remove {
		txn.Deletes = append(txn.Deletes, filePrefix+name)
	}
	err = w.Store.Commit(ctx, txn)
	failure := code.Of(err)
	switch {
	case err == nil:
		return true, nil
	case failure.Code == code.ChangeConflict:
		return false, nil
	case failure.Outcome == code.NotRun:
		return false, err
	}
	return w.settle(ctx, txn, next, err)
}

// settle learns the fate of a transaction whose response was lost. The transaction can only be applied while the head has
// the version in its condition, and it makes a fixed revision. So once that revision exists, its change id decides; until
// then the same transaction is sent again.
func (w *Writer) settle(ctx context.Context, txn table.Txn, next Head, cause error) (bool, error) {
	w.Log.Info("response-lost", "revision", next.Revision, "change-id", next.ID, "reason", cause.Error())
	limit := w.ResolveTimeout
	if limit == 0 {
		limit = DefaultResolveTimeout
	}
	// The caller's deadline must not cut the resolution short: its change may already be in force.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	for attempt := 0; backOff(ctx, attempt) == nil; attempt++ {
		accepted, certain, err := w.lookUp(ctx, next)
		if certain {
			return accepted, err
		}
		if err != nil {
			cause = err
			continue
		}
		if err := w.Store.Commit(ctx, txn); err == nil {
			return true, nil
		} else if code.Of(err).Code != code.ChangeConflict {
			cause = err
		}
	}
	detail := "change %s may or may not be accepted as revision %d: the platform did not answer within %s; look it up with config log"
	return false, code.Unknownf(code.PlatformUnavailable, detail, next.ID, next.Revision, limit).WithCause(cause)
}

// lookUp reports whether the change has become its revision. It is certain once any change has.
func (w *Writer) lookUp(ctx context.Context, next Head) (accepted, certain bool, err error) {
	reader := w.reader()
	head, err := reader.ReadHead(ctx)
	if err != nil {
		return false, false, err
	}
	if head.Revision < next.Revision {
		return false, false, nil
	}
	if head.Revision == next.Revision {
		return head.ID == next.ID, true, nil
	}
	row, err := w.Store.Get(ctx, logKey(next.Revision))
	if err != nil {
		if code.Of(err).Code != code.NotFound {
			return false, false, err
		}
		detail := "change %s may or may not be accepted as revision %d: the log row has been trimmed"
		return false, true, code.Unknownf(code.OutcomeUnknown, detail, next.ID, next.Revision)
	}
	change, err := decodeChange(row.Value)
	if err != nil {
		return false, true, damaged(err)
	}
	return change.ID == next.ID, true, nil
}

// snapshot writes the current folder to the object store when enough revisions have passed since the last snapshot. A
// failure only puts the snapshot off until the next change. Racing writers write the same bytes.
func (w *Writer) snapshot(ctx context.Context, head Head, current files.Set) bool {
	last := uint64(0)
	if len(head.Snapshots) > 0 {
		last = head.Snapshots[len(head.Snapshots)-1]
	}
	if current.Revision < last+SnapshotInterval {
		return false
	}
	body, err := encodeSet(current)
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		err = w.Objects.Put(limited, snapshotName(current.Revision), body)
	}
	if err != nil {
		w.Log.Info("snapshot-failed", "revision", current.Revision, "reason", err.Error())
		return false
	}
	w.Log.V(1).Info("snapshot-written", "revision", current.Revision)
	return true
}

// trim returns the list of snapshots with the new one, and the keys of the log rows that no kept snapshot needs. The
// change's own transaction writes both, so that a log row goes only when the snapshot that covers it is listed.
func (w *Writer) trim(ctx context.Context, head Head, revision uint64) (kept []uint64, deletes []string) {
	kept = append(append(kept, head.Snapshots...), revision)
	if len(kept) > SnapshotsKept {
		kept = kept[len(kept)-SnapshotsKept:]
	}
	if len(kept) < SnapshotsKept {
		return kept, nil
	}
	rows, err := w.Store.Range(ctx, logPrefix, "", trimRows)
	if err != nil {
		return kept, nil // the rows are trimmed with a later snapshot
	}
	for _, row := range rows {
		if row.Key <= logKey(kept[0]) {
			deletes = append(deletes, row.Key)
		}
	}
	return kept, deletes
}

// backOff waits before the attempt after the given one, with full jitter so that racing operators spread.
func backOff(ctx context.Context, attempt int) error {
	ceiling := min(firstBackoff<<min(attempt, 10), lastBackoff)
	timer := time.NewTimer(rand.N(ceiling) + 1)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func newID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}
