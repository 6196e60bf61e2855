package proc_test

import (
	"context"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
)

const (
	steadyLoad = 1200 * time.Millisecond // of load before and after a failure
	// shortPause is longer than the acknowledgment time-out of 250 ms and shorter than the deadlines: a request sent to
	// the paused daemon can still run when the daemon resumes, after its router has given that attempt up.
	shortPause     = 600 * time.Millisecond
	shortPauses    = 4
	longPause      = 2500 * time.Millisecond // longer than every deadline
	betweenSignals = 20 * time.Millisecond   // far less than a stop takes
	lateArrival    = time.Second             // how long requests sent before a pause can still arrive
)

var _ = Describe("a daemon", func() {
	// Guards against a router that retries a non-idempotent request with an unknown outcome, and against one that reports
	// not-run for a request that may have run.
	It("killed under load causes no repeated run and no incorrect outcome", func(ctx SpecContext) {
		fleet := startFleet(ctx, baseConfiguration, threeZones())
		load := startTraffic(ctx, fleet)
		victims := fleet.Nodes[:2] // one beside a server for lookups, one beside a server for orders
		for _, victim := range victims {
			pause(ctx, steadyLoad)
			victim.Daemon.Kill()
			pause(ctx, steadyLoad)
			Expect(victim.Daemon.Start()).To(Succeed())
			expectReady(ctx, fleet, victim)
		}
		pause(ctx, steadyLoad)
		results := load.finish()
		expectOutcomesCorrect(ctx, fleet, results)
		expectNoConnectionsInUse(ctx, fleet.Nodes...)
		Expect(failures(results, http.MethodGet, victims[0].Callers, victims[1].Callers)).
			To(BeEmpty(), "failed lookups through the undisturbed daemons")
	}, SpecTimeout(specTimeout))

	// Guards against a router that was paused and sends request headers after their deadline, and against a daemon that
	// was paused and then admits requests that were revoked or are past their deadline.
	It("paused under load causes no repeated run and no incorrect outcome", func(ctx SpecContext) {
		fleet := startFleet(ctx, baseConfiguration, threeZones())
		load := startTraffic(ctx, fleet)
		pause(ctx, steadyLoad)
		victims := fleet.Nodes[:2] // one beside a server for lookups, one beside a server for orders
		for round := range shortPauses {
			pauseDaemon(ctx, victims[round%len(victims)], shortPause)
			pause(ctx, shortPause)
		}
		pauseDaemon(ctx, victims[1], longPause)
		pause(ctx, steadyLoad)
		results := load.finish()
		pause(ctx, lateArrival)
		expectOutcomesCorrect(ctx, fleet, results)
		expectNoConnectionsInUse(ctx, fleet.Nodes...)
		Expect(failures(results, http.MethodGet, victims[0].Callers, victims[1].Callers)).
			To(BeEmpty(), "failed lookups through the undisturbed daemons")
	}, SpecTimeout(specTimeout))

	// Guards against a planned stop that interrupts requests in flight or refuses callers that use the current list of daemons.
	// Also guards against a second signal that cuts the stop short, and against a reload that undoes it.
	DescribeTable("stopped with its server fails no request", func(ctx SpecContext, signals ...syscall.Signal) {
		fleet := startFleet(ctx, baseConfiguration, threeZones())
		load := startTraffic(ctx, fleet)
		pause(ctx, steadyLoad)
		victim := fleet.Nodes[1]
		for _, signal := range signals {
			Expect(victim.Daemon.Signal(signal)).To(Succeed())
			pause(ctx, betweenSignals)
		}
		Expect(victim.Daemon.Wait(ctx)).To(Succeed())
		ran, err := victim.Runs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(ran).NotTo(BeEmpty())
		Expect(victim.Backend.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(victim.Backend.Wait(ctx)).To(Succeed())
		pause(ctx, steadyLoad)
		results := load.finish()
		Expect(failures(results, http.MethodGet)).To(BeEmpty(), "failed lookups")
		Expect(failures(results, http.MethodPost)).To(BeEmpty(), "failed orders")
		expectNoConnectionsInUse(ctx, append(fleet.Nodes[:1:1], fleet.Nodes[2:]...)...)
	},
		Entry("by a signal", SpecTimeout(specTimeout), syscall.SIGTERM),
		Entry("by two signals between reloads", SpecTimeout(specTimeout), syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM),
	)
})

func pauseDaemon(ctx context.Context, node *proc.Node, duration time.Duration) {
	ExpectWithOffset(1, node.Daemon.Signal(syscall.SIGSTOP)).To(Succeed())
	pause(ctx, duration)
	ExpectWithOffset(1, node.Daemon.Signal(syscall.SIGCONT)).To(Succeed())
}

func expectReady(ctx context.Context, fleet *proc.Fleet, nodes ...*proc.Node) {
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ExpectWithOffset(1, fleet.Ready(ready, nodes)).To(Succeed())
}
