// Package coord coordinates the roll-out of a service: it collects the evidence of all its daemons, decides on the phase, and grants
// allowances to the target servers. Every daemon of the service runs a coordinator; one of them is active at a time.
package coord

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const (
	roundInterval = 250 * time.Millisecond
	roundTimeout  = 200 * time.Millisecond // of one round to one daemon, so that a silent daemon does not delay the next round
	// tallyRounds is the number of rounds in which all daemons send their tallies once; those in trial send them in every round. All do
	// in the same round, because the verdict compares the releases over the same times. The tally of 8 routes takes 341 bytes in
	// TestRolloutEvidenceIsSmall, the rest of the evidence 29.
	tallyRounds = 2
	// takeOverAfter is the time without a round, for each predecessor in the succession, after which a daemon takes over.
	takeOverAfter = time.Second
	// storeTimeout is how long the table may be out of reach before the coordinator steps down.
	storeTimeout = 2 * time.Second
	stepDownFor  = 5 * time.Second
	// storePoll is the interval of the reads by which the active coordinator notices that it cannot reach the table.
	storePoll = time.Second
	// learnInterval is the interval at which a daemon that does not know the phase reads the row and asks a peer.
	learnInterval = 500 * time.Millisecond
	// maxPause is the time between two rounds after which this process counts as paused. Its evidence is then out of date.
	maxPause = time.Second
	// announceLead is how long before the switch target servers are announced as serving, so that routers know them when the old
	// servers refuse. It covers the state update of a daemon (200 ms) and two rounds of eager exchanges.
	announceLead = 750 * time.Millisecond
	// finalRounds is how long a final phase is told to daemons that have not confirmed it. Later ones read the row.
	finalRounds = 30 * time.Second
	// restorers is the number of daemons of a service that write a final phase again after the table has come back from an older copy.
	restorers = 2
)

// StatusRow returns the row in which operators of a hosted platform read the state of a roll-out.
type StatusRow func(service, target string, current phase.Phase) (key string, value []byte)

// Coordinator is the coordinator of one daemon. Its exported fields are set before Run.
type Coordinator struct {
	Service   string
	Address   netip.AddrPort // of this daemon
	Agent     *agent.Agent
	Members   *member.Table
	Client    proto.RolloutClient
	Store     table.Store
	StatusRow StatusRow   // nil when operators read only rollout/SERVICE
	Eligible  func() bool // whether this daemon may coordinate; false while it stops. nil means always
	Share     float64     // of the requests of the service that a release in trial may get
	Slack     uint64      // requests that it may get in addition
	Log       logr.Logger

	counters   counters
	active     atomic.Bool    // this daemon sends rounds
	background sync.WaitGroup // accesses to the table and questions to peers

	mu      sync.Mutex
	session *session // of the present order; nil without one
}

type counters struct {
	rounds, lost, takeovers, stepDowns, writes, storeFailures atomic.Uint64
}

// Run takes part in the coordination of each order until ctx ends. It only waits while no order is configured.
func (c *Coordinator) Run(ctx context.Context) error {
	ordered := make(chan struct{}, 1)
	c.Agent.OnOrder(func() {
		select {
		case ordered <- struct{}{}:
		default: // Run has yet to take the last one
		}
	})
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	defer c.background.Wait()
	for ctx.Err() == nil {
		view, found := c.Agent.View()
		if !found || c.finished(view) {
			ticker.Stop()
			c.end(found)
			select {
			case <-ctx.Done():
			case <-ordered:
			}
			ticker.Reset(roundInterval)
			continue
		}
		c.step(ctx, view)
		select {
		case <-ctx.Done():
		case <-ordered:
		case <-ticker.C:
		}
	}
	return nil
}

// finished reports whether nothing is left to do for the order.
func (c *Coordinator) finished(view agent.View) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.session
	return s != nil && s.is(view.Ordered) && s.done && s.withdrawn == view.Withdrawn && !s.restores()
}

// era returns the era of the table that the configuration in force tells. Run is woken by each configuration.
func (c *Coordinator) era() uint64 {
	return epoch.Era(c.Agent.Config.Revision())
}

// end drops what is no longer needed. The session of a finished order is kept, as a mark that it is finished.
func (c *Coordinator) end(keep bool) {
	c.active.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !keep {
		c.session = nil
	}
}

func (c *Coordinator) sessionOf(view agent.View) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.session; s == nil || !s.is(view.Ordered) || s.withdrawn != view.Withdrawn {
		c.session = newSession(c, view)
	}
	return c.session
}

// step does the work of one interval: it learns the phase, takes or leaves the role, and sends a round.
func (c *Coordinator) step(ctx context.Context, view agent.View) {
	s := c.sessionOf(view)
	now := time.Now()
	s.settle(now)
	if view, found := c.Agent.View(); !found || !s.is(view.Ordered) {
		return
	}
	if s.done {
		s.restore(ctx, view, now)
		return
	}
	s.updateRole(ctx, now)
	c.active.Store(s.coordinating)
	if s.coordinating {
		s.round(ctx)
		return
	}
	s.lastRound = time.Time{}
	s.learnPhase(ctx, now)
}

// Dump is the state of a Coordinator.
type Dump struct {
	Coordinating  bool
	Yielding      bool // it cannot reach the table, and another daemon may take over
	Rank          int  // place in the succession; 0 is first
	Ordered       *config.Rollout
	Reason        string // why the last plan wants its phase
	Verdict       string
	Daemons       int
	Reached       int // daemons that replied to the last round
	Received      uint64
	Admitted      uint64
	Rounds        uint64
	Lost          uint64 // rounds to one daemon that got no reply
	Takeovers     uint64
	StepDowns     uint64
	Writes        uint64
	StoreFailures uint64
}

// Dump returns the state for the state dump.
func (c *Coordinator) Dump() any {
	return c.Counts()
}

// Counts returns the state for metrics.
func (c *Coordinator) Counts() Dump {
	dump := Dump{
		Coordinating: c.active.Load(), Rounds: c.counters.rounds.Load(), Lost: c.counters.lost.Load(), Takeovers: c.counters.takeovers.Load(),
		StepDowns: c.counters.stepDowns.Load(), Writes: c.counters.writes.Load(), StoreFailures: c.counters.storeFailures.Load(),
	}
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	if s != nil {
		s.describe(&dump)
	}
	return dump
}
