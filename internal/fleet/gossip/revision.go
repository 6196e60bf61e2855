package gossip

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Bounds of the change log that is kept for peers and of the configuration in one message. Sizes are estimates of the
// encoded size in bytes.
const (
	maxLogBytes   = 512 << 10
	maxLogChanges = 512
	// maxMessageBytes limits changes or files in a message, unless a single one is larger. It takes 52 ms on a link of 10 Mbit/s, and
	// other messages pass between two of this size.
	maxMessageBytes = 64 << 10
	maxSnapshotSize = 960 << 10 // of a folder for a peer that does not accept parts; leaves room in a frame of 1 MiB
)

// requestTimeout is how long a reply to a request for a revision may take before another peer is asked.
const requestTimeout = 250 * time.Millisecond

// ErrGap is returned for changes that do not directly follow the held revision. The whole folder must be fetched instead.
var ErrGap = errors.New("changes do not follow the held revision")

// revisions holds the configuration folder at the held revision and the latest changes up to it.
type revisions struct {
	applyMu sync.Mutex // serializes Accept and AcceptSet; taken before mu

	mu          sync.Mutex
	set         files.Set
	digests     []uint64       // of the files of set, in their order
	log         []files.Change // consecutive; the last has the revision of set
	logBytes    int
	packed      map[uint64][]byte // compressed contents of files of set and received, by digest
	received    receivedFiles     // of a folder above set that has not arrived completely
	requested   uint64            // revision last requested from a peer; 0 when none is outstanding
	requestedAt time.Time         // of the latest request, or of the latest progress after it
	progressed  bool              // some of what was requested has arrived, so that the rest may be requested at once
	behindSince time.Time         // when a higher revision was first requested; zero when none is outstanding
	lateLogged  bool              // since behindSince
	counts      revisionCounts
	roundsLeft  int // eager rounds left for the held revision
}

// revisionCounts counts how revisions were fetched from peers.
type revisionCounts struct {
	requests uint64
	repeated uint64 // of requests: made again because no reply came within requestTimeout
	parts    uint64 // received
}

// FileSet returns the configuration folder at the held revision. Its slices must not be changed.
func (n *Node) FileSet() files.Set {
	n.revisions.mu.Lock()
	defer n.revisions.mu.Unlock()
	return n.revisions.set
}

// HeldRevision returns the revision of the stored folder. It is also the one in force unless the folder could not be merged.
func (n *Node) HeldRevision() uint64 {
	return n.FileSet().Revision
}

// Accept applies the platform's changes above the held revision in order and puts the result in force. When a change is missing in
// between, it applies the changes before the gap and returns ErrGap.
func (n *Node) Accept(changes []files.Change) error {
	return n.acceptFrom(fromPlatform, changes)
}

// fromPlatform stands for the platform where the sender of a revision is a peer otherwise.
var fromPlatform = netip.AddrPort{}

func (n *Node) acceptFrom(sender netip.AddrPort, changes []files.Change) error {
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
			gap = errors.Wrapf(ErrGap, "received revision %d after revision %d", change.Revision, set.Revision)
			break
		}
		set = applyChange(set, change)
		applied = append(applied, change)
	}
	if set.Revision == held {
		return gap
	}
	if err := n.install(sender, set, applied, false); err != nil {
		return err
	}
	return gap
}

// AcceptSet replaces the folder with the platform's of a higher revision and puts it in force.
func (n *Node) AcceptSet(set files.Set) error {
	return n.acceptSetFrom(fromPlatform, set)
}

func (n *Node) acceptSetFrom(sender netip.AddrPort, set files.Set) error {
	n.revisions.applyMu.Lock()
	defer n.revisions.applyMu.Unlock()
	if held := n.HeldRevision(); set.Revision <= held {
		return code.NotRunf(code.StaleRevision, "revision %d is not above the held revision %d", set.Revision, held)
	}
	n.counters.snapshots.Add(1)
	return n.install(sender, set, nil, true)
}

// install stores the set, starts spreading it and puts it in force. The set is kept even when it cannot be merged, so that a
// later change can correct it.
func (n *Node) install(sender netip.AddrPort, set files.Set, applied []files.Change, restart bool) error {
	n.init()
	r := &n.revisions
	r.mu.Lock()
	before := r.set.Revision
	r.set, r.digests = set, digestsOf(set)
	if restart {
		r.log, r.logBytes = nil, 0
	}
	r.appendLog(applied)
	r.recordProgress()
	r.roundsLeft = eagerRounds
	r.mu.Unlock()
	err := n.activate(sender, set, before)
	n.rumors.signal()
	return err
}

// recordProgress adapts the state of requests to a new set. When a higher revision is still awaited, its files are kept and its rest
// may be requested at once.
func (r *revisions) recordProgress() {
	if r.requested > r.set.Revision {
		r.received.discard(r.digests)
		r.progressed, r.requestedAt = true, time.Now()
	} else {
		r.received = receivedFiles{}
		r.requested, r.progressed = 0, false
		r.behindSince, r.lateLogged = time.Time{}, false
	}
	r.discardPacked()
}

func (n *Node) activate(sender netip.AddrPort, set files.Set, before uint64) error {
	next, err := n.Merge(set)
	if err != nil {
		n.Log.Error(err, "revision-not-merged", "revision", set.Revision)
		return errors.Wrapf(err, "merge revision %d", set.Revision)
	}
	if err := n.Holder.Set(next); err != nil {
		return err
	}
	inForce := n.Holder.Get()
	n.logInForce(sender, inForce, before)
	if next.IsReplacedBy(inForce) {
		n.Log.Info("configuration-outdated", "revision", next.Revision, "serial", next.Serial, "in-force", inForce.Serial)
	}
	return nil
}

// logInForce logs from whom a revision came, and for how long the platform and the peers have been silent.
func (n *Node) logInForce(sender netip.AddrPort, inForce *config.Config, before uint64) {
	from := "platform"
	if sender != fromPlatform {
		from = sender.String()
	}
	_, headAge := n.HeadSeen()
	n.Log.Info("revision-in-force", "revision", inForce.Revision, "before", before, "serial", inForce.Serial, "from", from,
		"platform-silence", n.PlatformSilence(), "peer-silence", n.PeerSilence(), "head-age", headAge)
}

// shouldRequest reports whether to request the offered revision from a peer. A revision is requested again when some of it has
// arrived, else only after requestTimeout.
func (r *revisions) shouldRequest(offered uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offered <= r.set.Revision {
		return false
	}
	if offered <= r.requested && !r.progressed {
		if time.Since(r.requestedAt) < requestTimeout {
			return false
		}
		r.counts.repeated++
	}
	r.counts.requests++
	if r.behindSince.IsZero() {
		r.behindSince = time.Now()
	}
	r.requested, r.requestedAt, r.progressed = max(r.requested, offered), time.Now(), false
	return true
}

// addRequest adds to the message a request for what this daemon lacks if the peer has a higher revision in force. It reports
// whether it has.
func (r *revisions) addRequest(message *proto.Exchange, offered uint64) bool {
	if !r.shouldRequest(offered) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	message.WantSince, message.Since = true, r.set.Revision
	message.AcceptsParts, message.Held = true, r.received.appendDigests(r.digests)
	return true
}

// overdue reports whether a requested revision has not arrived within requestTimeout.
func (r *revisions) overdue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requested > r.set.Revision && time.Since(r.requestedAt) >= requestTimeout
}

// lateAfter is the time after the first request for a revision above the held one from which on it is logged as late.
const lateAfter = 2 * time.Second

// logLate logs once that a requested revision is late.
func (n *Node) logLate() {
	r := &n.revisions
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lateLogged || r.behindSince.IsZero() || time.Since(r.behindSince) < lateAfter {
		return
	}
	r.lateLogged = true
	n.Log.Info("revision-late", "requested", r.requested, "held", r.set.Revision, "behind", time.Since(r.behindSince),
		"files-received", len(r.received.byDigest), "requests", r.counts.requests, "repeated", r.counts.repeated)
}

// takeRound reports whether the held revision has an eager round left, and uses it up.
func (r *revisions) takeRound() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roundsLeft == 0 {
		return false
	}
	r.roundsLeft--
	return true
}

// mergeRevisions accepts the folder and the changes in a message. After a gap, the missing changes are requested by a later
// exchange.
func (n *Node) mergeRevisions(message *proto.Exchange) {
	if message.Part != nil {
		n.logRefusal(n.acceptPart(message.From.Address, message.Part), message)
	}
	if message.Snapshot != nil {
		n.logRefusal(n.acceptSetFrom(message.From.Address, *message.Snapshot), message)
	}
	if len(message.Changes) > 0 {
		n.logRefusal(n.acceptFrom(message.From.Address, message.Changes), message)
	}
}

func (n *Node) logRefusal(err error, message *proto.Exchange) {
	if err == nil || code.Of(err).Code == code.StaleRevision {
		return
	}
	n.Log.Error(err, "revision-refused", "from", message.From.Address, "held", n.HeldRevision())
}
