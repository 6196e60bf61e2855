// Package change commits changes of the configuration folder to the platform's table service and reads them back.
package change

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const (
	pageSize = 256
	// maxReadAttempts limits how often the file rows are read because the head changed during the previous read. Changes are
	// seconds apart and a read takes far less, so a few attempts suffice.
	maxReadAttempts = 5
)

// Head is the row that every change replaces conditionally, which puts all changes in one order.
type Head struct {
	Revision  uint64
	ID        string   // of the change that created the revision
	Snapshots []uint64 // revisions of the retained snapshots, ascending; a trimmed log starts after the first

	version string // of the table row; empty before the first change
}

// Reader reads the accepted configuration. Its methods are safe for concurrent use.
type Reader struct {
	Store   table.Store
	Objects object.Store
	Log     logr.Logger
}

// ReadHead reads the head with a single read of the table service. Before the first change the revision is 0.
func (r *Reader) ReadHead(ctx context.Context) (Head, error) {
	row, err := r.Store.Get(ctx, headKey)
	if err != nil {
		if code.Of(err).Code == code.NotFound {
			return Head{}, nil
		}
		return Head{}, err
	}
	head, err := decodeHead(row.Value)
	if err != nil {
		return Head{}, corrupted(err)
	}
	head.version = row.Version
	return head, nil
}

// Changes returns the changes after the revision since, in order. When the log no longer goes back that far, the error has
// the code NotFound and the caller must use Snapshot instead.
func (r *Reader) Changes(ctx context.Context, since uint64) ([]files.Change, error) {
	return r.changes(ctx, since, 0)
}

// changes reads the log after since up to the revision until, or to the end of the log when until is 0. A known end saves
// the read of a last, empty page.
func (r *Reader) changes(ctx context.Context, since, until uint64) ([]files.Change, error) {
	var changes []files.Change
	for last := since; until == 0 || last < until; {
		rows, err := r.Store.Range(ctx, logPrefix, logKey(last), pageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			change, err := decodeChange(row.Value)
			if err != nil {
				return nil, corrupted(err)
			}
			if change.Revision != last+1 {
				return nil, code.NotRunf(code.NotFound, "the log no longer has revision %d", last+1)
			}
			if until > 0 && change.Revision > until {
				break
			}
			last = change.Revision
			changes = append(changes, change)
		}
		if len(rows) == 0 {
			if until > 0 {
				return nil, code.NotRunf(code.NotFound, "the log ends at revision %d, before %d", last, until)
			}
			break
		}
	}
	return changes, nil
}

// Snapshot returns the whole folder at the revision of the current head or a later one.
func (r *Reader) Snapshot(ctx context.Context) (files.Set, error) {
	head, err := r.ReadHead(ctx)
	if err != nil {
		return files.Set{}, err
	}
	return r.load(ctx, head)
}

// load returns the folder at the head's revision, built from the newest snapshot and the log. Both are immutable, so the
// result is consistent without a lock. When the object store is unavailable or the log was trimmed meanwhile, the file rows
// are read instead, and the revision may be later than the head's.
func (r *Reader) load(ctx context.Context, head Head) (files.Set, error) {
	set, err := r.folderAt(ctx, head, head.Revision)
	if err == nil {
		return set, nil
	}
	r.Log.V(1).Info("snapshot-not-read", "revision", head.Revision, "reason", err.Error())
	set, _, err = r.loadFromRows(ctx)
	return set, err
}

// folderAt returns the folder at a revision that the snapshots and the log still cover.
func (r *Reader) folderAt(ctx context.Context, head Head, revision uint64) (files.Set, error) {
	if revision > head.Revision {
		return files.Set{}, code.NotRunf(code.NotFound, "revision %d does not exist: the latest is %d", revision, head.Revision)
	}
	base, err := r.snapshotBefore(ctx, head, revision)
	if err != nil {
		return files.Set{}, err
	}
	changes, err := r.changes(ctx, base.Revision, revision)
	if err != nil {
		return files.Set{}, err
	}
	return replay(base, changes)
}

// snapshotBefore returns the newest snapshot at or below the revision. Without one it returns the empty folder, provided
// that the log has not been trimmed.
func (r *Reader) snapshotBefore(ctx context.Context, head Head, revision uint64) (files.Set, error) {
	newest, found := uint64(0), false
	for _, snapshot := range head.Snapshots {
		if snapshot <= revision {
			newest, found = snapshot, true
		}
	}
	if !found && head.trimmed() {
		return files.Set{}, code.NotRunf(code.NotFound, "revision %d is too old: the history starts at %d", revision, head.Snapshots[0])
	}
	if !found {
		return files.Set{}, nil
	}
	body, err := r.Objects.Get(ctx, snapshotName(newest))
	if err != nil {
		return files.Set{}, err
	}
	set, err := decodeSet(body)
	if err != nil {
		return files.Set{}, corrupted(err)
	}
	return set, nil
}

// trimmed reports whether log rows have been removed, which starts when the list of snapshots is full.
func (h Head) trimmed() bool {
	return len(h.Snapshots) >= SnapshotsKept
}

// loadFromRows reads the file rows page by page, and starts over until the head is the same before and after.
func (r *Reader) loadFromRows(ctx context.Context) (files.Set, Head, error) {
	for range maxReadAttempts {
		before, err := r.ReadHead(ctx)
		if err != nil {
			return files.Set{}, Head{}, err
		}
		list, err := r.readFileRows(ctx)
		if err != nil {
			return files.Set{}, Head{}, err
		}
		after, err := r.ReadHead(ctx)
		if err != nil {
			return files.Set{}, Head{}, err
		}
		if before.version == after.version {
			return files.Set{Revision: after.Revision, Files: list}, after, nil
		}
	}
	return files.Set{}, Head{}, code.NotRunf(code.PlatformUnavailable, "the configuration changed during each of %d reads", maxReadAttempts)
}

func (r *Reader) readFileRows(ctx context.Context) ([]files.File, error) {
	var list []files.File
	for after := filePrefix; ; {
		rows, err := r.Store.Range(ctx, filePrefix, after, pageSize)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			slices.SortFunc(list, func(a, b files.File) int { return cmp.Compare(a.Name, b.Name) })
			return list, nil
		}
		for _, row := range rows {
			list = append(list, files.File{Name: strings.TrimPrefix(row.Key, filePrefix), Content: string(row.Value)})
		}
		after = rows[len(rows)-1].Key
	}
}

func replay(set files.Set, changes []files.Change) (files.Set, error) {
	for _, change := range changes {
		next, err := files.Apply(set, change)
		if err != nil {
			return files.Set{}, err
		}
		set = next
	}
	return set, nil
}

func corrupted(err error) error {
	return code.NotRunf(code.Internal, "cannot decode the stored configuration").WithCause(err)
}
