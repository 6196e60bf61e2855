package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// neverSeen is the age of the head observation of a daemon that has none.
const neverSeen = 365 * 24 * time.Hour

// heard is when others were last heard.
type heard struct {
	mu       sync.Mutex
	start    time.Time
	peer     time.Time // zero before the first
	platform time.Time
}

// Isolated reports whether neither the platform nor any peer was heard for IsolatedAfter.
func (n *Node) Isolated() bool {
	n.init()
	n.heard.mu.Lock()
	defer n.heard.mu.Unlock()
	now := time.Now()
	return now.Sub(n.heard.peer) > n.IsolatedAfter && now.Sub(n.heard.platform) > n.IsolatedAfter
}

// RecordPlatformContact records that the platform answered.
func (n *Node) RecordPlatformContact() {
	n.heard.mu.Lock()
	defer n.heard.mu.Unlock()
	n.heard.platform = time.Now()
}

// hearPeer is called before records of a peer are merged. A daemon that heard no peer for longer than the table's CutOff
// discards its own records first, because they may bring back members whose gone records have been removed elsewhere.
func (n *Node) hearPeer() {
	n.heard.mu.Lock()
	defer n.heard.mu.Unlock()
	now := time.Now()
	silence := now.Sub(n.heard.peer)
	first := n.heard.peer.IsZero()
	n.heard.peer = now
	if first {
		return
	}
	if forgotten := n.Table.DiscardStale(silence); len(forgotten) > 0 {
		n.Log.Info("members-discarded", "silence", silence, "members", len(forgotten))
		n.contacts.set(forgotten)
	}
}

// PeerSilence returns how long no peer has been heard, at most since the start.
func (n *Node) PeerSilence() time.Duration {
	n.init()
	n.heard.mu.Lock()
	defer n.heard.mu.Unlock()
	if n.heard.peer.IsZero() {
		return time.Since(n.heard.start)
	}
	return time.Since(n.heard.peer)
}

const (
	// quietAfter is the silence of all peers after which one is asked outside of the periodic exchanges, so that a daemon knows soon
	// whether it is cut off.
	quietAfter = time.Second
	quietCheck = 150 * time.Millisecond
)

// quietLoop asks a peer whenever none has been heard for a while, or one that was asked for a revision has not sent it.
func (n *Node) quietLoop(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for sleep(ctx, Jitter(quietCheck, jitterShare)) {
		if n.PeerSilence() < quietAfter && !n.revisions.overdue() {
			continue
		}
		for _, peer := range n.Table.Pick(1, netip.AddrPort{}) {
			exchanges.Go(func() { _ = n.full(ctx, peer.Address) }) // the periodic exchanges look after failures
		}
	}
	return nil
}

func (n *Node) heardPeerWithin(d time.Duration) bool {
	n.heard.mu.Lock()
	defer n.heard.mu.Unlock()
	return !n.heard.peer.IsZero() && time.Since(n.heard.peer) <= d
}

// contacts are the addresses of members that were discarded.
type contacts struct {
	mu        sync.Mutex
	addresses []netip.AddrPort
}

func (c *contacts) set(addresses []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

func (c *contacts) pick() (netip.AddrPort, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addresses) == 0 {
		return netip.AddrPort{}, false
	}
	return c.addresses[rand.IntN(len(c.addresses))], true
}

// headSeen is the highest revision seen at the configuration head and the time of the latest read by any daemon.
type headSeen struct {
	mu       sync.Mutex
	revision uint64
	at       time.Time // zero before the first
}

// ObserveHead records a read of the configuration head by this daemon.
func (n *Node) ObserveHead(revision uint64) {
	n.observe(revision, time.Now())
}

// HeadSeen returns the highest revision seen at the head by any daemon, and the age of the latest known read.
func (n *Node) HeadSeen() (revision uint64, age time.Duration) {
	n.seen.mu.Lock()
	defer n.seen.mu.Unlock()
	if n.seen.at.IsZero() {
		return n.seen.revision, neverSeen
	}
	return n.seen.revision, time.Since(n.seen.at)
}

func (n *Node) observe(revision uint64, at time.Time) {
	n.seen.mu.Lock()
	defer n.seen.mu.Unlock()
	n.seen.revision = max(n.seen.revision, revision)
	if at.After(n.seen.at) {
		n.seen.at = at
	}
}

func (n *Node) mergeSeen(seen proto.HeadSeen) {
	if seen.Age < 0 || seen.Age >= neverSeen {
		return
	}
	n.observe(seen.Revision, time.Now().Add(-seen.Age))
}
