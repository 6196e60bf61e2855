// Package files reads the operators' folder of INI files, merges them in the order of their names and reports every
// error with its file, line and key.
package files

import "time"

// File is one file of the operators' folder.
type File struct {
	Name    string // kebab case, ends in .ini; the order of names is the order of the merge
	Content string
}

// Change is one accepted change of the folder.
type Change struct {
	Revision uint64
	ID       string // chosen by the writer, so that a lost response can be resolved
	Operator string
	At       time.Time
	Put      []File
	Remove   []string // names
}

// Set is the whole folder at one revision.
type Set struct {
	Revision uint64
	Files    []File // sorted by name, names unique
}
