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

// stateFilePattern matches the names of state files, which Zone and Server write.
var stateFilePattern = regexp.MustCompile(`^(z+-)?(zone|server)-`)

// maxPrefixLetters is how many letters z may be put in front of a state file's name so that it sorts after other files.
const maxPrefixLetters = 16

// Add adds files, or replaces those with the same names.
func (w *Writer) Add(ctx context.Context, put []files.File, options Options) (Result, error) {
	return w.change(ctx, options, func(files.Set) ([]files.File, []string, error) {
		return put, nil, checkDuplicates(put)
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

// Push replaces the folder by the given one, but keeps the state files of zones, servers and roll-outs that the given one lacks.
func (w *Writer) Push(ctx context.Context, folder []files.File, options Options) (Result, error) {
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		remove := slices.DeleteFunc(missingNames(base, folder), func(name string) bool { return isStateFile(base, name) })
		return changedFiles(base, folder), remove, checkDuplicates(folder)
	})
}

// Revert restores the folder as it was at an earlier revision, state files included.
func (w *Writer) Revert(ctx context.Context, revision uint64, options Options) (Result, error) {
	target, err := w.Show(ctx, revision)
	if err != nil {
		return Result{}, err
	}
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		return changedFiles(base, target.Files), missingNames(base, target.Files), nil
	})
}

// Zone sets whether a zone may receive new requests.
func (w *Writer) Zone(ctx context.Context, zone string, state config.ZoneState, options Options) (Result, error) {
	if !files.ValidSectionName(zone) {
		return Result{}, code.NotRunf(code.BadRequest, "%q is not a zone name", zone)
	}
	id := files.ID{Section: files.ZoneSection, Name: zone, Key: stateKey}
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		return stateEdit(base, id, state.String(), config.ZoneIn.String())
	})
}

// Server sets whether the server beside the daemon at this address may receive new requests.
func (w *Writer) Server(ctx context.Context, address netip.AddrPort, state config.ServerState, options Options) (Result, error) {
	if !address.IsValid() {
		return Result{}, code.NotRunf(code.BadRequest, "the server address is invalid")
	}
	address = netip.AddrPortFrom(address.Addr().Unmap().WithZone(""), address.Port())
	id := files.ID{Section: files.ServerSection, Name: address.String(), Key: stateKey}
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		return stateEdit(base, id, state.String(), config.ServerIn.String())
	})
}

// Show returns the folder at a revision; 0 means the latest one.
func (w *Writer) Show(ctx context.Context, revision uint64) (files.Set, error) {
	reader := w.reader()
	head, err := reader.ReadHead(ctx)
	if err != nil {
		return files.Set{}, err
	}
	if revision == 0 {
		return reader.load(ctx, head)
	}
	return reader.folderAt(ctx, head, revision)
}

// History returns the latest changes in the log, oldest first: at most limit of them, or all when limit is 0.
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

// stateEdit returns the files to put and the names to remove that set the state of a zone or server. When the other files
// already give this state, the state file is removed instead of rewritten, so that state files do not accumulate.
func stateEdit(base files.Set, id files.ID, state, defaultState string) ([]files.File, []string, error) {
	merged, err := files.Merge(base)
	if err != nil {
		return nil, nil, err
	}
	inForce, found := merged.Keys[id]
	if !found {
		inForce.Value = defaultState
	}
	if inForce.Value == state {
		return nil, nil, nil
	}
	if found && isStateFile(base, inForce.File) {
		without, err := files.Merge(files.Set{Files: files.Replace(base.Files, nil, []string{inForce.File})})
		if err == nil && stateOrDefault(without, id, defaultState) == state {
			return nil, []string{inForce.File}, nil
		}
	}
	name, err := chooseStateFileName(merged, id)
	if err != nil {
		return nil, nil, err
	}
	content := fmt.Sprintf("[%s %s]\n%s = %s\n", id.Section, id.Name, id.Key, state)
	return []files.File{{Name: name, Content: content}}, nil, nil
}

// isStateFile reports whether a file of the set is one that Zone, Server or Rollout writes. Push replaces such a file if the pushed
// folder has it, but never removes it, because that would undo the state that another operator has set.
func isStateFile(set files.Set, name string) bool {
	if strings.HasPrefix(name, "rollout-") {
		return isRolloutFile(set, name)
	}
	file, found := set.Find(name)
	if !found || !stateFilePattern.MatchString(name) {
		return false
	}
	merged, err := files.Merge(files.Set{Files: []files.File{file}})
	if err != nil || len(merged.Files[name]) != 1 {
		return false
	}
	section := merged.Files[name][0].Section
	return section == files.ZoneSection || section == files.ServerSection
}

func stateOrDefault(merged *files.Merged, id files.ID, defaultState string) string {
	if entry, found := merged.Keys[id]; found {
		return entry.Value
	}
	return defaultState
}

// chooseStateFileName returns the name of the state file: zone-NAME.ini or server-ADDRESS.ini. If needed, letters z and a
// hyphen are put in front so that the name does not sort before the file that sets the state now. Names of files that set
// other keys are not used.
func chooseStateFileName(merged *files.Merged, id files.ID) (string, error) {
	currentFile := merged.Keys[id].File
	unprefixed := id.Section.String() + "-" + id.Name + ".ini"
	if id.Section == files.ServerSection {
		address, err := netip.ParseAddrPort(id.Name)
		if err != nil {
			return "", code.NotRunf(code.BadRequest, "parse the server address").WithCause(err)
		}
		host := strings.NewReplacer(".", "-", ":", "-").Replace(address.Addr().StringExpanded())
		unprefixed = fmt.Sprintf("%s-%s-%d.ini", id.Section, host, address.Port())
	}
	for letters := range maxPrefixLetters {
		name := unprefixed
		if letters > 0 {
			name = strings.Repeat("z", letters) + "-" + unprefixed
		}
		if name >= currentFile && setsOnly(merged, name, id) {
			return name, nil
		}
	}
	detail := "%s is set by %s, which sorts after every name that this command may use"
	return "", code.NotRunf(code.ChangeOverridden, detail, id, currentFile)
}

func setsOnly(merged *files.Merged, name string, id files.ID) bool {
	ids := merged.Files[name]
	return len(ids) == 0 || len(ids) == 1 && ids[0] == id
}

// changedFiles returns the files of the folder that are absent from the set or have another content there.
func changedFiles(set files.Set, folder []files.File) []files.File {
	var list []files.File
	for _, file := range folder {
		if current, ok := set.Find(file.Name); !ok || current.Content != file.Content {
			list = append(list, file)
		}
	}
	return list
}

// missingNames returns the names of the files of the set that are absent from the folder.
func missingNames(set files.Set, folder []files.File) []string {
	names := map[string]bool{}
	for _, file := range folder {
		names[file.Name] = true
	}
	var absent []string
	for _, file := range set.Files {
		if !names[file.Name] {
			absent = append(absent, file.Name)
		}
	}
	return absent
}

func checkDuplicates(put []files.File) error {
	seen := map[string]bool{}
	for _, file := range put {
		if seen[file.Name] {
			return code.NotRunf(code.BadRequest, "file %s is given twice", file.Name)
		}
		seen[file.Name] = true
	}
	return nil
}
