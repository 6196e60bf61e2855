package order

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// kind is a kind of requests of callers. Each has a service of its own, which also runs the nested calls of the previous kind.
type kind struct {
	name                      string
	class                     ident.Class
	priority                  int
	work, objective, deadline time.Duration
	worth                     float64
}

var allKinds = []kind{
	{"reads", ident.Lookup, 1, 310 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second, 1},
	{"writes", ident.Write, 2, 400 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 1},
	{"submissions", ident.Write, 1, 220 * time.Millisecond, 600 * time.Millisecond, 2500 * time.Millisecond, 3},
	{"searches", ident.Check, 0, 120 * time.Millisecond, 250 * time.Millisecond, 1500 * time.Millisecond, 3.7},
}

// kinds are those of the load that is simulated.
var kinds = allKinds

const (
	nestedShare     = 0.7
	nestedWork      = 78 * time.Millisecond
	nestedObjective = 250 * time.Millisecond
	usableSpeed     = 0.8 // mean speed of a server that is 5 times slower a quarter of the time
	meanTail        = 1.12
	sampled         = 5 // servers among which a router takes the least loaded
	queueCapacity   = 48
)

// load is a test load: a base with bursts of all kinds or of one.
type load struct {
	seed          uint64
	servers       []int // by service
	slots         int
	duration      time.Duration
	organisations int
	heavy         float64 // factor on the requests of the first organisation; 1 without a heavy one
	steady        float64 // utilization without bursts; 0 for the usual base with bursts
	kinds         []kind  // all if nil
	mixed         bool    // half of the requests of each kind have priority 3
}

// result counts by kind requests and those answered in time and late, and per second the worth that callers got.
type result struct {
	total, inTime, late []int
	perSecond           []float64
	possible            []float64
	byOrganisation      [][2]int              // in time, total
	nestedFailed        int                   // requests that failed because of their nested call
	byPriority          [MaxPriorities][2]int // served, total
}

func (r *result) worth() float64 {
	got, all := 0.0, 0.0
	for i := range r.perSecond {
		got += r.perSecond[i]
		all += r.possible[i]
	}
	return got / all
}

// worst is the mean share of worth in the worst tenth of the seconds.
func (r *result) worst() float64 {
	var shares []float64
	for i := range r.perSecond {
		if r.possible[i] > 0 {
			shares = append(shares, r.perSecond[i]/r.possible[i])
		}
	}
	slices.Sort(shares)
	sum, n := 0.0, max(1, len(shares)/10)
	for _, share := range shares[:n] {
		sum += share
	}
	return sum / float64(n)
}

func share(n, total int) float64 { return float64(n) / float64(max(total, 1)) }

// job is a request at a server.
type job struct {
	Request
	kind     int
	start    time.Time // when the caller sent the request first
	returned bool
	attempts int
	tried    []*server
	parent   *job // of a nested request
	organ    int

	server     *server
	remaining  time.Duration // work, at full speed
	nestedWork time.Duration // of the nested call
	nestAt     time.Duration // remaining work at which the nested call is made; negative without one
	since      time.Time     // when the job got its slot
	blocked    bool          // waits for its nested call
	version    int
	wait       int // number of the wait in the queue, for its time-out
}

type server struct {
	jobs    map[*job]bool
	speed   float64
	updated time.Time
	queue   discipline
	version int
}

type event struct {
	at  time.Time
	n   int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(e[i].at.Compare(e[j].at), cmp.Compare(e[i].n, e[j].n)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type world struct {
	load
	routing  *rand.Rand // of the routers' choices; the load itself does not depend on them
	slowness *rand.Rand
	bursting *rand.Rand
	callers  []*rand.Rand // by kind
	now      time.Time
	begin    time.Time
	events   events
	n        int
	services [][]*server
	bursts   []float64 // factor on the arrivals by kind
	result   result
	maker    func() discipline
}

func (w *world) after(d time.Duration, run func()) {
	w.n++
	heap.Push(&w.events, event{w.now.Add(d), w.n, run})
}

// simulate runs a load with servers of the given discipline.
func simulate(l load, maker func() discipline) *result {
	start := time.Unix(1_000_000, 0)
	if kinds = l.kinds; kinds == nil {
		kinds = allKinds
	}
	source := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(l.seed, n)) }
	w := &world{load: l, routing: source(1), slowness: source(2), bursting: source(3), now: start, begin: start, maker: maker}
	seconds := int((l.duration + 10*time.Second) / time.Second)
	w.result = result{
		total: make([]int, len(kinds)), inTime: make([]int, len(kinds)), late: make([]int, len(kinds)),
		perSecond: make([]float64, seconds), possible: make([]float64, seconds), byOrganisation: make([][2]int, max(1, l.organisations)),
	}
	for k, n := range l.servers {
		var list []*server
		for range n {
			s := &server{jobs: map[*job]bool{}, speed: 1, updated: start, queue: maker()}
			list = append(list, s)
			w.after(time.Duration(w.slowness.Float64()*0.6*float64(time.Second)), func() { w.slow(s) })
		}
		w.services = append(w.services, list)
		w.bursts = append(w.bursts, 1)
		w.callers = append(w.callers, source(uint64(10+k)))
		w.arrivals(k)
	}
	if l.steady == 0 {
		w.after(2*time.Second, w.burst)
	}
	for w.events.Len() > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	return &w.result
}

// slow makes a server 5 times slower for 150 ms.
func (w *world) slow(s *server) {
	if w.now.Sub(w.begin) > w.duration+5*time.Second {
		return
	}
	w.setSpeed(s, 0.2)
	w.after(150*time.Millisecond, func() { w.setSpeed(s, 1) })
	w.after(time.Duration((300+300*w.slowness.Float64())*float64(time.Millisecond))+150*time.Millisecond, func() { w.slow(s) })
}

func (w *world) burst() {
	only, factor := w.bursting.IntN(2*len(kinds)), 1.4+1.1*w.bursting.Float64()
	for k := range w.bursts {
		if only >= len(kinds) || only == k {
			w.bursts[k] = factor
		}
	}
	length := time.Duration((3 + 4*w.bursting.Float64()) * float64(time.Second))
	w.after(length, func() {
		for k := range w.bursts {
			w.bursts[k] = 1
		}
	})
	if pause := length + time.Duration((2+4*w.bursting.Float64())*float64(time.Second)); w.now.Add(pause).Sub(w.begin) < w.duration {
		w.after(pause, w.burst)
	}
}

// arrivals makes the requests of a kind. The rate of each service follows from its slots and the work that it gets at the same
// utilization of all services.
func (w *world) arrivals(k int) {
	if w.now.Sub(w.begin) > w.duration {
		return
	}
	previous := (k + len(kinds) - 1) % len(kinds)
	slots := float64(w.servers[k]*w.slots) * usableSpeed
	hold := kinds[k].work.Seconds()*meanTail + nestedShare*nestedWork.Seconds()
	nested := nestedShare * nestedWork.Seconds() * meanTail / (kinds[previous].work.Seconds()*meanTail + nestedShare*nestedWork.Seconds())
	slots = max(slots-nested*float64(w.servers[previous]*w.slots)*usableSpeed, slots/2)
	base := w.steady
	if base == 0 {
		base = 0.75 + 0.15*math.Sin(w.now.Sub(w.begin).Seconds()/7)
	}
	rate := base * w.bursts[k] * slots / hold
	if w.organisations > 0 {
		rate *= (float64(w.organisations-1) + w.heavy) / float64(w.organisations)
	}
	w.after(time.Duration(w.callers[k].ExpFloat64()/rate*float64(time.Second)), func() {
		w.caller(k)
		w.arrivals(k)
	})
}

func (w *world) caller(k int) {
	kind := kinds[k]
	organ := 0
	if w.organisations > 0 {
		if organ = int(w.callers[k].Float64() * (float64(w.organisations-1) + w.heavy)); organ >= w.organisations-1 {
			organ = w.organisations - 1
		}
	}
	j := &job{kind: k, start: w.now, organ: organ, nestAt: -1, remaining: w.draw(k, kind.work), nestedWork: w.draw(k, nestedWork)}
	j.Request = Request{
		Class: kind.class, Priority: kind.priority, Organisation: string(rune('a' + organ)),
		Objective: w.now.Add(kind.objective), Deadline: w.now.Add(kind.deadline),
	}
	if w.mixed && w.callers[k].IntN(2) == 0 {
		j.Priority = 3
	}
	if w.callers[k].Float64() < nestedShare {
		j.nestAt = j.remaining / 2
	}
	w.result.total[k]++
	w.result.byOrganisation[organ][1]++
	w.result.byPriority[j.Priority][1]++
	w.result.possible[int(w.now.Sub(w.begin)/time.Second)] += kind.worth
	w.route(j)
}

func (w *world) draw(k int, mean time.Duration) time.Duration {
	const spread = 0.3
	x := math.Exp(spread*w.callers[k].NormFloat64() - spread*spread/2)
	if w.callers[k].Float64() < 0.02 {
		x *= 7
	}
	return time.Duration(x * float64(mean))
}
