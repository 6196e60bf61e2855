// Package object is the interface to the platform's object store and its adapter over HTTP.
package object

import "context"

// Store is the object store. Errors are coded as those of the table.
type Store interface {
	// Get reads a whole object.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes a whole object; an existing one is replaced.
	Put(ctx context.Context, name string, content []byte) error
}
