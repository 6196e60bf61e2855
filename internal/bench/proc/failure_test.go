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
	// shortPause is longer than the ack bound of 250 ms and shorter than the deadlines: work that was sent to the paused
	// daemon can still run when it resumes, after its routers have made up their minds.
	shortPause  = 600 * time.Millisecond
	shortPauses = 4
	longPause   = 2500 * time.Millisecond // longer than every deadline
	lateArrival = time.Second             // in which work that was sent before a pause can still arrive
)

var _ = Describe("a daemon", func() {
	// Guards against a router that repeats a request whose fate it does not know, and against a not-run that is a guess.
	It("killed under load makes no request run twice and no outcome false", func(ctx SpecContext) {
		fleet := startFleet(ctx, folder, threeZones())
		load := startTraffic(ctx, fleet)
		victims := fleet.Nodes[:2] // beside a server of lookups and one of orders
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
		Expect(failures(results, http.MethodGet, victims[0].Callers, victims[1].Callers)).To(BeEmpty(), "lookups through the surviving daemons")
	}, SpecTimeout(specTimeout))

	// Guards against heads that a paused router sends after its deadline, and against a paused admission role that runs
	// revoked or late requests when it resumes.
	It("paused under load makes no request run twice and no outcome false", func(ctx SpecContext) {
		fleet := startFleet(ctx, folder, threeZones())
		load := startTraffic(ctx, fleet)
		pause(ctx, steadyLoad)
		victims := fleet.Nodes[:2] // beside a server of lookups and one of orders
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
		Expect(failures(results, http.MethodGet, victims[0].Callers, victims[1].Callers)).To(BeEmpty(), "lookups through the surviving daemons")
	}, SpecTimeout(specTimeout))

	// Guards against a planned stop that interrupts requests in flight or refuses callers that follow the list.
	It("stopped with its server fails no request", func(ctx SpecContext) {
		fleet := startFleet(ctx, folder, threeZones())
		load := startTraffic(ctx, fleet)
		pause(ctx, steadyLoad)
		victim := fleet.Nodes[1]
		Expect(victim.Daemon.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(victim.Daemon.Wait(ctx)).To(Succeed())
		ran, err := victim.Runs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(ran).NotTo(BeEmpty())
		Expect(victim.Backend.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(victim.Backend.Wait(ctx)).To(Succeed())
		pause(ctx, steadyLoad)
		results := load.finish()
		Expect(failures(results, http.MethodGet)).To(BeEmpty(), "lookups")
		Expect(failures(results, http.MethodPost)).To(BeEmpty(), "orders")
		expectNoConnectionsInUse(ctx, append(fleet.Nodes[:1:1], fleet.Nodes[2:]...)...)
	}, SpecTimeout(specTimeout))
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
