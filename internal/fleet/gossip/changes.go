package gossip

import (
	"slices"
	"strings"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

func (r *revisions) appendLog(changes []files.Change) {
	for _, change := range changes {
		r.log = append(r.log, change)
		r.logBytes += changeSize(change)
	}
	drop := 0
	for drop < len(r.log) && (r.logBytes > maxLogBytes || len(r.log)-drop > maxLogChanges) {
		r.logBytes -= changeSize(r.log[drop])
		drop++
	}
	r.log = slices.Delete(r.log, 0, drop)
}

// addMissing adds to the message what the peer that sent the request lacks: the changes when the log still has them, else a part
// of the folder.
func (r *revisions) addMissing(message, request *proto.Exchange) {
	r.mu.Lock()
	set, digests := r.set, r.digests
	lacking := request.Since < set.Revision
	if lacking && r.hasChangesFor(request) {
		message.Changes = r.firstChanges(request.Since)
		lacking = false
	}
	r.mu.Unlock()
	switch {
	case !lacking:
	case request.AcceptsParts:
		message.Part = r.part(set, digests, request.Held)
	case setSize(set) <= maxSnapshotSize:
		message.Snapshot = &set
	}
}

// hasChangesFor reports whether the log holds the change that the peer needs next, and whether it may be sent in one message.
func (r *revisions) hasChangesFor(request *proto.Exchange) bool {
	if len(r.log) == 0 || r.log[0].Revision > request.Since+1 {
		return false
	}
	return !request.AcceptsParts || changeSize(r.changesAfter(request.Since)[0]) <= maxMessageBytes
}

func (r *revisions) changesAfter(since uint64) []files.Change {
	return r.log[since+1-r.log[0].Revision:]
}

// firstChanges returns the changes after revision since that fit into a message, at least one.
func (r *revisions) firstChanges(since uint64) []files.Change {
	changes, size := r.changesAfter(since), 0
	for n, change := range changes {
		size += changeSize(change)
		if n > 0 && size > maxMessageBytes {
			changes = changes[:n]
			break
		}
	}
	return slices.Clone(changes) // the log moves its changes
}

func applyChange(set files.Set, change files.Change) files.Set {
	next := files.Set{Revision: change.Revision, Serial: set.Serial, Files: slices.Clone(set.Files)}
	for _, name := range change.Remove {
		if at, found := findFile(next.Files, name); found {
			next.Files = slices.Delete(next.Files, at, at+1)
		}
	}
	for _, file := range change.Put {
		at, found := findFile(next.Files, file.Name)
		if found {
			next.Files[at] = file
		} else {
			next.Files = slices.Insert(next.Files, at, file)
		}
	}
	return next
}

func findFile(sorted []files.File, name string) (int, bool) {
	return slices.BinarySearchFunc(sorted, name, func(f files.File, name string) int {
		return strings.Compare(f.Name, name)
	})
}

// fileOverhead approximates the bytes that the encoding adds to a file or a change.
const fileOverhead = 32

func changeSize(change files.Change) int {
	size := fileOverhead + len(change.ID) + len(change.Operator)
	for _, file := range change.Put {
		size += fileSize(file)
	}
	for _, name := range change.Remove {
		size += fileOverhead + len(name)
	}
	return size
}

func setSize(set files.Set) int {
	size := 0
	for _, file := range set.Files {
		size += fileSize(file)
	}
	return size
}

func fileSize(file files.File) int {
	return fileOverhead + len(file.Name) + len(file.Content)
}
