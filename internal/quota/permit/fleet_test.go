package permit

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
)

const (
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
)

// fleet is a number of agents on a network in virtual time. It must be created inside a synctest bubble.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	conf   *config.Config
	ctx    context.Context
	work   sync.WaitGroup

	mu       sync.Mutex
	daemons  []*process
	runs     map[string][]time.Time // by organisation
	sent     map[string]int         // requests
	refused  map[string]int
	messages int
	late     map[link]int // how many of the next packets are lost and sent again
}

// link is a direction between two processes.
type link struct{ from, to *process }

// loses reports whether the next packet of a link is lost.
func (f *fleet) loses(l link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.late[l] == 0 {
		return f.random.IntN(1000) < 15
	}
	f.late[l]--
	return true
}

// process is a daemon: its agent and its state in the network.
type process struct {
	fleet   *fleet
	address netip.AddrPort
	index   int

	mu     sync.Mutex // guards the following
	agent  *Agent
	table  *member.Table
	killed bool
	silent bool // killed together with its host, so that connections are not refused
	resume chan struct{}
	side   int // processes on different sides do not reach each other
	heard  map[int]time.Time
	lost   map[int]time.Time // when the process was first not reached
}

func newFleet(t *testing.T, seed uint64, size int, organisations ...*config.Organisation) *fleet {
	ctx, stop := context.WithCancel(t.Context())
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), ctx: ctx, runs: make(map[string][]time.Time),
		sent: make(map[string]int), refused: make(map[string]int),
		conf: &config.Config{Revision: 1, Organisations: make(map[string]*config.Organisation)},
	}
	for _, o := range organisations {
		f.conf.Organisations[o.Name] = o
	}
	for i := range size {
		p := &process{fleet: f, index: i, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 9000)}
		f.daemons = append(f.daemons, p)
	}
	for _, p := range f.daemons {
		p.start(1)
		f.work.Go(func() { p.live() })
	}
	t.Cleanup(func() {
		stop()
		f.work.Wait()
	})
	return f
}

// at returns the process with the address.
func (f *fleet) at(address netip.AddrPort) *process {
	return f.daemons[slices.IndexFunc(f.daemons, func(p *process) bool { return p.address == address })]
}

func organisation(name string, rate float64) *config.Organisation {
	return &config.Organisation{Name: name, Rate: rate, Burst: int(rate)}
}

func (f *fleet) rand(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) perm(n int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Perm(n)
}

func (f *fleet) between(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rand(int(to-from)))
}

func (p *process) record(version uint64, state member.State) member.Record {
	return member.Record{Address: p.address, Service: "stock", Incarnation: 1, State: state, Version: version}
}

// start runs the daemon, which knows all members, and forgets what an earlier one knew.
func (p *process) start(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = &member.Table{}
	p.table.SetSelf(p.record(version, member.Serving))
	for _, other := range p.fleet.daemons {
		p.table.Apply(other.record(1, member.Serving))
	}
	holder := &config.Holder{}
	if err := holder.Set(p.fleet.conf); err != nil {
		p.fleet.t.Error(err)
	}
	p.agent = &Agent{
		Self: p.address, Members: p.table, Config: holder, Client: client{p}, Owner: &owner.Owner{Slack: slack},
		Window: window, Slack: slack, Log: logr.Discard(),
	}
	p.killed, p.silent = false, false
	p.heard, p.lost = make(map[int]time.Time), make(map[int]time.Time)
}

// live ticks the agent and simulates the membership, except while the process is paused or killed.
func (p *process) live() {
	for p.sleep(100 * time.Millisecond) {
		p.mu.Lock()
		agent, table, killed := p.agent, p.table, p.killed
		p.mu.Unlock()
		if killed || !p.waitWhilePaused(p.fleet.ctx) {
			continue
		}
		p.updateMembers(table)
		agent.Tick(time.Now())
	}
}

func (p *process) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-p.fleet.ctx.Done():
		return false
	}
}

// updateMembers suspects others that are not reached for some seconds, and learns that they are reached again after some time.
func (p *process) updateMembers(table *member.Table) {
	for _, other := range p.fleet.daemons {
		if other == p {
			continue
		}
		known, _ := table.Get(other.address)
		bad := known.State == member.Suspect || known.State == member.Gone
		if reached := p.reaches(other) && !other.isDown(); reached == !bad {
			delete(p.lost, other.index)
			continue
		}
		since, found := p.lost[other.index]
		if !found {
			p.lost[other.index] = time.Now()
			continue
		}
		switch elapsed := time.Since(since); {
		case bad && elapsed > p.fleet.between(200*time.Millisecond, 2*time.Second):
			table.Apply(other.record(known.Version+1, member.Serving))
		case !bad && elapsed > p.fleet.between(time.Second, 4*time.Second):
			table.Suspect(known)
		}
	}
	table.Expire()
}

func (p *process) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed || p.resume != nil
}

func (p *process) reaches(other *process) bool {
	p.mu.Lock()
	side := p.side
	p.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	return side == other.side
}

func (p *process) setSide(side int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.side = side
}

func (p *process) pause(d time.Duration) {
	resumed := make(chan struct{})
	p.mu.Lock()
	p.resume = resumed
	p.mu.Unlock()
	p.sleep(d)
	p.mu.Lock()
	p.resume = nil
	table := p.table
	p.mu.Unlock()
	close(resumed)
	table.RestartSuspicions()
}

func (p *process) kill(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed, p.silent = true, silent
}

// waitWhilePaused reports false when ctx ends first.
func (p *process) waitWhilePaused(ctx context.Context) bool {
	p.mu.Lock()
	resumed := p.resume
	p.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}

// request carries out a request of an organisation that arrives at a process. A server runs it some time later.
func (f *fleet) request(p *process, name string) {
	p.mu.Lock()
	agent, down := p.agent, p.killed || p.resume != nil
	p.mu.Unlock()
	if down {
		return
	}
	f.count(f.sent, name)
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	release, err := agent.Take(ctx, f.conf.Organisations[name])
	if err != nil {
		f.count(f.refused, name)
		f.count(f.refused, name+" "+code.Of(err).Code.String())
		return
	}
	if f.rand(100) < 2 {
		release(false)
		return
	}
	if !p.sleep(f.between(0, 20*time.Millisecond)) || !p.waitWhilePaused(f.ctx) {
		return
	}
	release(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[name] = append(f.runs[name], time.Now())
}

func (f *fleet) count(counts map[string]int, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts[name]++
}

// send lets requests of an organisation arrive at random times, at the processes that choose selects, until the duration has passed.
func (f *fleet) send(name string, d time.Duration, rate func() float64, choose func() *process) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.mu.Lock()
		gap := f.random.ExpFloat64() / rate()
		f.mu.Unlock()
		if !f.daemons[0].sleep(time.Duration(gap * float64(time.Second))) {
			return
		}
		p := choose()
		f.work.Go(func() { f.request(p, name) })
	}
}

// worst returns the largest number of runs in any window, relative to its bound.
func (f *fleet) worst(name string) (most int, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.conf.Organisations[name]
	bound := (limit.Rate*window.Seconds()+float64(limit.Burst))*(1+overage) + slack
	first := 0
	for i, at := range f.runs[name] {
		for at.Sub(f.runs[name][first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(most) / bound
}

func (f *fleet) ran(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs[name])
}

func (f *fleet) requests(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[name]
}

func (f *fleet) refusals(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused[name]
}

func (f *fleet) messageCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.messages
}
