// Package table is the interface to the platform's transactional table and its adapter over HTTP.
package table

import "context"

// Row is one row of the table.
type Row struct {
	Key     string
	Value   []byte
	Version string // opaque entity tag; differs after every write
}

// Condition must hold for a transaction to apply.
type Condition struct {
	Key     string
	Version string // the version read; empty requires that the row does not exist
}

// Put writes one row in a transaction.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a set of writes that apply together when every condition holds.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string // keys; a missing row is no error
}

// Store is the table. Errors are coded: PlatformUnavailable with outcome NotRun when the platform certainly did not
// apply a write, with outcome Unknown when a write may have taken effect, ChangeConflict when a condition failed, and
// NotFound for a missing row.
type Store interface {
	// Get reads one row.
	Get(ctx context.Context, key string) (Row, error)
	// Range reads at most limit rows with the prefix whose keys are above after, in the order of their keys. A page may
	// have fewer rows than limit, because its bytes are bounded too; only an empty page is the end.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction or nothing.
	Commit(ctx context.Context, txn Txn) error
}
