package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

const (
	// foreignWindow is the time over which the lowest number of foreign runs counts. Responses that arrive out of order show runs that
	// have ended already, but not all reports of a quarter of a second do.
	foreignWindow = 250 * time.Millisecond
	// unknownLoadFor is how long the limit stays at 1 after the start while the server has not told its load. Health responses, which
	// tell it, arrive twice a second.
	unknownLoadFor = time.Second
)

// foreign estimates the requests that a server runs although this daemon counts no slot for them: those that an earlier process of the
// daemon sent, and those that were cancelled and still run.
type foreign struct {
	inFlight int // requests between Begin and End
	started  time.Time
	reported bool // the server has told its load
	recent   []foreignRuns
}

type foreignRuns struct {
	at    time.Time
	count int
}

func (f *foreign) observe(load hdrs.Load, now time.Time) {
	f.reported = true
	f.recent = append(f.recent, foreignRuns{at: now, count: max(0, load.Running+load.Waiting-f.inFlight)})
	f.expire(now)
}

// expire drops the reports before foreignWindow, except the latest one.
func (f *foreign) expire(now time.Time) {
	expired := 0
	for expired < len(f.recent)-1 && now.Sub(f.recent[expired].at) > foreignWindow {
		expired++
	}
	f.recent = append(f.recent[:0], f.recent[expired:]...)
}

// reduce returns the part of the slots that is left for the requests of this daemon, at least 1.
func (f *foreign) reduce(slots int, now time.Time) int {
	if f.started.IsZero() {
		f.started = now
	}
	if !f.reported {
		if now.Sub(f.started) < unknownLoadFor {
			return 1
		}
		return slots
	}
	f.expire(now)
	lowest := f.recent[0].count
	for _, r := range f.recent {
		lowest = min(lowest, r.count)
	}
	return max(1, slots-lowest)
}

// ObserveLoad records the load that the server reports, at the time when the report is received.
func (l *Limiter) ObserveLoad(load hdrs.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.foreign.observe(load, now)
	l.reported.Store(int64(l.reportedLimit(now)))
}
