package change

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// plan is a change that has been validated against the current folder.
type plan struct {
	put     []files.File // new files and those whose content changes, sorted by name
	remove  []string     // names of files in the current folder, sorted
	effects []Effect
}

// conflictError reports that a concurrent change gave a key another value or a file another content.
type conflictError struct {
	key  files.ID
	name string // of the file when the conflict is about file content; else empty
}

// Error implements error.
func (e *conflictError) Error() string {
	if e.name != "" {
		return "file " + e.name
	}
	return e.key.String()
}

// newPlan applies a change that was made from base to the current folder and validates the result. It returns a
// conflictError when the change conflicts with one accepted after base.
func newPlan(base, current files.Set, put []files.File, remove []string) (*plan, error) {
	p := &plan{}
	for _, file := range put {
		if found, ok := current.Find(file.Name); !ok || found.Content != file.Content {
			p.put = append(p.put, file)
		}
	}
	for _, name := range remove {
		if _, ok := current.Find(name); ok {
			p.remove = append(p.remove, name)
		}
	}
	slices.SortFunc(p.put, func(a, b files.File) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(p.remove)
	merger := new(files.Merger) // reused, because the folders differ in few files
	before, err := merger.Merge(current)
	if err != nil { // accepted by an earlier version with wider limits: a change that fixes it must remain possible
		before = &files.Merged{}
	}
	after, err := merger.Merge(files.Set{Revision: current.Revision + 1, Files: files.Replace(current.Files, p.put, p.remove)})
	if err != nil {
		return nil, err
	}
	if base.Revision != current.Revision {
		if err := p.checkConflict(merger, base, current, before, after, put, remove); err != nil {
			return nil, err
		}
	}
	for _, file := range put {
		if other, overridden := after.OverriddenBy(file.Name); overridden {
			detail := "every key of %s is overridden by a later file: %s by %s"
			return nil, code.NotRunf(code.ChangeOverridden, detail, file.Name, other.ID, other.File)
		}
	}
	p.effects = Effects(before, after)
	return p, nil
}

// checkConflict returns a conflictError for a key that was changed after base if this change would undo that change, or if
// that change would leave this one without effect on the key. A file that both changed or removed is a conflict too,
// because one content would replace the other.
func (p *plan) checkConflict(
	merger *files.Merger, base, current files.Set, before, after *files.Merged, put []files.File, remove []string,
) error {
	for _, file := range p.put {
		if fileChanged(base, current, file.Name) {
			return &conflictError{name: file.Name}
		}
	}
	for _, name := range p.remove {
		if fileChanged(base, current, name) {
			return &conflictError{name: name}
		}
	}
	baseMerged, err := merger.Merge(base)
	if err != nil {
		return err
	}
	intended, err := merger.Merge(files.Set{Files: files.Replace(base.Files, put, remove)})
	if err != nil {
		return err
	}
	setByChange := map[files.ID]bool{}
	for _, file := range put {
		for _, id := range after.Files[file.Name] {
			setByChange[id] = true
		}
	}
	for _, id := range sortedKeys(baseMerged, before) {
		concurrent := valueOf(before, id)
		if concurrent == valueOf(baseMerged, id) {
			continue
		}
		reverted := valueOf(after, id) != concurrent
		ineffective := setByChange[id] && valueOf(intended, id) != valueOf(after, id)
		if reverted || ineffective {
			return &conflictError{key: id}
		}
	}
	return nil
}

func fileChanged(base, current files.Set, name string) bool {
	before, existed := base.Find(name)
	after, exists := current.Find(name)
	return existed != exists || before.Content != after.Content
}

// keyValue is the value of a key. It distinguishes a key that no file sets from one that is set to an empty value.
type keyValue struct {
	value string
	isSet bool
}

func valueOf(merged *files.Merged, id files.ID) keyValue {
	entry, found := merged.Keys[id]
	return keyValue{value: entry.Value, isSet: found}
}

func sortedKeys(a, b *files.Merged) []files.ID {
	all := map[files.ID]files.Entry{}
	maps.Copy(all, a.Keys)
	maps.Copy(all, b.Keys)
	return slices.SortedFunc(maps.Keys(all), func(x, y files.ID) int {
		return cmp.Or(cmp.Compare(x.Section, y.Section), cmp.Compare(x.Name, y.Name), cmp.Compare(x.Key, y.Key))
	})
}

// Effects returns the keys whose values differ, sorted.
func Effects(before, after *files.Merged) []Effect {
	var list []Effect
	for _, id := range sortedKeys(before, after) {
		old, updated := valueOf(before, id), valueOf(after, id)
		if old != updated {
			list = append(list, Effect{Key: id, Before: old.value, After: updated.value, File: after.Keys[id].File})
		}
	}
	return list
}

func (p *plan) unchanged() bool {
	return len(p.put) == 0 && len(p.remove) == 0
}

func (p *plan) result(revision uint64, id string, dryRun bool) Result {
	result := Result{
		Revision:  revision,
		ID:        id,
		Unchanged: p.unchanged(),
		DryRun:    dryRun,
		Remove:    p.remove,
		Effects:   p.effects,
	}
	for _, file := range p.put {
		result.Put = append(result.Put, file.Name)
	}
	return result
}

// describeConflict turns a conflictError into a coded error that names the revision, operator and file of the conflicting
// change. Other errors are returned as they are.
func (w *Writer) describeConflict(ctx context.Context, base, current files.Set, planErr error) error {
	conflict, ok := planErr.(*conflictError) //nolint:errorlint // newPlan returns it unwrapped
	if !ok {
		return planErr
	}
	generic := code.NotRunf(code.ChangeConflict, "not accepted: %s changed since revision %d", conflict, base.Revision)
	changes, err := w.reader().changes(ctx, base.Revision, current.Revision)
	if err != nil {
		return generic.WithCause(err)
	}
	set := base
	var conflicting *files.Change
	file := conflict.name
	for i, change := range changes {
		next, err := files.Apply(set, change)
		if err != nil {
			return generic.WithCause(err)
		}
		if name, found := conflict.causedBy(set, next); found {
			conflicting, file = &changes[i], name
		}
		set = next
	}
	if conflicting == nil {
		return generic
	}
	detail := "not accepted: %s was changed by file %s of %s in revision %d, after revision %d"
	return code.NotRunf(code.ChangeConflict, detail, conflict, file, conflicting.Operator, conflicting.Revision, base.Revision)
}

// causedBy reports whether the change from one folder to the next caused the conflict, and by which file.
func (e *conflictError) causedBy(before, after files.Set) (name string, caused bool) {
	if e.name != "" {
		return e.name, fileChanged(before, after, e.name)
	}
	oldMerged, err := files.Merge(before)
	if err != nil {
		return "", false
	}
	newMerged, err := files.Merge(after)
	if err != nil {
		return "", false
	}
	if valueOf(oldMerged, e.key) == valueOf(newMerged, e.key) {
		return "", false
	}
	if entry, found := newMerged.Keys[e.key]; found {
		return entry.File, true
	}
	return oldMerged.Keys[e.key].File, true // the change removed the file that set the key
}
