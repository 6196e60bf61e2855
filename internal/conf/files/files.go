// Package files reads the operators' folder of INI files, merges them in the order of their names and reports every error
// with its file, line and key.
package files

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// File is one file of the operators' folder.
type File struct {
	Name    string // kebab case, ends in .ini; files are merged in the order of their names
	Content string
}

// Digest returns a hash of the name and the content, by which daemons tell each other which files they hold.
func (f File) Digest() uint64 {
	return xxhash.Sum64String(f.Name + "\x00" + f.Content)
}

// Change is an accepted change of the folder.
type Change struct {
	Revision uint64
	ID       string // chosen by the writer, which can recognize its change by it after a lost response
	Operator string
	At       time.Time
	Put      []File
	Remove   []string // file names
}

// Set is the whole folder at one revision.
type Set struct {
	Revision uint64
	Serial   uint64 // that the operators give their configuration; a later one has a higher serial. 0 when they give none
	Files    []File // sorted by name; names are unique
}
