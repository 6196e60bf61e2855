package proc_test

import (
	"context"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
)

// injectFault starts a random fault, which is reverted after a random time.
func (s *soak) injectFault(ctx context.Context) {
	number := s.random.IntN(len(s.fleet.Nodes))
	node, duration, kind := s.fleet.Nodes[number], s.randomDuration(minFaultDuration, maxFaultDuration), s.random.IntN(faultKinds)
	delay, chance := s.randomDuration(0, maxRelayDelay), s.random.Float64()
	GinkgoWriter.Printf("%s fault %d on %s for %v\n", time.Now().Format(time.TimeOnly+".000"), kind, node.Daemon.Name, duration)
	switch kind {
	case 0, 1:
		s.exclusive(&s.daemonLocks[number], func() { s.killDaemon(ctx, node, duration) })
	case 2, 3:
		s.exclusive(&s.daemonLocks[number], func() { s.pauseDaemon(ctx, node, duration, chance < 0.3) })
	case 4:
		s.exclusive(&s.daemonLocks[number], func() { s.stopDaemon(ctx, node, duration, chance < 0.3) })
	case 5:
		s.temporary(ctx, duration, func() { node.DaemonRelay.Silence(true) }, func() { node.DaemonRelay.Silence(false) })
	case 6:
		s.temporary(ctx, duration, func() { node.DaemonRelay.Silence(true, proc.FromTarget) },
			func() { node.DaemonRelay.Silence(false, proc.FromTarget) })
	case 7:
		s.temporary(ctx, duration, func() { node.DaemonRelay.Silence(true, proc.ToTarget) },
			func() { node.DaemonRelay.Silence(false, proc.ToTarget) })
	case 8:
		s.temporary(ctx, duration, func() { node.DaemonRelay.Delay(delay) }, func() { node.DaemonRelay.Delay(0) })
	case 9:
		node.DaemonRelay.Reset()
	case 10:
		node.ServerRelay.Reset()
	case 11:
		s.temporary(ctx, duration, func() { node.ServerRelay.Delay(delay) }, func() { node.ServerRelay.Delay(0) })
	case 12:
		s.exclusive(&s.serverLocks[number], func() { s.disruptServer(ctx, node.Backend, duration, chance < 0.5) })
	case 13:
		s.temporary(ctx, duration, func() { s.fleet.PlatformRelay.Silence(true) }, func() { s.fleet.PlatformRelay.Silence(false) })
	case 14:
		s.platformFault(ctx, duration, chance)
	case 15:
		s.operatorChange(ctx, duration, []string{"zone", "out", node.Zone}, []string{"zone", "in", node.Zone})
	case 16:
		s.exclusive(&s.daemonLocks[number], func() { s.signal(node.Daemon, syscall.SIGHUP) })
	case faultKinds - 1:
		address := node.Daemons.String()
		s.operatorChange(ctx, duration, []string{"server", "leave", address}, []string{"server", "return", address})
	}
}

// temporary starts a fault and ends it after duration, without waiting for the end.
func (s *soak) temporary(ctx context.Context, duration time.Duration, begin, end func()) {
	begin()
	s.pending.Go(func() {
		pause(ctx, duration)
		end()
	})
}

// exclusive starts a fault that affects a process, unless another fault holds the lock.
func (s *soak) exclusive(busy *sync.Mutex, fault func()) {
	if !busy.TryLock() {
		return
	}
	s.pending.Go(func() {
		defer busy.Unlock()
		fault()
	})
}

// disruptServer kills a server and restarts it after duration, or pauses it for duration.
func (s *soak) disruptServer(ctx context.Context, server *proc.Process, duration time.Duration, kill bool) {
	if !kill {
		s.signal(server, syscall.SIGSTOP)
		pause(ctx, duration)
		s.signal(server, syscall.SIGCONT)
		return
	}
	server.Kill()
	pause(ctx, duration)
	if err := server.Start(); err != nil {
		s.report("start: %v", err)
	}
}

func (s *soak) signal(process *proc.Process, signal syscall.Signal) {
	if err := process.Signal(signal); err != nil {
		s.report("%v: %s", err, process.Tail(3))
	}
}

func (s *soak) killDaemon(ctx context.Context, node *proc.Node, down time.Duration) {
	s.signal(node.Daemon, 0) // fails if the daemon has exited on its own
	node.Daemon.Kill()
	pause(ctx, down)
	s.startDaemon(node)
}

func (s *soak) startDaemon(node *proc.Node) {
	s.revisions.restarted(node.Daemon.Name)
	if err := node.Daemon.Start(); err != nil {
		s.report("start: %v", err)
	}
}

// pauseDaemon pauses a daemon, then resumes it or kills it while it is paused.
func (s *soak) pauseDaemon(ctx context.Context, node *proc.Node, duration time.Duration, kill bool) {
	s.signal(node.Daemon, syscall.SIGSTOP)
	pause(ctx, duration)
	if kill {
		node.Daemon.Kill()
		s.startDaemon(node)
		return
	}
	s.signal(node.Daemon, syscall.SIGCONT)
}

// stopDaemon starts a planned stop of a daemon and waits for its end, or kills it after duration. Then it restarts the daemon.
func (s *soak) stopDaemon(ctx context.Context, node *proc.Node, duration time.Duration, kill bool) {
	s.signal(node.Daemon, syscall.SIGTERM)
	if kill {
		pause(ctx, duration)
		node.Daemon.Kill()
	} else {
		stopping, cancel := context.WithTimeout(ctx, proc.StopTimeout+stopMargin)
		defer cancel()
		if err := node.Daemon.Wait(stopping); err != nil {
			s.report("planned stop of %s: %v", node.Daemon.Name, err)
			node.Daemon.Kill()
		}
	}
	s.startDaemon(node)
}

func (s *soak) platformFault(ctx context.Context, duration time.Duration, chance float64) {
	fault := `{"fault": "lose-response", "probability": 0.4}`
	switch {
	case chance < 0.3:
		fault = `{"fault": "down"}`
	case chance < 0.6:
		fault = `{"fault": "slow", "delay": "700ms"}`
	}
	set := func(fault string) {
		if err := s.fleet.SetFault(ctx, fault); err != nil {
			s.report("platform: %v", err)
		}
	}
	s.temporary(ctx, duration, func() { set(fault) }, func() { set("") })
}

// operatorChange makes a change and undoes it after duration. Either may be refused while the platform has a fault.
func (s *soak) operatorChange(ctx context.Context, duration time.Duration, change, back []string) {
	s.pending.Go(func() {
		s.fleet.RunAs(ctx, "ann", change...)
		pause(ctx, duration)
		s.fleet.RunAs(ctx, "ben", back...)
	})
}
