package change

import (
	"context"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// stateFile matches the names of the files that Zone and Server write.
var stateFile = regexp.MustCompile(`^(z+-)?(zone|server)-`)

// maxStatePrefix bounds the letters z that a state file's name gets to follow the other files.
const maxStatePrefix = 16

// Add adds files, or replaces those with the same names.
func (w *Writer) Add(ctx context.Context, put []files.File, options Options) (Result, error) {
	return w.change(ctx, options, func(files.Set) ([]files.File, []string, error) {
		return put, nil, duplicate(put)
	})
}

// Remove removes files.
func (w *Writer) Remove(ctx context.Context, names []string, options Options) (Result, error) {
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		for _, name := range names {
			if _, found := base.Find(name); !found {
				return nil, nil, code.NotRunf(code.NotFound, "no file %s in revision %d", name, base.Revision)
			}
		}
		return nil, slices.Compact(slices.Sorted(slices.Values(names))), nil
	})
}

// Push makes the folder equal to the given one, except for the state files of zones and servers that it does not have.
func (w *Writer) Push(ctx context.Context, folder []files.File, options Options) (Result, error) {
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		remove := slices.DeleteFunc(missing(base, folder), func(name string) bool { return isState(base, name) })
		return differing(base, folder), remove, duplicate(folder)
	})
}

// Revert makes the folder equal to its listing at an earlier revision.
func (w *Writer) Revert(ctx context.Context, revision uint64, options Options) (Result, error) {
	listing, err := w.Show(ctx, revision)
	if err != nil {
		return Result{}, err
	}
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		return differing(base, listing.Files), missing(base, listing.Files), nil
	})
}

// Zone records whether a zone may receive new work.
func (w *Writer) Zone(ctx context.Context, zone string, state config.ZoneState, options Options) (Result, error) {
	if !files.ValidSectionName(zone) {
		return Result{}, code.NotRunf(code.BadRequest, "%q is not a zone name", zone)
	}
	id := files.ID{Section: files.ZoneSection, Name: zone, Key: stateKey}
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		return setState(base, id, state.String(), config.ZoneIn.String())
	})
}

// Server records whether the server beside the daemon at this address may receive new work.
func (w *Writer) Server(ctx context.Context, address netip.AddrPort, state config.ServerState, options Options) (Result, error) {
	if !address.IsValid() {
		return Result{}, code.NotRunf(code.BadRequest, "the address is not valid")
	}
	address = netip.AddrPortFrom(address.Addr().Unmap().WithZone(""), address.Port())
	id := files.ID{Section: files.ServerSection, Name: address.String(), Key: stateKey}
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		return setState(base, id, state.String(), config.ServerIn.String())
	})
}

// Show returns the folder at a revision, or the latest one for 0.
func (w *Writer) Show(ctx context.Context, revision uint64) (files.Set, error) {
	reader := w.reader()
	head, err := reader.ReadHead(ctx)
	if err != nil {
		return files.Set{}, err
	}
	if revision == 0 {
		return reader.load(ctx, head)
	}
	return reader.at(ctx, head, revision)
}

// History returns the latest changes that the log has, the oldest first, at most limit.
func (w *Writer) History(ctx context.Context, limit int) ([]files.Change, error) {
	reader := w.reader()
	head, err := reader.ReadHead(ctx)
	if err != nil {
		return nil, err
	}
	since := uint64(0)
	if head.trimmed() {
		since = head.Snapshots[0]
	}
	if limit > 0 && head.Revision > uint64(limit) {
		since = max(since, head.Revision-uint64(limit))
	}
	return reader.changes(ctx, since, head.Revision)
}

const stateKey = "state"

// setState returns the edit that gives a zone or server a state. A state file is removed instead of rewritten when the
// folder has the state without it, so that files don't pile up.
func setState(base files.Set, id files.ID, state, initial string) ([]files.File, []string, error) {
	merged, err := files.Merge(base)
	if err != nil {
		return nil, nil, err
	}
	inForce, found := merged.Keys[id]
	if !found {
		inForce.Value = initial
	}
	if inForce.Value == state {
		return nil, nil, nil
	}
	if found && isState(base, inForce.File) {
		without, err := files.Merge(files.Set{Files: files.Replace(base.Files, nil, []string{inForce.File})})
		if err == nil && stateIn(without, id, initial) == state {
			return nil, []string{inForce.File}, nil
		}
	}
	name, err := stateName(merged, id)
	if err != nil {
		return nil, nil, err
	}
	content := fmt.Sprintf("[%s %s]\n%s = %s\n", id.Section, id.Name, id.Key, state)
	return []files.File{{Name: name, Content: content}}, nil, nil
}

// isState reports whether a file of the set is one that Zone or Server writes. A push leaves these alone unless its folder
// has them, so that it does not take back another operator's decision about a zone or server.
func isState(set files.Set, name string) bool {
	file, found := set.Find(name)
	if !found || !stateFile.MatchString(name) {
		return false
	}
	merged, err := files.Merge(files.Set{Files: []files.File{file}})
	if err != nil || len(merged.Files[name]) != 1 {
		return false
	}
	section := merged.Files[name][0].Section
	return section == files.ZoneSection || section == files.ServerSection
}

func stateIn(merged *files.Merged, id files.ID, initial string) string {
	if entry, found := merged.Keys[id]; found {
		return entry.Value
	}
	return initial
}

// stateName returns the name of the state file: zone-NAME.ini or server-ADDRESS.ini, with as many letters z and a hyphen
// before it as it takes to follow the file that sets the state now. A file of that name that sets other keys is left
// alone.
func stateName(merged *files.Merged, id files.ID) (string, error) {
	last := merged.Keys[id].File
	plain := id.Section.String() + "-" + id.Name + ".ini"
	if id.Section == files.ServerSection {
		address, err := netip.ParseAddrPort(id.Name)
		if err != nil {
			return "", code.NotRunf(code.BadRequest, "address").WithCause(err)
		}
		host := strings.NewReplacer(".", "-", ":", "-").Replace(address.Addr().StringExpanded())
		plain = fmt.Sprintf("%s-%s-%d.ini", id.Section, host, address.Port())
	}
	for letters := range maxStatePrefix {
		name := plain
		if letters > 0 {
			name = strings.Repeat("z", letters) + "-" + plain
		}
		if name >= last && setsOnly(merged, name, id) {
			return name, nil
		}
	}
	detail := "%s is set by %s, which sorts after every name that this command may use"
	return "", code.NotRunf(code.ChangeOverridden, detail, id, last)
}

func setsOnly(merged *files.Merged, name string, id files.ID) bool {
	set := merged.Files[name]
	return len(set) == 0 || len(set) == 1 && set[0] == id
}

// differing returns the folder's files that the set does not have with the same content.
func differing(set files.Set, folder []files.File) []files.File {
	var found []files.File
	for _, file := range folder {
		if has, ok := set.Find(file.Name); !ok || has.Content != file.Content {
			found = append(found, file)
		}
	}
	return found
}

// missing returns the names of the set's files that the folder does not have.
func missing(set files.Set, folder []files.File) []string {
	has := map[string]bool{}
	for _, file := range folder {
		has[file.Name] = true
	}
	var names []string
	for _, file := range set.Files {
		if !has[file.Name] {
			names = append(names, file.Name)
		}
	}
	return names
}

func duplicate(put []files.File) error {
	seen := map[string]bool{}
	for _, file := range put {
		if seen[file.Name] {
			return code.NotRunf(code.BadRequest, "file %s is given twice", file.Name)
		}
		seen[file.Name] = true
	}
	return nil
}
