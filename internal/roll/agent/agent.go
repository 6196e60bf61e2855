// Package agent holds what one daemon knows of the roll-out of its service, and restricts its server to what that permits.
package agent

import (
	"cmp"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/epoch"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
)

const (
	// DefaultRollbackTime is the time within which a bad release gets no more requests.
	DefaultRollbackTime = 5 * time.Second
	// OldLease is how long an old server admits requests without a round. After it, and the time that the requests take, a roll-out may
	// be completed without a daemon that does not reply. It exceeds the time in which three successors take over.
	OldLease = 5 * time.Second
	// RowLease is how long the phase that was read from the table extends the leases of a server, from the start of the read. It is short,
	// because a phase in the table may be replaced at once.
	RowLease = time.Second
)

// Server is the server beside the daemon. The daemon uses status.Server.
type Server interface {
	// Release returns the release of the server, or the empty string while it is unknown.
	Release() string
	// Slots returns how many requests the server runs at once.
	Slots() int
}

// Agent takes part in the roll-outs of one service. Its exported fields are set before Start.
type Agent struct {
	Service      string
	Address      netip.AddrPort // of this daemon
	Incarnation  ident.Incarnation
	Config       *config.Holder
	Server       Server        // nil when the servers of the service do not check in; orders are then ignored
	Ready        func() bool   // whether the server takes requests, apart from the roll-out
	RollbackTime time.Duration // DefaultRollbackTime when 0
	Log          logr.Logger

	current atomic.Pointer[order] // nil while no order restricts the service

	mu       sync.Mutex // serializes changes of current; taken before the lock of an order
	watchers []func()
	started  bool // a configuration was in force
}

// Start follows the orders in the configuration.
func (a *Agent) Start() {
	if a.Server != nil {
		a.Config.Subscribe(a.configure)
	}
}

// OnOrder calls notify after an order has appeared, was replaced or withdrawn. notify must not block.
func (a *Agent) OnOrder(notify func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers = append(a.watchers, notify)
}

func (a *Agent) configure(conf *config.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held, ordered := a.current.Load(), conf.Rollouts[a.Service]
	first := !a.started
	a.started = true
	switch {
	case ordered == nil && held == nil:
		return
	case ordered == nil:
		if !a.withdraw(held) {
			return
		}
	case held != nil && held.is(ordered.Order, ordered.Target):
		held.renew(ordered.Duration)
	default:
		next := newOrder(a, *ordered)
		next.inherited, next.era = first, epoch.Era(conf.Revision)
		if held != nil {
			next.banned = held.rejected(ordered.Target)
		}
		a.current.Store(next)
		a.Log.Info("rollout-ordered", "service", a.Service, "order", ordered.Order, "target", ordered.Target, "duration", ordered.Duration)
	}
	for _, notify := range a.watchers {
		notify()
	}
}

// withdraw ends a held order whose section was removed. A completed one leaves no restriction. Any other ends as rolled back, and its
// target stays out of service as long as this process remembers it.
func (a *Agent) withdraw(held *order) bool {
	held.mu.Lock()
	defer held.mu.Unlock()
	if held.known && held.phase == phase.Completed {
		a.current.Store(nil)
		return true
	}
	if held.withdrawn {
		return false
	}
	held.withdrawn = true
	held.setPhase(phase.RolledBack, held.known && held.phase == phase.RolledBack && held.stored, "withdrawn")
	return true
}

// forget drops a withdrawn order that another daemon had completed before.
func (a *Agent) forget(o *order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o.withdrawn && a.current.Load() == o {
		a.current.Store(nil)
	}
}

// Refusing implements gate.Rollout.
func (a *Agent) Refusing() *code.Error {
	o := a.current.Load()
	if o == nil {
		return nil
	}
	release := a.Server.Release()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refusing(release, time.Now())
}

// OutOfService reports whether the server is to be announced as leaving. It is false for a server in trial that has used up its present
// allowance, because its state would change several times per second.
func (a *Agent) OutOfService() bool {
	o := a.current.Load()
	if o == nil {
		return false
	}
	release := a.Server.Release()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outOfService(release, time.Now())
}

func (a *Agent) rollbackTime() time.Duration {
	return cmp.Or(a.RollbackTime, DefaultRollbackTime)
}
