package proc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
)

// Exit statuses of docs/configuration.md.
const (
	statusRefused     = 3
	statusUnavailable = 4
)

const (
	pollInterval     = 50 * time.Millisecond
	noWorkPeriod     = time.Second      // in which a server that is out must start nothing
	warmUpTimeout    = 15 * time.Second // for a server that came back to get work again
	raceRounds       = 3
	changeRounds     = 3
	minAnsweredShare = 0.999 // of idempotent calls while a zone leaves and returns, from the design page
)

var _ = Describe("a decision of an operator", func() {
	// Guards against a daemon that goes on to use a zone or server that operators have taken out, and against a departure
	// that cuts requests.
	It("keeps new work from a zone and from a server, and lets them return", func(ctx SpecContext) {
		fleet := startFleet(ctx, folder, threeZones())
		traffic := startTraffic(ctx, fleet)
		pause(ctx, steadyLoad)
		zone := fleet.Nodes[:2] // both servers of zone-a
		expectNoNewWork(ctx, fleet, zone, "zone", "out", "zone-a")
		expectWorkResumes(ctx, fleet, zone, "zone", "in", "zone-a")
		server := fleet.Nodes[2:3]
		expectNoNewWork(ctx, fleet, server, "server", "leave", server[0].Daemons.String())
		expectWorkResumes(ctx, fleet, server, "server", "return", server[0].Daemons.String())
		results := traffic.finish()
		expectOutcomesCorrect(ctx, fleet, results)
		expectNoConnectionsInUse(ctx, fleet.Nodes...)
		expectNoneInterrupted(results)
		failed := failures(results, http.MethodGet)
		answered := 1 - float64(len(failed))/float64(count(results, http.MethodGet))
		Expect(answered).To(BeNumerically(">=", minAnsweredShare), "lookups: %s", strings.Join(failed, "\n"))
	}, SpecTimeout(specTimeout))

	// Guards against two accepted changes that contradict each other, and against a refusal that does not name the other.
	It("is refused when another one has decided otherwise at the same moment", func(ctx SpecContext) {
		fleet := startFleet(ctx, folder, threeZones()[:1])
		for round := range raceRounds {
			expectOneAccepted(ctx, fleet, round)
		}
	}, SpecTimeout(specTimeout))

	// Guards against dissemination that misses daemons or is slower than the bound, and against a revision that reverts.
	It("is in force at 13 daemons within its bound and never reverts", func(ctx SpecContext) {
		fleet := startFleet(ctx, folder+"\n[service shelf-labels]\n", thirteenServers())
		monitor := monitorRevisions(ctx, fleet)
		for round := range changeRounds {
			revision, accepted := change(ctx, fleet, "slots.ini", fmt.Sprintf("[service stock-display]\nslots = %d\n", 20+round))
			monitor.expectInForce(ctx, revision, accepted.Add(changeBound))
		}
		Expect(monitor.stop()).To(BeEmpty(), "revisions that went back")
	}, SpecTimeout(specTimeout))
})

var _ = Describe("an outage of the platform", func() {
	// Guards against calls that depend on the platform, changes that take effect although they were reported as failed,
	// and daemons that cannot start or that keep an old configuration after the outage.
	It("disturbs no call, refuses changes, and ends with every daemon up to date", func(ctx SpecContext) {
		fleet := startFleet(ctx, strings.ReplaceAll(folder, "claim = true", "claim = false"), threeZones())
		traffic := startTraffic(ctx, fleet)
		pause(ctx, time.Second)
		before, err := fleet.Nodes[0].Revision(ctx)
		Expect(err).NotTo(HaveOccurred())
		file, err := fleet.Write("50-outage.ini", "[service stock-display]\nslots = 13\n")
		Expect(err).NotTo(HaveOccurred())

		Expect(fleet.SetFault(ctx, `{"fault": "down"}`)).To(Succeed())
		expectUnavailable(fleet.RunAs(ctx, "down", "config", "add", file))
		Expect(fleet.SetFault(ctx, "")).To(Succeed())
		fleet.PlatformRelay.Silence(true)
		expectUnavailable(fleet.RunAs(ctx, "silent", "config", "add", file, "--platform-timeout", "500ms"))

		added, err := fleet.Add(proc.Placement{Service: "stock-display", Zone: "zone-b"})
		Expect(err).NotTo(HaveOccurred())
		Expect(added.Daemon.Start()).To(Succeed())
		expectReady(ctx, fleet, added)
		Expect(added.Revision(ctx)).To(Equal(before), "configuration from the seed")

		fleet.PlatformRelay.Silence(false)
		watch := monitorRevisions(ctx, fleet)
		revision, accepted := change(ctx, fleet, "60-after.ini", "[service stock-display]\nslots = 14\n")
		Expect(revision).To(Equal(before+1), "a refused change was accepted")
		// The polls that were under way in the outage first run into the platform timeout of 2 s.
		watch.expectInForce(ctx, revision, accepted.Add(2*time.Second+changeBound))
		Expect(watch.stop()).To(BeEmpty(), "revisions that went back")
		results := traffic.finish()
		expectOutcomesCorrect(ctx, fleet, results)
		expectNoConnectionsInUse(ctx, fleet.Nodes...)
		Expect(failures(results, http.MethodGet)).To(BeEmpty(), "lookups")
		Expect(failures(results, http.MethodPost)).To(BeEmpty(), "orders")
	}, SpecTimeout(specTimeout))
})

// thirteenServers has the sizes of the design page: 6, 4 and 3 servers over three zones.
func thirteenServers() []proc.Placement {
	var places []proc.Placement
	for i := range 13 {
		service := "stock-display"
		if i >= 10 {
			service = "shelf-labels"
		} else if i >= 6 {
			service = "order-taking"
		}
		places = append(places, proc.Placement{Service: service, Zone: "zone-" + string(rune('a'+i%3))})
	}
	return places
}

// accept makes a change that must be accepted, and returns its revision and when the command had its answer.
func accept(ctx context.Context, fleet *proc.Fleet, args ...string) (uint64, time.Time) {
	output := fleet.RunAs(ctx, "operator", args...)
	accepted := time.Now()
	ExpectWithOffset(2, output.Status).To(BeZero(), "%v: %s", args, output.Stderr)
	response := struct {
		Revision uint64 `json:"revision"`
	}{}
	ExpectWithOffset(2, json.Unmarshal([]byte(output.Stdout), &response)).To(Succeed())
	return response.Revision, accepted
}

func change(ctx context.Context, fleet *proc.Fleet, name, content string) (uint64, time.Time) {
	file, err := fleet.Write(name, content)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return accept(ctx, fleet, "config", "add", file)
}

// expectNoNewWork takes nodes out by a command and checks that their servers start nothing after the bound.
func expectNoNewWork(ctx context.Context, fleet *proc.Fleet, nodes []*proc.Node, args ...string) {
	revision, accepted := accept(ctx, fleet, args...)
	wait := fleet.Run(ctx, "config", "wait", fleet.Nodes[5].Admin.String(), "--revision", strconv.FormatUint(revision, 10))
	ExpectWithOffset(1, wait.Status).To(BeZero(), "config wait: %s%s", wait.Stdout, wait.Stderr)
	pause(ctx, time.Until(accepted.Add(decisionBound)))
	before := runTotals(ctx, nodes)
	pause(ctx, noWorkPeriod)
	ExpectWithOffset(1, runTotals(ctx, nodes)).To(Equal(before), "new work after %v", args)
}

// expectWorkResumes brings nodes back by a command and waits until each gets work.
func expectWorkResumes(ctx context.Context, fleet *proc.Fleet, nodes []*proc.Node, args ...string) {
	before := runTotals(ctx, nodes)
	accept(ctx, fleet, args...)
	waiting, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	for i := range nodes {
		EventuallyWithOffset(1, func() int { return runTotals(waiting, nodes)[i] }).WithContext(waiting).WithPolling(pollInterval).
			Should(BeNumerically(">", before[i]), "no work for %s after %v", nodes[i].Daemon.Name, args)
	}
}

func runTotals(ctx context.Context, nodes []*proc.Node) []int {
	var all []int
	for _, node := range nodes {
		total, err := node.TotalRuns(ctx)
		ExpectWithOffset(2, err).NotTo(HaveOccurred())
		all = append(all, total)
	}
	return all
}

// expectNoneInterrupted checks that no request ended by anything but its server or a refusal before it ran.
func expectNoneInterrupted(results map[string]proc.Result) {
	var interrupted []string
	for id, result := range results {
		if result.Outcome != load.OK && result.Outcome != load.NotRun {
			interrupted = append(interrupted, fmt.Sprintf("%s: %+v", id, result))
		}
	}
	ExpectWithOffset(1, interrupted).To(BeEmpty(), "requests that were cut")
}

func expectUnavailable(output proc.Output) {
	ExpectWithOffset(1, output.Status).To(Equal(statusUnavailable), "%s%s", output.Stdout, output.Stderr)
	ExpectWithOffset(1, output.Stderr).To(ContainSubstring(`"outcome": "not-run"`))
}

// expectOneAccepted lets two operators give one key two values from the same revision at the same moment.
func expectOneAccepted(ctx context.Context, fleet *proc.Fleet, round int) {
	base, _ := change(ctx, fleet, "05-base.ini", fmt.Sprintf("[service stock-display]\nqueue = %d\n", 50+round))
	files := []string{"20-first.ini", "30-second.ini"}
	operators := []string{"ann", "ben"}
	outputs := make([]proc.Output, len(files))
	var changes sync.WaitGroup
	for i, name := range files {
		file, err := fleet.Write(name, fmt.Sprintf("[service stock-display]\nslots = %d\n", 30+10*i+round))
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		changes.Go(func() {
			outputs[i] = fleet.RunAs(ctx, operators[i], "config", "add", file, "--base", strconv.FormatUint(base, 10))
		})
	}
	changes.Wait()
	winner := 0
	if outputs[0].Status != 0 {
		winner = 1
	}
	loser := outputs[1-winner]
	ExpectWithOffset(1, outputs[winner].Status).To(BeZero(), outputs[winner].Stderr)
	ExpectWithOffset(1, loser.Status).To(Equal(statusRefused), loser.Stdout+loser.Stderr)
	ExpectWithOffset(1, loser.Stderr).To(And(ContainSubstring(files[winner]), ContainSubstring("slots"),
		ContainSubstring(operators[winner]), ContainSubstring(`"outcome": "not-run"`)))
	list := fleet.Run(ctx, "config", "list", "--platform-table", fleet.PlatformAddress.String())
	ExpectWithOffset(1, list.Stdout).To(ContainSubstring(files[winner]))
	ExpectWithOffset(1, list.Stdout).NotTo(ContainSubstring(files[1-winner]), "the refused file is in the folder")
	removed := fleet.RunAs(ctx, "operator", "config", "remove", files[winner])
	ExpectWithOffset(1, removed.Status).To(BeZero(), removed.Stderr)
}

// revisionMonitor reads the revision of every daemon again and again.
type revisionMonitor struct {
	cancel  context.CancelFunc
	pollers sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	current  map[string]uint64
	lifetime map[string]int // number of starts of the daemon
	reverted []string
}

func monitorRevisions(ctx context.Context, fleet *proc.Fleet) *revisionMonitor {
	polling, cancel := context.WithCancel(ctx)
	w := &revisionMonitor{cancel: cancel, current: map[string]uint64{}, lifetime: map[string]int{}}
	for _, node := range fleet.Nodes {
		w.current[node.Daemon.Name] = 0
	}
	for _, node := range fleet.Nodes {
		w.pollers.Go(func() { w.poll(polling, node) })
	}
	DeferCleanup(w.stop)
	return w
}

func (w *revisionMonitor) poll(ctx context.Context, node *proc.Node) {
	for ctx.Err() == nil {
		lifetime := w.lifetimeOf(node.Daemon.Name)
		if revision, err := node.Revision(ctx); err == nil {
			w.record(node.Daemon.Name, lifetime, revision)
		}
		pause(ctx, pollInterval)
	}
}

func (w *revisionMonitor) lifetimeOf(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lifetime[name]
}

// restarted begins a new lifetime of a daemon, which may have to learn its configuration again.
func (w *revisionMonitor) restarted(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lifetime[name]++
	w.current[name] = 0
}

func (w *revisionMonitor) record(name string, lifetime int, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if lifetime != w.lifetime[name] {
		return
	}
	if revision < w.current[name] {
		w.reverted = append(w.reverted, fmt.Sprintf("%s from %d to %d", name, w.current[name], revision))
		return
	}
	w.current[name] = revision
}

func (w *revisionMonitor) behind(revision uint64) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lagging []string
	for name, current := range w.current {
		if current < revision {
			lagging = append(lagging, fmt.Sprintf("%s at %d", name, current))
		}
	}
	return lagging
}

func (w *revisionMonitor) expectInForce(ctx context.Context, revision uint64, until time.Time) {
	start := time.Now()
	waiting, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for len(w.behind(revision)) > 0 && waiting.Err() == nil {
		pause(waiting, pollInterval)
	}
	GinkgoWriter.Printf("revision %d in force everywhere after %v\n", revision, time.Since(start))
	ExpectWithOffset(1, w.behind(revision)).To(BeEmpty(), "daemons without revision %d", revision)
}

// stop ends the reading and returns the revisions that went back.
func (w *revisionMonitor) stop() []string {
	w.cancel()
	w.pollers.Wait()
	return w.reverted
}
