package fake

import (
	"context"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

var (
	_ table.Store  = (*Table)(nil)
	_ object.Store = (*Store)(nil)
)

// The limits of one page of a range read.
const (
	MaxPageRows  = 1000
	MaxPageBytes = 1 << 20 // the row that reaches this size is the last one of its page
)

// Platform holds both stores and the faults that they share.
type Platform struct {
	Faults  *Faults
	Table   *Table
	Objects *Store
}

// NewPlatform returns empty stores without faults.
func NewPlatform(seed uint64) *Platform {
	faults := NewFaults(seed)
	return &Platform{
		Faults:  faults,
		Table:   &Table{Faults: faults, rows: map[string]table.Row{}},
		Objects: &Store{Faults: faults, objects: map[string]Object{}},
	}
}

// Table implements table.Store in memory.
type Table struct {
	Faults *Faults

	mu      sync.Mutex
	rows    map[string]table.Row
	keys    []string // sorted keys of rows
	version uint64   // of the last transaction; increases with each, so that no version is used twice
}

// Get implements table.Store.
func (t *Table) Get(ctx context.Context, key string) (table.Row, error) {
	if err := t.Faults.read(ctx, Rows); err != nil {
		return table.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.rows[key]
	if !found {
		return table.Row{}, code.NotRunf(code.NotFound, "no row %q", key)
	}
	return copyRow(row), nil
}

// Range implements table.Store.
func (t *Table) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := t.Faults.read(ctx, Rows); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	limit = min(limit, MaxPageRows)
	start := sort.SearchStrings(t.keys, max(prefix, after))
	var rows []table.Row
	for bytes := 0; start < len(t.keys) && len(rows) < limit && bytes < MaxPageBytes; start++ {
		key := t.keys[start]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, copyRow(t.rows[key]))
			bytes += len(t.rows[key].Value)
		}
	}
	return rows, nil
}

// Commit implements table.Store.
func (t *Table) Commit(ctx context.Context, txn table.Txn) error {
	lose, err := t.Faults.write(ctx, Rows)
	if err != nil {
		return err
	}
	err = t.apply(txn)
	if lose {
		return lostResponse()
	}
	return err
}

func (t *Table) apply(txn table.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, condition := range txn.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			return code.NotRunf(code.ChangeConflict, "row %q no longer has version %q", condition.Key, condition.Version)
		}
	}
	t.version++
	version := strconv.FormatUint(t.version, 10)
	for _, key := range txn.Deletes {
		t.remove(key)
	}
	for _, put := range txn.Puts {
		if index, found := slices.BinarySearch(t.keys, put.Key); !found {
			t.keys = slices.Insert(t.keys, index, put.Key)
		}
		t.rows[put.Key] = table.Row{Key: put.Key, Value: slices.Clone(put.Value), Version: version}
	}
	return nil
}

func (t *Table) remove(key string) {
	if index, found := slices.BinarySearch(t.keys, key); found {
		t.keys = slices.Delete(t.keys, index, index+1)
	}
	delete(t.rows, key)
}

func copyRow(row table.Row) table.Row {
	row.Value = slices.Clone(row.Value)
	return row
}

// Object is a stored object and its entity tag.
type Object struct {
	Content []byte
	Tag     string
}

// Store implements object.Store in memory.
type Store struct {
	Faults *Faults

	mu      sync.Mutex
	objects map[string]Object
	version uint64
}

// Get implements object.Store.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	found, err := s.Object(ctx, name)
	return found.Content, err
}

// Object reads an object with its entity tag.
func (s *Store) Object(ctx context.Context, name string) (Object, error) {
	if err := s.Faults.read(ctx, Objects); err != nil {
		return Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[name]
	if !ok {
		return Object{}, code.NotRunf(code.NotFound, "no object %q", name)
	}
	return Object{Content: slices.Clone(found.Content), Tag: found.Tag}, nil
}

// Put implements object.Store.
func (s *Store) Put(ctx context.Context, name string, content []byte) error {
	lose, err := s.Faults.write(ctx, Objects)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.version++
	s.objects[name] = Object{Content: slices.Clone(content), Tag: strconv.FormatUint(s.version, 10)}
	s.mu.Unlock()
	if lose {
		return lostResponse()
	}
	return nil
}

func (f *Faults) read(ctx context.Context, target Target) error {
	e := f.decide(target, Read)
	if err := wait(ctx, e.delay); err != nil {
		return code.NotRunf(code.PlatformUnavailable, "stand-in platform: request ended before the operation ran").WithCause(err)
	}
	if e.down {
		return code.NotRunf(code.PlatformUnavailable, "stand-in platform is down")
	}
	return nil
}

// write reports whether the response to the write is lost. A write that is cancelled during the delay is not applied, but the
// outcome is unknown to its caller.
func (f *Faults) write(ctx context.Context, target Target) (lose bool, err error) {
	e := f.decide(target, Write)
	if err := wait(ctx, e.delay); err != nil {
		return false, code.Unknownf(code.PlatformUnavailable, "stand-in platform: request ended before the operation ran").WithCause(err)
	}
	if e.down {
		return false, code.NotRunf(code.PlatformUnavailable, "stand-in platform is down")
	}
	return e.lose, nil
}

func lostResponse() error {
	return code.Unknownf(code.PlatformUnavailable, "stand-in platform lost the response")
}

func wait(ctx context.Context, delay time.Duration) error {
	if delay == 0 {
		return ctx.Err()
	}
	if !clock.Sleep(ctx, delay) {
		return ctx.Err()
	}
	return nil
}
