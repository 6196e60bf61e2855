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
	steady     = 1200 * time.Millisecond // of load before and after a failure
	pauseFor   = 3 * time.Second         // longer than the ack bound and every deadline
	late       = time.Second             // in which work that was sent before a pause can still arrive
	killRounds = 2
)

var _ = Describe("a daemon", func() {
	// Guards against a router that repeats a request whose fate it does not know, and against a not-run that is a guess.
	It("killed under load makes no request run twice and no outcome false", func(ctx SpecContext) {
		fleet := startFleet(ctx, folder, threeZones())
		load := startTraffic(ctx, fleet)
		victim := fleet.Nodes[1] // the daemon of an order server, so that orders are in flight at it
		for range killRounds {
			pause(ctx, steady)
			victim.Daemon.Kill()
			pause(ctx, steady)
			Expect(victim.Daemon.Start()).To(Succeed())
			expectReady(ctx, fleet, victim)
		}
		pause(ctx, steady)
		fates := load.end()
		expectOutcomesTrue(ctx, fleet, fates)
		expectNoneHeld(ctx, fleet.Nodes...)
		Expect(others(fates, http.MethodGet, victim.Callers)).To(BeEmpty(), "lookups through the surviving daemons")
	}, SpecTimeout(specTimeout))

	// Guards against heads that a paused router sends after its deadline, and against a paused admission role that runs
	// revoked or late requests when it resumes.
	It("paused under load makes no request run twice and no outcome false", func(ctx SpecContext) {
		fleet := startFleet(ctx, folder, threeZones())
		load := startTraffic(ctx, fleet)
		pause(ctx, steady)
		victim := fleet.Nodes[1]
		Expect(victim.Daemon.Signal(syscall.SIGSTOP)).To(Succeed())
		pause(ctx, pauseFor)
		Expect(victim.Daemon.Signal(syscall.SIGCONT)).To(Succeed())
		pause(ctx, steady)
		fates := load.end()
		pause(ctx, late)
		expectOutcomesTrue(ctx, fleet, fates)
		expectNoneHeld(ctx, fleet.Nodes...)
		Expect(others(fates, http.MethodGet, victim.Callers)).To(BeEmpty(), "lookups through the surviving daemons")
	}, SpecTimeout(specTimeout))

	// Guards against a planned stop that interrupts requests in flight or refuses callers that follow the list.
	It("stopped with its server fails no request", func(ctx SpecContext) {
		fleet := startFleet(ctx, folder, threeZones())
		load := startTraffic(ctx, fleet)
		pause(ctx, steady)
		victim := fleet.Nodes[1]
		Expect(victim.Daemon.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(victim.Daemon.Wait(ctx)).To(Succeed())
		ran, err := victim.Runs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(ran).NotTo(BeEmpty())
		Expect(victim.Backend.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(victim.Backend.Wait(ctx)).To(Succeed())
		pause(ctx, steady)
		fates := load.end()
		Expect(others(fates, http.MethodGet, victim.Server)).To(BeEmpty(), "lookups")
		Expect(others(fates, http.MethodPost, victim.Server)).To(BeEmpty(), "orders")
		expectNoneHeld(ctx, append(fleet.Nodes[:1:1], fleet.Nodes[2:]...)...)
	}, SpecTimeout(specTimeout))
})

func expectReady(ctx context.Context, fleet *proc.Fleet, nodes ...*proc.Node) {
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ExpectWithOffset(1, fleet.Ready(ready, nodes)).To(Succeed())
}
