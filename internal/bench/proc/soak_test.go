package proc_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
)

// SOAK_SEEDS is the number of seeds to run, SOAK_FIRST the first of them. Without SOAK_SEEDS, the seeds in testdata/soak are run.
const (
	seedsVariable = "SOAK_SEEDS"
	firstVariable = "SOAK_FIRST"
	seedsFile     = "testdata/soak"
)

const (
	faultPeriod      = 10 * time.Second // how long new faults are injected
	minFaultGap      = 100 * time.Millisecond
	maxFaultGap      = 800 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	faultKinds       = 18
	maxRelayDelay    = 300 * time.Millisecond
	soakRate         = 80              // requests per second over connections that are kept alive
	checkInterval    = time.Second     // between checks for repeated runs while faults are injected
	stopMargin       = 2 * time.Second // on top of proc.StopTimeout
	recoveryTimeout  = 20 * time.Second
	warmUpPeriod     = 4 * time.Second // until all 12 slots of a server are used; the admission limit doubles each second
	recoveredPeriod  = 2 * time.Second // of load that must be served entirely after recovery
	soakTimeout      = 90 * time.Second
)

// keepAliveKinds are the kinds of requests sent over connections that are kept alive. They have no Idempotency-Key, see
// proc.Transport.
var keepAliveKinds = []load.Kind{
	{Name: "lookup", Weight: 5, Method: http.MethodGet, Service: "stock-display", Path: "/jars/7"},
	{Name: "large-lookup", Weight: 1, Method: http.MethodGet, Service: "stock-display", Path: "/jars/8?size=60000"},
	{Name: "order", Weight: 3, Method: http.MethodPost, Service: "order-taking", Path: "/orders", Body: 100, Once: true},
	{Name: "large-order", Weight: 1, Method: http.MethodPost, Service: "order-taking", Path: "/orders", Body: 100_000, Once: true},
}

// asksLoad selects by seed how routers learn the load of servers: by probes for even seeds, by queries in datagrams for odd ones.
func asksLoad(seed uint64) bool { return seed%2 == 1 }

var _ = Describe("a soak", func() {
	for _, seed := range readSoakSeeds() {
		// Guards against repeated runs, incorrect outcomes, reverted revisions, and daemons that exit or do not recover, under
		// external faults that follow each other and overlap.
		It(fmt.Sprintf("with seed %d violates no guarantee", seed), func(ctx SpecContext) {
			fleet := startRelayedFleet(ctx, asksLoad(seed))
			count := len(fleet.Nodes)
			s := &soak{
				fleet: fleet, random: rand.New(rand.NewPCG(seed, 0)),
				daemonLocks: make([]sync.Mutex, count), serverLocks: make([]sync.Mutex, count),
			}
			s.revisions = monitorRevisions(ctx, fleet)
			oneShot := startTraffic(ctx, fleet)
			pause(ctx, time.Millisecond) // request IDs contain the start time of the load and must differ
			keepAlive := startTrafficOf(ctx, fleet, keepAliveKinds, soakRate, true)
			pause(ctx, steadyLoad)
			s.run(ctx)
			s.recoverFleet(ctx)
			results := oneShot.finishAllowTruncated()
			for id, result := range keepAlive.finishAllowTruncated() {
				results[id] = result
			}
			pause(ctx, lateArrival)
			Expect(s.findings).To(BeEmpty())
			expectOutcomesCorrect(ctx, fleet, results)
			Expect(s.revisions.stop()).To(BeEmpty(), "daemons that reverted to an older revision")
			expectNoConnectionsInUse(ctx, fleet.Nodes...)
			expectAllServed(ctx, fleet)
		}, SpecTimeout(soakTimeout))
	}
})

func readSoakSeeds() []uint64 {
	var seeds []uint64
	if count, err := strconv.ParseUint(os.Getenv(seedsVariable), 10, 64); err == nil {
		first, _ := strconv.ParseUint(os.Getenv(firstVariable), 10, 64) // 0 if unset
		for i := range count {
			seeds = append(seeds, first+i)
		}
		return seeds
	}
	content, err := os.ReadFile(seedsFile)
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(content)) {
		text, _, _ := strings.Cut(line, "#")
		if seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64); err == nil {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func startRelayedFleet(ctx context.Context, loadQueries bool) *proc.Fleet {
	fleet := newFleet(baseConfiguration, threeZones())
	fleet.Relays, fleet.LoadQueries = true, loadQueries
	startNew(ctx, fleet)
	return fleet
}

// soak injects faults into a fleet. The seed determines the sequence of faults, but not the requests and daemon states that
// each fault meets.
type soak struct {
	fleet       *proc.Fleet
	random      *rand.Rand
	revisions   *revisionMonitor
	pending     sync.WaitGroup
	daemonLocks []sync.Mutex // by node; at most one fault at a time affects the daemon's process
	serverLocks []sync.Mutex // by node; the same for the server's process

	mu       sync.Mutex // guards the fields below
	findings []string
}

func (s *soak) run(ctx context.Context) {
	until := time.Now().Add(faultPeriod)
	checking, stop := context.WithCancel(ctx)
	defer stop()
	go s.checkRepeatedRuns(checking)
	for time.Now().Before(until) && ctx.Err() == nil {
		s.injectFault(ctx)
		pause(ctx, s.randomDuration(minFaultGap, maxFaultGap))
	}
	s.pending.Wait()
}

func (s *soak) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf("%s ", time.Now().Format(time.TimeOnly+".000"))+fmt.Sprintf(format, args...))
}

func (s *soak) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// checkRepeatedRuns reports non-idempotent requests that ran more than once, while faults are injected.
func (s *soak) checkRepeatedRuns(ctx context.Context) {
	reported := map[string]bool{}
	for ; ctx.Err() == nil; pause(ctx, checkInterval) {
		total := map[string]int{}
		for _, node := range s.fleet.Nodes {
			runs, err := node.Runs(ctx)
			if err != nil {
				continue // the server is paused; its runs are counted in a later round
			}
			for id, count := range runs {
				total[id] += count
			}
		}
		for id, count := range total {
			if strings.HasPrefix(id, "once-") && count > 1 && !reported[id] {
				reported[id] = true
				s.report("%s ran %d times", id, count)
			}
		}
	}
}

// recoverFleet undoes the operator changes that may still apply, and waits until every daemon is ready and the last
// revision is in force everywhere.
func (s *soak) recoverFleet(ctx context.Context) {
	healing, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	var last uint64
	for _, node := range s.fleet.Nodes {
		for _, back := range [][]string{{"zone", "in", node.Zone}, {"server", "return", node.Daemons.String()}} {
			Eventually(func(g Gomega) {
				output := s.fleet.RunAs(healing, "carl", back...)
				g.Expect(output.Status).To(BeZero(), output.Stderr)
				response := struct {
					Revision uint64 `json:"revision"`
				}{}
				g.Expect(json.Unmarshal([]byte(output.Stdout), &response)).To(Succeed())
				last = max(last, response.Revision)
			}).WithContext(healing).WithPolling(pollInterval).Should(Succeed(), "%v", back)
		}
	}
	Expect(s.fleet.Ready(healing, s.fleet.Nodes)).To(Succeed())
	for _, node := range s.fleet.Nodes {
		Eventually(func() (uint64, error) { return node.Revision(healing) }).WithContext(healing).WithPolling(pollInterval).
			Should(BeNumerically(">=", last), "revision of %s", node.Daemon.Name)
	}
}

// expectAllServed checks that no effect of the faults remains. It first waits for the warm-up: daemons that were all
// restarted shortly before admit few requests at first and refuse the others.
func expectAllServed(ctx context.Context, fleet *proc.Fleet) {
	warmUpTraffic := startTraffic(ctx, fleet)
	pause(ctx, warmUpPeriod)
	expectOutcomesCorrect(ctx, fleet, warmUpTraffic.finish())
	checkedTraffic := startTraffic(ctx, fleet)
	pause(ctx, recoveredPeriod)
	results := checkedTraffic.finish()
	Expect(failures(results, http.MethodGet)).To(BeEmpty(), "failed lookups after the faults")
	Expect(failures(results, http.MethodPost)).To(BeEmpty(), "failed orders after the faults")
}
