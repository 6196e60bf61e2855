package change

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	// SnapshotInterval is the number of revisions between snapshots.
	SnapshotInterval = 64
	// SnapshotsKept is the number of retained snapshots. Revisions before the oldest of them can't be shown: the log up to it
	// is trimmed.
	SnapshotsKept = 8
	// DefaultResolveTimeout is how long a writer tries to find out whether a change whose response was lost was accepted.
	DefaultResolveTimeout = 30 * time.Second

	snapshotTimeout  = 2 * time.Second // limits how long a slow object store delays a change
	minBackoff       = 20 * time.Millisecond
	maxBackoff       = time.Second
	maxAttempts      = 100 // to commit one change in competition with concurrent ones
	maxOperatorBytes = 100
	maxTrimRows      = 2 * SnapshotInterval
)

// Writer changes the configuration on behalf of one operator.
type Writer struct {
	Store          table.Store
	Objects        object.Store
	Operator       string // recorded with each change
	Log            logr.Logger
	ResolveTimeout time.Duration // for a lost response; DefaultResolveTimeout when 0
}

// Options of a change.
type Options struct {
	Base   uint64 // revision that the change was made from; the latest one at the start of the call when 0
	DryRun bool   // validate the change and return its result without writing it
}

// Result is the outcome of a change.
type Result struct {
	Revision  uint64 // created by the change; for a dry run or an unchanged folder, the revision it was checked against
	ID        string // of the change; empty if nothing was written
	Unchanged bool   // the folder already had the requested content, so no revision was created
	DryRun    bool
	Put       []string // file names
	Remove    []string // file names
	Effects   []Effect
}

// Effect is a key of the merged configuration whose value a change modifies.
type Effect struct {
	Key    files.ID
	Before string // empty if the key was not set
	After  string // empty if the key is no longer set
	File   string // that sets the key after the change
}

// edit computes the files to put and the names to remove from the folder that a change is based on.
type edit func(base files.Set) (put []files.File, remove []string, err error)

func (w *Writer) reader() *Reader {
	return &Reader{Store: w.Store, Objects: w.Objects, Log: w.Log}
}

// change commits an edit. When a concurrent change is committed first, it validates the edit against the new folder and
// retries; when the response is lost, it finds out whether the change was accepted.
func (w *Writer) change(ctx context.Context, options Options, e edit) (Result, error) {
	if w.Operator == "" || len(w.Operator) > maxOperatorBytes {
		return Result{}, code.NotRunf(code.BadRequest, "the operator name must be 1 to %d bytes long", maxOperatorBytes)
	}
	head, current, err := w.latest(ctx)
	if err != nil {
		return Result{}, err
	}
	base, err := w.baseFolder(ctx, head, current, options.Base)
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
			return Result{}, w.describeConflict(ctx, base, current, err)
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
		if err := waitBackoff(ctx, attempt); err != nil {
			return Result{}, code.NotRunf(code.ChangeConflict, "not accepted: stopped while retrying after concurrent changes").WithCause(err)
		}
		if head, current, err = w.latest(ctx); err != nil {
			return Result{}, err
		}
	}
	return Result{}, code.NotRunf(code.ChangeConflict, "not accepted: concurrent changes were committed first in %d attempts", maxAttempts)
}

// latest returns the current head and the folder at its revision.
func (w *Writer) latest(ctx context.Context) (Head, files.Set, error) {
	reader := w.reader()
	head, err := reader.ReadHead(ctx)
	if err != nil {
		return Head{}, files.Set{}, err
	}
	set, err := reader.folderAt(ctx, head, head.Revision)
	if err == nil {
		return head, set, nil
	}
	set, head, err = reader.loadFromRows(ctx)
	return head, set, err
}

func (w *Writer) baseFolder(ctx context.Context, head Head, current files.Set, revision uint64) (files.Set, error) {
	if revision == 0 || revision == current.Revision {
		return current, nil
	}
	return w.reader().folderAt(ctx, head, revision)
}

// commit writes the plan as the revision after current. It returns false without an error when another change is known to
// have taken that revision.
func (w *Writer) commit(ctx context.Context, head Head, current files.Set, p *plan, id string) (bool, error) {
	next := Head{Revision: current.Revision + 1, ID: id, Snapshots: head.Snapshots}
	txn := table.Txn{Conditions: []table.Condition{{Key: headKey, Version: head.version}}}
	if w.writeSnapshot(ctx, head, current) {
		next.Snapshots, txn.Deletes = w.planTrim(ctx, head, current.Revision)
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
	return w.resolveOutcome(ctx, txn, next, err)
}

// resolveOutcome finds out whether a transaction whose response was lost has been applied. The transaction can only be
// applied while the head has the version in its condition, and it always creates the same revision. Once that revision
// exists, its change id gives the answer; until then the same transaction is sent again.
func (w *Writer) resolveOutcome(ctx context.Context, txn table.Txn, next Head, cause error) (bool, error) {
	w.Log.Info("response-lost", "revision", next.Revision, "change-id", next.ID, "reason", cause.Error())
	limit := w.ResolveTimeout
	if limit == 0 {
		limit = DefaultResolveTimeout
	}
	// The caller's deadline does not apply here, because the change may already be in force.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	for attempt := 0; waitBackoff(ctx, attempt) == nil; attempt++ {
		accepted, known, err := w.findChange(ctx, next)
		if known {
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
	detail := "unknown whether change %s was accepted as revision %d: the platform did not answer within %s; check with config log"
	return false, code.Unknownf(code.PlatformUnavailable, detail, next.ID, next.Revision, limit).WithCause(cause)
}

// findChange reports whether the change was accepted as its revision. The answer is known as soon as the revision exists.
func (w *Writer) findChange(ctx context.Context, next Head) (accepted, known bool, err error) {
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
		detail := "unknown whether change %s was accepted as revision %d: the log row has been trimmed"
		return false, true, code.Unknownf(code.OutcomeUnknown, detail, next.ID, next.Revision)
	}
	change, err := decodeChange(row.Value)
	if err != nil {
		return false, true, corrupted(err)
	}
	return change.ID == next.ID, true, nil
}

// writeSnapshot writes the current folder to the object store when enough revisions have passed since the last snapshot. A
// failure only postpones the snapshot to the next change. Concurrent writers write identical bytes.
func (w *Writer) writeSnapshot(ctx context.Context, head Head, current files.Set) bool {
	lastRevision := uint64(0)
	if len(head.Snapshots) > 0 {
		lastRevision = head.Snapshots[len(head.Snapshots)-1]
	}
	if current.Revision < lastRevision+SnapshotInterval {
		return false
	}
	body, err := encodeSet(current)
	if err == nil {
		putCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		err = w.Objects.Put(putCtx, snapshotName(current.Revision), body)
	}
	if err != nil {
		w.Log.Info("snapshot-failed", "revision", current.Revision, "reason", err.Error())
		return false
	}
	w.Log.V(1).Info("snapshot-written", "revision", current.Revision)
	return true
}

// planTrim returns the list of snapshots including the new one, and the keys of the log rows that the oldest retained
// snapshot covers. One transaction writes the list, the change and the deletions, so a log row is only deleted once the
// snapshot that covers it is listed.
func (w *Writer) planTrim(ctx context.Context, head Head, revision uint64) (kept []uint64, deletes []string) {
	kept = append(append(kept, head.Snapshots...), revision)
	if len(kept) > SnapshotsKept {
		kept = kept[len(kept)-SnapshotsKept:]
	}
	if len(kept) < SnapshotsKept {
		return kept, nil
	}
	rows, err := w.Store.Range(ctx, logPrefix, "", maxTrimRows)
	if err != nil {
		return kept, nil // the rows are deleted with a later snapshot
	}
	for _, row := range rows {
		if row.Key <= logKey(kept[0]) {
			deletes = append(deletes, row.Key)
		}
	}
	return kept, deletes
}

// waitBackoff waits after the given attempt, with full jitter so that concurrent operators do not retry in step.
func waitBackoff(ctx context.Context, attempt int) error {
	ceiling := min(minBackoff<<min(attempt, 10), maxBackoff)
	if !clock.Sleep(ctx, rand.N(ceiling)+1) {
		return ctx.Err()
	}
	return nil
}

func newID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}
