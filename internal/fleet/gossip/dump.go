package gossip

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// Dump is the state of a Node.
type Dump struct {
	Self          member.Record
	Members       int // that are not gone, including this daemon
	Joined        bool
	Isolated      bool
	LastPeer      time.Time // last message from a peer; zero before the first
	LastPlatform  time.Time
	Held          uint64 // held revision of the configuration folder
	InForce       uint64
	SeenRevision  uint64        // highest revision that any daemon read from the configuration head
	SeenAge       time.Duration // age of the latest head read by any daemon
	LogChanges    int
	LogBytes      int
	PendingRumors int
	Departures    int // acknowledged by the daemons, kept for their next processes
	Counters      CounterDump
}

// CounterDump holds the counters of a Node since its start.
type CounterDump struct {
	Periodic  uint64
	Eager     uint64
	Failed    uint64 // exchanges without a reply
	Served    uint64
	Suspected uint64
	Refuted   uint64
	Snapshots uint64

	RevisionRequests uint64 // for revisions of the configuration, to peers
	RepeatedRequests uint64 // of RevisionRequests: made again because no reply came in time
	Parts            uint64 // of configuration folders, received from peers
}

// Dump returns the state for the state dump.
func (n *Node) Dump() any {
	n.init()
	seenRevision, seenAge := n.HeadSeen()
	dump := Dump{
		Self:          n.Table.Self(),
		Members:       n.Table.Live(),
		Isolated:      n.Isolated(),
		InForce:       n.Holder.Revision(),
		SeenRevision:  seenRevision,
		SeenAge:       seenAge,
		PendingRumors: n.rumors.len(),
		Departures:    n.departures.Len(),
		Counters:      n.Counts(),
	}
	select {
	case <-n.joined:
		dump.Joined = true
	default:
	}
	n.lastContact.mu.Lock()
	dump.LastPeer, dump.LastPlatform = n.lastContact.peer, n.lastContact.platform
	n.lastContact.mu.Unlock()
	n.revisions.mu.Lock()
	defer n.revisions.mu.Unlock()
	dump.Held = n.revisions.set.Revision
	dump.LogChanges = len(n.revisions.log)
	dump.LogBytes = n.revisions.logBytes
	return dump
}

// Counts returns the counters since the start.
func (n *Node) Counts() CounterDump {
	c := &n.counters
	n.revisions.mu.Lock()
	revisions := n.revisions.counts
	n.revisions.mu.Unlock()
	return CounterDump{
		Periodic:  c.periodic.Load(),
		Eager:     c.eager.Load(),
		Failed:    c.failed.Load(),
		Served:    c.served.Load(),
		Suspected: c.suspected.Load(),
		Refuted:   c.refuted.Load(),
		Snapshots: c.snapshots.Load(),

		RevisionRequests: revisions.requests,
		RepeatedRequests: revisions.repeated,
		Parts:            revisions.parts,
	}
}
