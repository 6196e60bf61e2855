// Package table defines the interface of the platform's transactional table and implements it over HTTP.
package table

import "context"

// Row is one row, as read.
type Row struct {
	Key     string
	Value   []byte
	Version string // opaque entity tag; changes with every write of the row
}

// Condition is the version that a row must have for a transaction to be applied.
type Condition struct {
	Key     string
	Version string // as read earlier; empty requires that the row does not exist
}

// Put writes one row in a transaction.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a set of writes that are applied atomically if every condition holds.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string // keys; a missing row is not an error
}

// Store is the table. Errors carry a code: ChangeConflict when a condition failed, NotFound for a missing row, and
// PlatformUnavailable with outcome NotRun when the platform certainly did not apply a write, or with outcome Unknown when it
// may have applied it.
type Store interface {
	// Get reads one row.
	Get(ctx context.Context, key string) (Row, error)
	// Range reads at most limit rows whose keys have the prefix and are greater than after, ordered by key. A page may have
	// fewer rows than limit, because its size in bytes is limited too; only an empty page marks the end.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the whole transaction or nothing.
	Commit(ctx context.Context, txn Txn) error
}
