package gossip

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Bounds of the configuration that is kept for peers and sent in one message, in bytes of names and contents.
const (
	maxLogBytes     = 512 << 10
	maxLogChanges   = 512
	maxChangeBytes  = 256 << 10
	maxSnapshotSize = 960 << 10 // leaves room in a frame of 1 MiB; a larger folder is fetched from the platform
)

// wantAgain is how long an asked-for revision may take before another peer is asked. A folder of 100 KB takes 80 ms on a link of
// 10 Mbit/s.
const wantAgain = 250 * time.Millisecond

// ErrGap is returned for changes that do not follow the held revision. The whole folder must be fetched instead.
var ErrGap = errors.New("changes do not follow the held revision")

// revisions is the folder at the held revision and the changes that led to it.
type revisions struct {
	applyMu sync.Mutex // serializes accepting; taken before mu

	mu       sync.Mutex
	set      files.Set
	log      []files.Change // consecutive, the last has the revision of set
	logBytes int
	wanted   uint64    // revision that a peer was asked for
	wantedAt time.Time // when
	tell     int       // eager rounds still to make for the held revision
}

// FileSet returns the folder at the held revision. Its slices must not be changed.
func (n *Node) FileSet() files.Set {
	n.revisions.mu.Lock()
	defer n.revisions.mu.Unlock()
	return n.revisions.set
}

// HeldRevision returns the held revision. It is the revision in force unless the folder could not be merged.
func (n *Node) HeldRevision() uint64 {
	return n.FileSet().Revision
}

// Accept applies the changes above the held revision in order and puts the result in force. It returns ErrGap when a
// change is missing in between; the changes before it are applied.
func (n *Node) Accept(changes []files.Change) error {
	n.revisions.applyMu.Lock()
	defer n.revisions.applyMu.Unlock()
	set := n.FileSet()
	held := set.Revision
	var applied []files.Change
	var gap error
	for _, change := range changes {
		if change.Revision <= set.Revision {
			continue
		}
		if change.Revision != set.Revision+1 {
			gap = errors.Wrapf(ErrGap, "revision %d after %d", change.Revision, set.Revision)
			break
		}
		set = applyChange(set, change)
		applied = append(applied, change)
	}
	if set.Revision == held {
		return gap
	}
	if err := n.publish(set, applied, false); err != nil {
		return err
	}
	return gap
}

// AcceptSet replaces the folder by one of a higher revision and puts it in force.
func (n *Node) AcceptSet(set files.Set) error {
	n.revisions.applyMu.Lock()
	defer n.revisions.applyMu.Unlock()
	if held := n.HeldRevision(); set.Revision <= held {
		return code.NotRunf(code.StaleRevision, "revision %d is not above %d", set.Revision, held)
	}
	n.counters.snapshots.Add(1)
	return n.publish(set, nil, true)
}

// publish keeps the set even when it cannot be merged, so that a later change can correct it.
func (n *Node) publish(set files.Set, applied []files.Change, restart bool) error {
	n.init()
	r := &n.revisions
	r.mu.Lock()
	r.set = set
	if restart {
		r.log, r.logBytes = nil, 0
	}
	r.remember(applied)
	r.wanted, r.wantedAt = 0, time.Time{}
	r.tell = eagerRounds
	r.mu.Unlock()
	err := n.enforce(set)
	n.rumors.signal()
	return err
}

func (n *Node) enforce(set files.Set) error {
	next, err := n.Merge(set)
	if err != nil {
		n.Log.Error(err, "revision-not-merged", "revision", set.Revision)
		return errors.Wrapf(err, "merge revision %d", set.Revision)
	}
	if err := n.Holder.Set(next); err != nil {
		return err
	}
	n.Log.Info("revision-in-force", "revision", set.Revision)
	return nil
}

func (r *revisions) remember(changes []files.Change) {
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

// fill adds to the message what a peer at the revision lacks: changes when they are still held, else the whole folder.
func (r *revisions) fill(message *proto.Exchange, since uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since >= r.set.Revision {
		return
	}
	if len(r.log) == 0 || r.log[0].Revision > since+1 {
		if setSize(r.set) <= maxSnapshotSize {
			set := r.set
			message.Snapshot = &set
		}
		return
	}
	size := 0
	for _, change := range r.log[since+1-r.log[0].Revision:] {
		size += changeSize(change)
		if len(message.Changes) > 0 && size > maxChangeBytes {
			break
		}
		message.Changes = append(message.Changes, change)
	}
}

// want reports whether a peer that offers the revision should be asked for it, and from which revision on.
func (r *revisions) want(offered uint64) (since uint64, ask bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offered <= r.set.Revision {
		return 0, false
	}
	if offered <= r.wanted && time.Since(r.wantedAt) < wantAgain {
		return 0, false
	}
	r.wanted, r.wantedAt = offered, time.Now()
	return r.set.Revision, true
}

// overdue reports whether a revision that was asked for has not come in time.
func (r *revisions) overdue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wanted > r.set.Revision && time.Since(r.wantedAt) >= wantAgain
}

// takeRound reports whether the held revision is due for an eager round.
func (r *revisions) takeRound() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tell == 0 {
		return false
	}
	r.tell--
	return true
}

// mergeRevisions accepts what a peer sent. A gap leads to a later request for what is missing.
func (n *Node) mergeRevisions(message *proto.Exchange) {
	if message.Snapshot != nil {
		n.logRefusal(n.AcceptSet(*message.Snapshot), message)
	}
	if len(message.Changes) > 0 {
		n.logRefusal(n.Accept(message.Changes), message)
	}
}

func (n *Node) logRefusal(err error, message *proto.Exchange) {
	if err == nil || code.Of(err).Code == code.StaleRevision {
		return
	}
	n.Log.Error(err, "revision-refused", "from", message.From.Address, "held", n.HeldRevision())
}

func applyChange(set files.Set, change files.Change) files.Set {
	next := files.Set{Revision: change.Revision, Files: slices.Clone(set.Files)}
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

// fileOverhead is about what the encoding adds to a file or a change.
const fileOverhead = 32

func changeSize(change files.Change) int {
	size := fileOverhead + len(change.ID) + len(change.Operator)
	for _, file := range change.Put {
		size += fileOverhead + len(file.Name) + len(file.Content)
	}
	for _, name := range change.Remove {
		size += fileOverhead + len(name)
	}
	return size
}

func setSize(set files.Set) int {
	size := 0
	for _, file := range set.Files {
		size += fileOverhead + len(file.Name) + len(file.Content)
	}
	return size
}
