package proc_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
)

const (
	stopsPeriod     = 12 * time.Second
	stopsInterval   = 500 * time.Millisecond // between signals, and between servers that leave or join
	stopsKillAfter  = 6 * time.Second
	stopsGrace      = 2 * time.Second
	stopsAtOnce     = 3 // of six daemons
	stopsCallers    = 2 // connections to each daemon
	lossSlack       = 200 * time.Millisecond
	starvedPause    = 50 * time.Millisecond
	starvedRun      = 20 * time.Millisecond
	slowStore       = `{"fault": "slow", "delay": "3s"}`
	stopsTail       = 25 // lines of the log of a daemon that outlives its grace
	answerTransit   = 100 * time.Millisecond
	deadlineTransit = 100 * time.Millisecond
)

var stopSignals = [][]syscall.Signal{
	{syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
}

var _ = Describe("a soak of planned stops", func() {
	if os.Getenv(seedsVariable) == "" {
		return // CI runs the seeds of a soak only
	}
	for _, seed := range readSoakSeeds() {
		// Guards against requests that are lost at planned stops, and against daemons that outlive their grace. The lowest bits of the seed
		// choose what comes with the stops: late bytes between daemons, a slow store, little processor time.
		It(fmt.Sprintf("with seed %d loses no request", seed), func(ctx SpecContext) {
			s := newStops(ctx, seed)
			s.run(ctx)
			Expect(s.findings()).To(BeEmpty())
		}, SpecTimeout(soakTimeout))
	}
})

// stops plays planned stops of the daemons of a fleet, in series that overlap.
type stops struct {
	soak
	history *history
	servers []*stopsServer
	late    bool // bytes between daemons come late
	store   bool // the store answers slowly
	starved bool // stopping daemons get little processor time

	terms map[*proc.Node][]time.Time // of SIGTERM; guarded by soak.mu
	took  []string                   // times of the stops; guarded by soak.mu
	now   int                        // number of stops in progress; guarded by soak.mu
}

func newStops(ctx context.Context, seed uint64) *stops {
	fleet := newFleet(baseConfiguration, threeZones())
	s := &stops{
		history: &history{visits: map[string][]*visit{}}, terms: map[*proc.Node][]time.Time{},
		late: seed&1 != 0, store: seed&2 != 0, starved: seed&4 != 0,
	}
	fleet.Relays, fleet.LoadQueries, fleet.StopGrace, fleet.KillAfter = true, true, stopsGrace, stopsKillAfter
	fleet.Serve = func(node *proc.Node) error {
		server := &stopsServer{node: node, history: s.history, slots: make(chan struct{}, stopsSlots)}
		s.servers = append(s.servers, server)
		return server.run()
	}
	startNew(ctx, fleet)
	s.fleet, s.random = fleet, rand.New(rand.NewPCG(seed, 1))
	s.daemonLocks = make([]sync.Mutex, len(fleet.Nodes))
	s.revisions = monitorRevisions(ctx, fleet)
	return s
}

func (s *stops) run(ctx context.Context) {
	calling, end := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range stopsCallers * len(s.fleet.Nodes) {
		caller := &stopsCaller{
			node: s.fleet.Nodes[i%len(s.fleet.Nodes)], history: s.history, random: rand.New(rand.NewPCG(s.random.Uint64(), 2)),
		}
		callers.Go(func() { caller.run(calling) })
	}
	pause(ctx, steadyLoad)
	for until := time.Now().Add(stopsPeriod); time.Now().Before(until); pause(ctx, stopsInterval) {
		s.step(ctx)
	}
	s.pending.Wait()
	end()
	callers.Wait()
	endings := map[string]int{}
	for _, a := range s.history.asks {
		endings[a.detail]++
	}
	GinkgoWriter.Println("stops took", s.took, "requests", endings)
}

// step begins one stop and lets one server leave or join; some steps change the configuration or slow the store down.
func (s *stops) step(ctx context.Context) {
	number, chance := s.random.IntN(len(s.fleet.Nodes)), s.random.Float64()
	for _, server := range s.servers[:2] { // one of three of each service
		server.draining.Store(s.random.IntN(2) == 0)
	}
	signals := stopSignals[s.random.IntN(len(stopSignals))]
	disturb := s.disturbance(s.fleet.Nodes[number])
	if s.mayStop() {
		s.exclusive(&s.daemonLocks[number], func() { s.stop(ctx, s.fleet.Nodes[number], signals, disturb) })
	}
	switch {
	case s.store && chance < 0.3:
		s.temporary(ctx, s.randomDuration(time.Second, 4*time.Second), func() { s.setStore(ctx, slowStore) }, func() { s.setStore(ctx, "") })
	case chance > 0.7:
		address := s.fleet.Nodes[2+number%2].Daemons.String() // never a server that drains as well
		s.operatorChange(ctx, time.Second, []string{"server", "leave", address}, []string{"server", "return", address})
	}
}

func (s *stops) setStore(ctx context.Context, fault string) {
	if err := s.fleet.SetFault(ctx, fault); err != nil {
		s.report("platform: %v", err)
	}
}

func (s *stops) mayStop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now < stopsAtOnce
}

// disturbance draws a trouble of the link to a node. The function begins it and returns its end.
func (s *stops) disturbance(node *proc.Node) (begin func() (end func())) {
	kind, delay := s.random.IntN(6), s.randomDuration(200*time.Millisecond, 900*time.Millisecond)
	rate := 30_000 + s.random.Int64N(300_000)
	if !s.late {
		return func() func() { return func() {} }
	}
	return func() func() {
		now := time.Now().Format(time.TimeOnly + ".000")
		GinkgoWriter.Printf("%s %s: trouble %d of the link, %d bytes/s, %v\n", now, node.Daemon.Name, kind, rate, delay)
		switch kind {
		case 0, 1:
			node.DaemonRelay.Limit(rate)
		case 2:
			node.DaemonRelay.Delay(delay)
		default:
			node.DaemonRelay.Delay(delay, proc.Direction(kind%2))
		}
		return func() {
			node.DaemonRelay.Limit(0)
			node.DaemonRelay.Delay(0)
		}
	}
}

// stop stops a daemon and restarts it. A daemon that outlives its grace is killed.
func (s *stops) stop(ctx context.Context, node *proc.Node, signals []syscall.Signal, disturb func() func()) {
	defer disturb()()
	began := time.Now()
	s.mu.Lock()
	s.now++
	s.terms[node] = append(s.terms[node], began)
	s.mu.Unlock()
	for _, signal := range signals {
		s.signal(node.Daemon, signal)
		pause(ctx, betweenSignals)
	}
	stopping, cancel := context.WithDeadline(ctx, began.Add(stopsKillAfter))
	defer cancel()
	var starving sync.WaitGroup
	if s.starved {
		starving.Go(func() { s.starve(stopping, node.Daemon) })
	}
	_ = node.Daemon.Wait(stopping) // its status tells whether requests were cut, which the callers tell as well
	outlived := stopping.Err() != nil
	cancel()
	starving.Wait()
	if outlived {
		s.report("%s outlives its grace:\n%s", node.Daemon.Name, node.Daemon.Tail(stopsTail))
		node.Daemon.Kill()
	}
	s.mu.Lock()
	s.now--
	s.took = append(s.took, time.Since(began).Round(time.Millisecond).String())
	s.mu.Unlock()
	s.startDaemon(node)
}

// starve leaves a process a part of its processor time until ctx ends or the process has ended.
func (s *stops) starve(ctx context.Context, process *proc.Process) {
	for ctx.Err() == nil && process.Signal(syscall.SIGSTOP) == nil {
		pause(ctx, starvedPause)
		_ = process.Signal(syscall.SIGCONT) // fails if the process has been killed
		pause(ctx, starvedRun)
	}
}

// findings judges each request that ended around a planned stop of its daemon or of another one.
func (s *stops) findings() []string {
	found := s.soak.findings
	for _, a := range s.history.asks {
		fault := s.fault(a, s.history.visits[a.id])
		if fault == "" {
			continue
		}
		text := fmt.Sprintf("%s %s: %s: %s of %v and %d bytes, behind %v, sent %v before: %s",
			a.ended.Format(time.TimeOnly+".000"), s.sinceTerm(a), fault, a.id, a.work, a.size, a.behind, a.ended.Sub(a.sent), a.detail)
		for _, v := range s.history.visits[a.id] {
			text += fmt.Sprintf("\n    at %s %v after the request, %v long, finished %v",
				v.node.Daemon.Name, v.began.Sub(a.sent), v.ended.Sub(v.began), v.finished)
		}
		found = append(found, text)
	}
	return found
}

// term returns the time of the last SIGTERM of a daemon before the end of a, and whether a ended within the grace.
func (s *stops) term(node *proc.Node, a *ask) (last time.Time, around bool) {
	for _, term := range s.terms[node] {
		if term.Before(a.ended) {
			last = term
		}
	}
	return last, !last.IsZero() && a.ended.Before(last.Add(stopsKillAfter+time.Second)) && a.sent.Before(last.Add(stopsKillAfter))
}

func (s *stops) sinceTerm(a *ask) string {
	if last, around := s.term(a.node, a); around {
		return fmt.Sprintf("%v after SIGTERM of %s", a.ended.Sub(last), a.node.Daemon.Name)
	}
	return "elsewhere, at " + a.node.Daemon.Name
}

// fault returns what was done wrong to a request, or an empty text.
func (s *stops) fault(a *ask, visits []*visit) string {
	refused := a.outcome == "not-run"
	switch {
	case len(visits) > 1 && a.id[0] == 'o':
		return "ran twice"
	case refused && len(visits) > 0:
		return "refused although it ran"
	case refused, a.unread, a.status != 0 && a.outcome == "":
		return ""
	case a.ended.Sub(a.sent) > a.timeout-deadlineTransit:
		return ""
	case len(visits) > 0 && s.mayCut(a, visits[len(visits)-1]):
		return ""
	case len(visits) > 0:
		return "LOST at work"
	case a.status == 0 && !a.behind && a.ended.Sub(a.sent) > lossSlack:
		return "LOST without a server"
	}
	return ""
}

// mayCut reports whether the server would still have been at work in the last sixth of the grace on a request from the first half of it,
// be it the grace of the daemon that took the request or of the one beside the server.
func (s *stops) mayCut(a *ask, last *visit) bool {
	for _, node := range []*proc.Node{a.node, last.node} {
		term, around := s.term(node, a)
		late := last.began.Add(a.work + answerTransit).After(term.Add(stopsKillAfter * 5 / 6))
		if around && late && a.sent.Before(term.Add(stopsKillAfter/2)) {
			return true
		}
	}
	return false
}
