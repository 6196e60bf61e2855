package order

import (
	"slices"
	"time"
)

// sorted keeps the queue in the order of a comparison. A job waits while it can meet its deadline, or for a bounded time.
type sorted struct {
	before  func(a, b *job) bool
	today   bool // waits briefly and lets routers leave out full servers
	jobs    []*job
	granted map[int]float64 // slot time by priority, for weighted shares
}

func newSorted(before func(a, b *job) bool) func() discipline {
	return func() discipline { return &sorted{before: before} }
}

func newToday() discipline {
	return &sorted{before: func(*job, *job) bool { return false }, today: true}
}

// weights of the priorities for weighted shares; nested calls count as the highest.
func weightOf(j *job) float64 {
	if j.Nested {
		return 8
	}
	return []float64{4, 2, 1, 1}[min(j.Priority, 3)]
}

func newWeighted() discipline {
	d := &sorted{granted: map[int]float64{}}
	key := func(j *job) int { return groupOf(&j.Request) }
	d.before = func(a, b *job) bool {
		return d.granted[key(a)]/weightOf(a) < d.granted[key(b)]/weightOf(b)
	}
	return d
}

func (d *sorted) arrive(w *world, s *server, j *job) (reply, time.Duration) {
	work := workOf(j)
	patience := j.Objective.Sub(w.now) - work
	if patience < 0 || j.Nested {
		patience = j.Deadline.Sub(w.now) - work
	}
	switch {
	case patience < 0:
		return refuse, 0
	case len(s.jobs) < w.slots:
		d.account(j)
		return run, 0
	case len(d.jobs) >= queueCapacity:
		last := d.jobs[0]
		for _, other := range d.jobs {
			if !d.before(other, last) {
				last = other
			}
		}
		if !d.before(j, last) {
			return refuse, 0
		}
		d.leave(w, last)
		w.turnedAway(last, 0)
	}
	d.jobs = append(d.jobs, j)
	if d.today {
		most := 40 * time.Millisecond
		if kinds[j.kind].name == "writes" || kinds[j.kind].name == "submissions" {
			most = 250 * time.Millisecond
		}
		patience = min(patience, most)
	}
	return wait, patience
}

func (d *sorted) account(j *job) {
	if d.granted != nil {
		d.granted[groupOf(&j.Request)] += kinds[j.kind].work.Seconds()
	}
}

func (d *sorted) next(*world, *server) *job {
	best := -1
	for i, j := range d.jobs {
		if best < 0 || d.before(j, d.jobs[best]) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	j := d.jobs[best]
	d.jobs = slices.Delete(d.jobs, best, best+1)
	d.account(j)
	return j
}

func (d *sorted) leave(_ *world, j *job) bool {
	at := slices.Index(d.jobs, j)
	if at >= 0 {
		d.jobs = slices.Delete(d.jobs, at, at+1)
	}
	return at >= 0
}

func (d *sorted) released(*world, *job, time.Duration) {}
func (d *sorted) waiting() int                         { return len(d.jobs) }

func (d *sorted) attempts() int {
	if d.today {
		return 4
	}
	return 2
}

func (d *sorted) open(w *world, s *server, j *job) bool {
	return !d.today || len(s.jobs) < w.slots || len(j.tried) == 0 && len(s.jobs)+len(d.jobs) < w.slots+w.slots/4
}
