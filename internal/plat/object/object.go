// Package object defines the interface of the platform's object store and implements it over HTTP.
package object

import "context"

// Store is the object store. It returns the same error codes and outcomes as table.Store.
type Store interface {
	// Get reads a whole object.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes a whole object and replaces an existing one.
	Put(ctx context.Context, name string, content []byte) error
}
