package gossip

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// Dump is the state of a Node.
type Dump struct {
	Self          member.Record
	Members       int // not gone, with this daemon
	Joined        bool
	Isolated      bool
	LastPeer      time.Time // zero before the first
	LastPlatform  time.Time
	Held          uint64 // revision of the folder
	InForce       uint64
	SeenRevision  uint64        // highest at the platform's head
	SeenAge       time.Duration // of the latest read by any daemon
	LogChanges    int
	LogBytes      int
	PendingRumors int
	Counters      CounterDump
}

// CounterDump is what a Node has counted since its start.
type CounterDump struct {
	Periodic  uint64
	Eager     uint64
	Failed    uint64 // exchanges without a reply
	Served    uint64
	Suspected uint64
	Refuted   uint64
	Snapshots uint64
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
		Counters:      n.counters.dump(),
	}
	select {
	case <-n.joined:
		dump.Joined = true
	default:
	}
	n.heard.mu.Lock()
	dump.LastPeer, dump.LastPlatform = n.heard.peer, n.heard.platform
	n.heard.mu.Unlock()
	n.revisions.mu.Lock()
	defer n.revisions.mu.Unlock()
	dump.Held = n.revisions.set.Revision
	dump.LogChanges = len(n.revisions.log)
	dump.LogBytes = n.revisions.logBytes
	return dump
}

func (c *counters) dump() CounterDump {
	return CounterDump{
		Periodic:  c.periodic.Load(),
		Eager:     c.eager.Load(),
		Failed:    c.failed.Load(),
		Served:    c.served.Load(),
		Suspected: c.suspected.Load(),
		Refuted:   c.refuted.Load(),
		Snapshots: c.snapshots.Load(),
	}
}
