package watch

import "time"

// Dump is the state of a Watch.
type Dump struct {
	Ready         bool // the members are known
	Poller        bool
	Sweeper       bool
	Following     string // followReason as text; empty without a source
	Departed      string // server whose departure is announced in this daemon's row, or empty
	Pollers       int    // in the whole fleet, according to this daemon's table
	PlatformDown  bool
	PlatformSince time.Time // start of the current state
	PlatformCause string    // last failure
	Announcements uint64
	Pages         uint64
	HeadReads     uint64
	Fetches       uint64
	Swept         uint64
	Source        SourceCounts
}

// SourceCounts counts the reads of the source since the start.
type SourceCounts struct {
	Reads uint64
	Lost  uint64 // of Reads: failed, or not answered in time
}

// SourceCounts returns the counts of the reads of the source.
func (w *Watch) SourceCounts() SourceCounts {
	return SourceCounts{Reads: w.counters.sourceReads.Load(), Lost: w.counters.sourceLost.Load()}
}

// Dump returns the state for the state dump.
func (w *Watch) Dump() any {
	role := w.role()
	dump := Dump{
		Poller:        role.poller,
		Sweeper:       role.sweeper,
		Pollers:       role.pollers,
		Announcements: w.counters.announcements.Load(),
		Pages:         w.counters.pages.Load(),
		HeadReads:     w.counters.headReads.Load(),
		Fetches:       w.counters.fetches.Load(),
		Swept:         w.counters.swept.Load(),
		Source:        w.SourceCounts(),
	}
	dump.Departed = w.currentDeparture().Server
	if w.Source != nil {
		dump.Following = w.followReason().String()
	}
	select {
	case <-w.ready:
		dump.Ready = true
	default:
	}
	w.platform.mu.Lock()
	defer w.platform.mu.Unlock()
	dump.PlatformDown = w.platform.down
	dump.PlatformSince = w.platform.since
	dump.PlatformCause = w.platform.cause
	return dump
}
