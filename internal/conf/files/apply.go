package files

import (
	"cmp"
	"slices"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Apply returns the set after the change. The change must have the revision after that of the set.
func Apply(set Set, change Change) (Set, error) {
	if change.Revision != set.Revision+1 {
		return Set{}, code.NotRunf(code.StaleRevision, "change of revision %d does not follow revision %d", change.Revision, set.Revision)
	}
	return Set{Revision: change.Revision, Serial: set.Serial, Files: Replace(set.Files, change.Put, change.Remove)}, nil
}

// Replace returns the current files without those named in remove, then with those in put added or replaced. The result is
// sorted by name.
func Replace(current, put []File, remove []string) []File {
	byName := make(map[string]File, len(current)+len(put))
	for _, file := range current {
		byName[file.Name] = file
	}
	for _, name := range remove {
		delete(byName, name)
	}
	for _, file := range put {
		byName[file.Name] = file
	}
	replaced := make([]File, 0, len(byName))
	for _, file := range byName {
		replaced = append(replaced, file)
	}
	slices.SortFunc(replaced, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	return replaced
}

// Find returns the file with the name.
func (s Set) Find(name string) (File, bool) {
	at, found := slices.BinarySearchFunc(s.Files, name, func(file File, name string) int { return cmp.Compare(file.Name, name) })
	if !found {
		return File{}, false
	}
	return s.Files[at], true
}
