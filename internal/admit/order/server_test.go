package order

import (
	"slices"
	"time"
)

// discipline is the queue of one server.
type discipline interface {
	// arrive returns whether the job gets a slot, waits (for at most the returned time), or is refused, with the Retry-After.
	arrive(w *world, s *server, j *job) (reply reply, wait time.Duration)
	// next removes and returns the job that gets a free slot, or nil.
	next(w *world, s *server) *job
	// leave removes a job whose wait has timed out.
	leave(w *world, j *job) bool
	released(w *world, j *job, held time.Duration)
	waiting() int
	attempts() int // that a router makes
	// open reports whether a router sends a job to a server with this queue and the given load.
	open(w *world, s *server, j *job) bool
}

type reply int

const (
	run reply = iota
	wait
	refuse
)

// route sends a job to the least loaded of some random servers.
func (w *world) route(j *job) {
	service := j.kind
	if j.parent != nil {
		service = (j.kind + 1) % len(kinds)
	}
	var best *server
	load := func(s *server) int {
		n := len(s.jobs) + s.queue.waiting()
		if s.speed < 1 {
			n += w.slots / 4
		}
		return n
	}
	for range sampled {
		s := w.services[service][w.routing.IntN(len(w.services[service]))]
		if !slices.Contains(j.tried, s) && s.queue.open(w, s, j) && (best == nil || load(s) < load(best)) {
			best = s
		}
	}
	if best == nil {
		w.refused(j, 0)
		return
	}
	j.attempts++
	j.tried = append(j.tried, best)
	j.server = best
	w.after(time.Millisecond, func() { w.arrive(j) })
}

func (w *world) arrive(j *job) {
	verdict, patience := j.server.queue.arrive(w, j.server, j)
	switch verdict {
	case run:
		w.begins(j)
	case refuse:
		w.turnedAway(j, patience)
	case wait:
		j.wait++
		number := j.wait
		w.after(patience, func() {
			if j.wait == number && j.server.queue.leave(w, j) {
				w.turnedAway(j, 0)
			}
		})
	}
}

func (w *world) turnedAway(j *job, retryAfter time.Duration) {
	j.wait++
	if j.attempts < j.server.queue.attempts() && w.now.Before(j.Deadline) {
		w.route(j)
		return
	}
	w.refused(j, retryAfter)
}

// refused ends a request. A caller comes back once; a nested request fails its parent.
func (w *world) refused(j *job, retryAfter time.Duration) {
	if j.parent != nil {
		w.fails(j.parent)
		return
	}
	if retryAfter == 0 {
		retryAfter = time.Duration((60 + 120*w.routing.Float64()) * float64(time.Millisecond))
	}
	left := j.Deadline.Sub(w.now)
	if j.returned || left <= 0 {
		return
	}
	j.returned, j.attempts, j.tried = true, 0, nil
	w.after(min(retryAfter, left/3), func() { w.route(j) })
}

// fails ends a job whose nested call has failed.
func (w *world) fails(j *job) {
	if j.server.jobs[j] {
		w.result.nestedFailed++
		w.ends(j)
	}
}

func (w *world) begins(j *job) {
	s := j.server
	w.advance(s)
	j.since = w.now
	s.jobs[j] = true
	j.version++
	version := j.version
	w.after(j.Deadline.Sub(w.now), func() { // nobody waits for the response any longer
		if s.jobs[j] && j.version == version {
			w.ends(j)
			if j.parent != nil {
				w.fails(j.parent)
			}
		}
	})
	w.schedule(s)
}

// advance accounts for the work done since the last change at the server.
func (w *world) advance(s *server) {
	done := time.Duration(float64(w.now.Sub(s.updated)) * s.speed)
	s.updated = w.now
	for j := range s.jobs {
		if !j.blocked {
			j.remaining -= done
		}
	}
}

func (w *world) setSpeed(s *server, speed float64) {
	w.advance(s)
	s.speed = speed
	w.schedule(s)
}

// schedule schedules the next end or nested call of a job at the server.
func (w *world) schedule(s *server) {
	s.version++
	version := s.version
	var first *job
	soonest := time.Duration(1 << 62)
	for j := range s.jobs {
		left := j.remaining - max(0, j.nestAt)
		if !j.blocked && (left < soonest || left == soonest && j.start.Before(first.start)) {
			first, soonest = j, left
		}
	}
	if first == nil {
		return
	}
	w.after(max(0, time.Duration(float64(soonest)/s.speed))+1, func() {
		if s.version != version {
			return
		}
		w.advance(s)
		if first.nestAt >= 0 {
			w.nest(first)
			w.schedule(s)
			return
		}
		w.answered(first)
	})
}

func (w *world) nest(j *job) {
	j.nestAt, j.blocked = -1, true
	n := &job{kind: j.kind, start: w.now, organ: j.organ, nestAt: -1, remaining: j.nestedWork, parent: j}
	n.Request = Request{
		Class: j.Class, Priority: 1, Nested: true, Deadline: j.Deadline, Objective: w.now.Add(nestedObjective),
	}
	w.route(n)
}

func (w *world) answered(j *job) {
	w.ends(j)
	if p := j.parent; p != nil {
		w.advance(p.server)
		p.blocked = false
		w.schedule(p.server)
		return
	}
	kind, worth := kinds[j.kind], kinds[j.kind].worth
	if w.now.Sub(j.start) <= kind.objective {
		w.result.inTime[j.kind]++
		w.result.byOrganisation[j.organ][0]++
	} else {
		w.result.late[j.kind]++
		worth /= 10
	}
	w.result.byPriority[j.Priority][0]++
	w.result.perSecond[int(j.start.Sub(w.begin)/time.Second)] += worth
}

// ends frees the slot of a job.
func (w *world) ends(j *job) {
	s := j.server
	w.advance(s)
	delete(s.jobs, j)
	s.queue.released(w, j, w.now.Sub(j.since))
	for len(s.jobs) < w.slots {
		next := s.queue.next(w, s)
		if next == nil {
			break
		}
		next.wait++
		w.begins(next)
	}
	w.schedule(s)
}

func workOf(j *job) time.Duration {
	if j.Nested {
		return nestedWork
	}
	return kinds[j.kind].work
}

// byPrecedence is the discipline under test.
type byPrecedence struct {
	queue Queue
	jobs  map[*Request]*job
}

func newByPrecedence() discipline { return &byPrecedence{jobs: map[*Request]*job{}} }

func always(*Request) bool { return true }

func (d *byPrecedence) arrive(w *world, s *server, j *job) (reply, time.Duration) {
	j.Arrived, j.Repeated = w.now, j.attempts > 1
	decision := d.queue.Arrive(&j.Request, Server{Slots: w.slots, Free: w.slots - len(s.jobs), Capacity: queueCapacity}, w.now)
	switch {
	case decision.Reason != None:
		return refuse, decision.RetryAfter
	case decision.Run:
		d.queue.Granted(&j.Request, w.now)
		return run, 0
	case decision.Evict != nil:
		evicted := d.jobs[decision.Evict]
		d.leave(w, evicted)
		w.turnedAway(evicted, decision.RetryAfter)
	}
	d.queue.Add(&j.Request)
	d.jobs[&j.Request] = j
	return wait, j.Deadline.Sub(w.now) - decision.Need
}

func (d *byPrecedence) next(w *world, s *server) *job {
	for r := d.queue.Expired(w.now); r != nil; r = d.queue.Expired(w.now) {
		j := d.jobs[r]
		d.leave(w, j)
		w.turnedAway(j, 0)
	}
	r := d.queue.Next(w.slots, w.slots-len(s.jobs), always, w.now)
	if r == nil {
		return nil
	}
	d.queue.Granted(r, w.now)
	j := d.jobs[r]
	delete(d.jobs, r)
	return j
}

func (d *byPrecedence) leave(w *world, j *job) bool {
	delete(d.jobs, &j.Request)
	return d.queue.Remove(&j.Request, w.now)
}

func (d *byPrecedence) released(w *world, j *job, held time.Duration) {
	d.queue.Released(&j.Request, held, w.now)
}

func (d *byPrecedence) waiting() int  { return len(d.queue.waiting) }
func (d *byPrecedence) attempts() int { return 2 }

func (d *byPrecedence) open(w *world, _ *server, j *job) bool {
	if d.waiting() == 0 || j.Nested || j.Priority == 0 || w.routing.IntN(2) == 0 {
		return true
	}
	floor := d.queue.Floor(w.slots, w.now)
	return floor == 0 || j.Priority < floor
}
