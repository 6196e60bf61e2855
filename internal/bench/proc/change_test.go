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

// Exit statuses of the commands, documented in docs/configuration.md.
const (
	statusRefused     = 3
	statusUnavailable = 4
)

const (
	pollInterval     = 50 * time.Millisecond
	noWorkPeriod     = time.Second      // how long an excluded server must start no request
	warmUpTimeout    = 15 * time.Second // until a returned server receives requests again
	raceRounds       = 3
	changeRounds     = 3
	minAnsweredShare = 0.999 // of idempotent calls while a zone is taken out and brought back, from the design
)

var _ = Describe("an operator's change", func() {
	// Guards against routers that keep sending requests to a zone or server that an operator has taken out, and against
	// the interruption of requests in flight there.
	It("takes a zone and a server out of service and brings them back", func(ctx SpecContext) {
		fleet := startFleet(ctx, baseConfiguration, threeZones())
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

	// Guards against two accepted changes that contradict each other, and against a refusal that does not name the
	// conflicting change.
	It("is refused when it conflicts with a concurrent change", func(ctx SpecContext) {
		fleet := startFleet(ctx, baseConfiguration, threeZones()[:1])
		for round := range raceRounds {
			expectOneAccepted(ctx, fleet, round)
		}
	}, SpecTimeout(specTimeout))

	// Guards against a revision that does not reach every daemon in time, and against a daemon that reverts to an older one.
	It("is in force at 13 daemons in time and is never reverted", func(ctx SpecContext) {
		fleet := startFleet(ctx, baseConfiguration+"\n[service shelf-labels]\n", thirteenServers())
		monitor := monitorRevisions(ctx, fleet)
		for round := range changeRounds {
			revision, accepted := change(ctx, fleet, "slots.ini", fmt.Sprintf("[service stock-display]\nslots = %d\n", 20+round))
			monitor.expectInForce(ctx, revision, accepted.Add(changeBound))
		}
		Expect(monitor.stop()).To(BeEmpty(), "daemons that reverted to an older revision")
	}, SpecTimeout(specTimeout))
})

var _ = Describe("an outage of the platform", func() {
	// Guards against calls that need the platform, changes that take effect although they were reported as failed,
	// daemons that cannot start during an outage, and daemons that keep an old configuration after it.
	It("fails no call, refuses changes, and leaves every daemon up to date afterwards", func(ctx SpecContext) {
		fleet := startFleet(ctx, strings.ReplaceAll(baseConfiguration, "claim = true", "claim = false"), threeZones())
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
		Expect(added.Revision(ctx)).To(Equal(before), "revision received from the seed")

		fleet.PlatformRelay.Silence(false)
		watch := monitorRevisions(ctx, fleet)
		revision, accepted := change(ctx, fleet, "60-after.ini", "[service stock-display]\nslots = 14\n")
		Expect(revision).To(Equal(before+1), "a refused change was accepted")
		// A poll that began during the outage must first reach the platform time-out of 2 s.
		watch.expectInForce(ctx, revision, accepted.Add(2*time.Second+changeBound))
		Expect(watch.stop()).To(BeEmpty(), "daemons that reverted to an older revision")
		results := traffic.finish()
		expectOutcomesCorrect(ctx, fleet, results)
		expectNoConnectionsInUse(ctx, fleet.Nodes...)
		Expect(failures(results, http.MethodGet)).To(BeEmpty(), "lookups")
		Expect(failures(results, http.MethodPost)).To(BeEmpty(), "orders")
	}, SpecTimeout(specTimeout))
})

// thirteenServers returns the placements of the example in the design: three services of 6, 4 and 3 servers over three zones.
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

// accept runs a command whose change must be accepted, and returns its revision and the time when the command finished.
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

// expectNoNewWork takes nodes out with a command and checks that their servers start no request after decisionBound.
func expectNoNewWork(ctx context.Context, fleet *proc.Fleet, nodes []*proc.Node, args ...string) {
	revision, accepted := accept(ctx, fleet, args...)
	wait := fleet.Run(ctx, "config", "wait", fleet.Nodes[5].Admin.String(), "--revision", strconv.FormatUint(revision, 10))
	ExpectWithOffset(1, wait.Status).To(BeZero(), "config wait: %s%s", wait.Stdout, wait.Stderr)
	pause(ctx, time.Until(accepted.Add(decisionBound)))
	before := runTotals(ctx, nodes)
	pause(ctx, noWorkPeriod)
	ExpectWithOffset(1, runTotals(ctx, nodes)).To(Equal(before), "requests started after %v", args)
}

// expectWorkResumes brings nodes back with a command and waits until the server of each runs requests.
func expectWorkResumes(ctx context.Context, fleet *proc.Fleet, nodes []*proc.Node, args ...string) {
	before := runTotals(ctx, nodes)
	accept(ctx, fleet, args...)
	waiting, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	for i := range nodes {
		EventuallyWithOffset(1, func() int { return runTotals(waiting, nodes)[i] }).WithContext(waiting).WithPolling(pollInterval).
			Should(BeNumerically(">", before[i]), "no requests at %s after %v", nodes[i].Daemon.Name, args)
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

// expectNoneInterrupted checks that every request was either answered by its server or refused before it ran.
func expectNoneInterrupted(results map[string]proc.Result) {
	var interrupted []string
	for id, result := range results {
		if result.Outcome != load.OK && result.Outcome != load.NotRun {
			interrupted = append(interrupted, fmt.Sprintf("%s: %+v", id, result))
		}
	}
	ExpectWithOffset(1, interrupted).To(BeEmpty(), "interrupted requests")
}

func expectUnavailable(output proc.Output) {
	ExpectWithOffset(1, output.Status).To(Equal(statusUnavailable), "%s%s", output.Stdout, output.Stderr)
	ExpectWithOffset(1, output.Stderr).To(ContainSubstring(`"outcome": "not-run"`))
}

// expectOneAccepted lets two operators set the same key to different values concurrently, based on the same revision, and
// checks that one change is accepted and the other is refused with the names of the conflicting file, key and operator.
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
	ExpectWithOffset(1, list.Stdout).NotTo(ContainSubstring(files[1-winner]), "the file of the refused change is in the configuration")
	removed := fleet.RunAs(ctx, "operator", "config", "remove", files[winner])
	ExpectWithOffset(1, removed.Status).To(BeZero(), removed.Stderr)
}

// revisionMonitor polls the revision of every daemon and records those that go back to an older one.
type revisionMonitor struct {
	cancel  context.CancelFunc
	pollers sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	current    map[string]uint64
	starts     map[string]int // starts of each daemon, by name; a response from before a restart is ignored
	reversions []string
}

func monitorRevisions(ctx context.Context, fleet *proc.Fleet) *revisionMonitor {
	polling, cancel := context.WithCancel(ctx)
	m := &revisionMonitor{cancel: cancel, current: map[string]uint64{}, starts: map[string]int{}}
	for _, node := range fleet.Nodes {
		m.current[node.Daemon.Name] = 0
	}
	for _, node := range fleet.Nodes {
		m.pollers.Go(func() { m.poll(polling, node) })
	}
	DeferCleanup(m.stop)
	return m
}

func (m *revisionMonitor) poll(ctx context.Context, node *proc.Node) {
	for ctx.Err() == nil {
		starts := m.startCount(node.Daemon.Name)
		if revision, err := node.Revision(ctx); err == nil {
			m.record(node.Daemon.Name, starts, revision)
		}
		pause(ctx, pollInterval)
	}
}

func (m *revisionMonitor) startCount(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts[name]
}

// restarted notes the restart of a daemon, which may have lost its configuration and may report a lower revision.
func (m *revisionMonitor) restarted(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts[name]++
	m.current[name] = 0
}

func (m *revisionMonitor) record(name string, starts int, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if starts != m.starts[name] {
		return
	}
	if revision < m.current[name] {
		m.reversions = append(m.reversions, fmt.Sprintf("%s from %d to %d", name, m.current[name], revision))
		return
	}
	m.current[name] = revision
}

func (m *revisionMonitor) laggingDaemons(revision uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lagging []string
	for name, current := range m.current {
		if current < revision {
			lagging = append(lagging, fmt.Sprintf("%s at %d", name, current))
		}
	}
	return lagging
}

func (m *revisionMonitor) expectInForce(ctx context.Context, revision uint64, until time.Time) {
	start := time.Now()
	waiting, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for len(m.laggingDaemons(revision)) > 0 && waiting.Err() == nil {
		pause(waiting, pollInterval)
	}
	GinkgoWriter.Printf("revision %d in force everywhere after %v\n", revision, time.Since(start))
	ExpectWithOffset(1, m.laggingDaemons(revision)).To(BeEmpty(), "daemons without revision %d", revision)
}

// stop ends the polling and returns the reversions seen.
func (m *revisionMonitor) stop() []string {
	m.cancel()
	m.pollers.Wait()
	return m.reversions
}
