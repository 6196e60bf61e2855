package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// unknownAge is reported as the age of the latest head read while none is known.
const unknownAge = 365 * 24 * time.Hour

// lastContact holds the times of the last message from any peer and the last response of the platform.
type lastContact struct {
	mu       sync.Mutex
	start    time.Time
	peer     time.Time // zero before the first
	platform time.Time
}

// Isolated reports whether this daemon has heard from neither the platform nor any peer for longer than IsolatedAfter.
func (n *Node) Isolated() bool {
	n.init()
	n.lastContact.mu.Lock()
	defer n.lastContact.mu.Unlock()
	now := time.Now()
	return now.Sub(n.lastContact.peer) > n.IsolatedAfter && now.Sub(n.lastContact.platform) > n.IsolatedAfter
}

// RecordPlatformContact records that the platform answered.
func (n *Node) RecordPlatformContact() {
	n.lastContact.mu.Lock()
	defer n.lastContact.mu.Unlock()
	n.lastContact.platform = time.Now()
}

// recordPeerContact is called before the records of a peer are merged. A daemon that has heard from no peer for longer than
// the table's MaxSilence first discards the records it holds of others, because they could bring back members whose gone
// records have already been removed elsewhere.
func (n *Node) recordPeerContact() {
	n.lastContact.mu.Lock()
	defer n.lastContact.mu.Unlock()
	now := time.Now()
	silence := now.Sub(n.lastContact.peer)
	first := n.lastContact.peer.IsZero()
	n.lastContact.peer = now
	if first {
		return
	}
	if discarded := n.Table.DiscardStale(silence); len(discarded) > 0 {
		n.Log.Info("members-discarded", "silence", silence, "members", len(discarded))
		n.discarded.set(discarded)
	}
}

// PeerSilence returns the time since the last message from any peer, or since the start when there was none.
func (n *Node) PeerSilence() time.Duration {
	n.init()
	n.lastContact.mu.Lock()
	defer n.lastContact.mu.Unlock()
	return n.lastContact.since(n.lastContact.peer)
}

// PlatformSilence returns the time since the last response of the platform, or since the start when there was none.
func (n *Node) PlatformSilence() time.Duration {
	n.init()
	n.lastContact.mu.Lock()
	defer n.lastContact.mu.Unlock()
	return n.lastContact.since(n.lastContact.platform)
}

// since returns the time since a contact, or since the start when the contact is zero.
func (c *lastContact) since(contact time.Time) time.Duration {
	if contact.IsZero() {
		contact = c.start
	}
	return time.Since(contact)
}

const (
	// maxPeerSilence is the time without a message from any peer after which one is contacted outside of the periodic exchanges, so
	// that a daemon finds out soon whether it is cut off.
	maxPeerSilence       = time.Second
	silenceCheckInterval = 150 * time.Millisecond
)

// silenceLoop contacts a peer when none has been heard for maxPeerSilence, or when a requested revision is overdue. It ends with an error
// when peers reach another daemon at this daemon's address.
func (n *Node) silenceLoop(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	var question succession
	for clock.Sleep(ctx, Jitter(silenceCheckInterval, jitterShare)) {
		if err := n.checkSuccession(ctx, &question, &exchanges); err != nil {
			return err
		}
		n.logLate()
		if n.PeerSilence() < maxPeerSilence && !n.revisions.overdue() {
			continue
		}
		for _, peer := range n.Table.Pick(1, netip.AddrPort{}) {
			exchanges.Go(func() { _ = n.synchronizeAll(ctx, peer.Address) }) // failures are checked by the periodic exchanges
		}
	}
	return nil
}

func (n *Node) peerContactWithin(d time.Duration) bool {
	n.lastContact.mu.Lock()
	defer n.lastContact.mu.Unlock()
	return !n.lastContact.peer.IsZero() && time.Since(n.lastContact.peer) <= d
}

// discardedMembers holds the addresses of members whose records were discarded after a long silence, to contact them again.
type discardedMembers struct {
	mu        sync.Mutex
	addresses []netip.AddrPort
}

func (c *discardedMembers) set(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

func (c *discardedMembers) pick() (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return c.addresses[rand.IntN(len(c.addresses))], true
}

// headSeen holds the highest revision read from the configuration head and the time of the latest read by any daemon.
type headSeen struct {
	mu       sync.Mutex
	revision uint64
	at       time.Time // zero before the first
}

// ObserveHead records a read of the configuration head by this daemon.
func (n *Node) ObserveHead(revision uint64) {
	n.observeHeadAt(revision, time.Now())
}

// HeadSeen returns the highest revision that any daemon is known to have read from the configuration head, and the age of the
// latest known read.
func (n *Node) HeadSeen() (revision uint64, age time.Duration) {
	n.seen.mu.Lock()
	defer n.seen.mu.Unlock()
	if n.seen.at.IsZero() {
		return n.seen.revision, unknownAge
	}
	return n.seen.revision, time.Since(n.seen.at)
}

func (n *Node) observeHeadAt(revision uint64, at time.Time) {
	n.seen.mu.Lock()
	defer n.seen.mu.Unlock()
	n.seen.revision = max(n.seen.revision, revision)
	if at.After(n.seen.at) {
		n.seen.at = at
	}
}

func (n *Node) mergeHeadSeen(seen proto.HeadSeen) {
	if seen.Age < 0 || seen.Age >= unknownAge {
		return
	}
	n.observeHeadAt(seen.Revision, time.Now().Add(-seen.Age))
}
