package proc_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
)

const (
	loadRate        = 150 // requests per second: a few percent of the machine, and enough to meet every moment of a failure
	maxLoadDuration = 30 * time.Second
	requestTimeout  = time.Second
	listInterval    = 100 * time.Millisecond
	releaseTimeout  = 5 * time.Second // until the connections of ended calls are free again
)

var requestKinds = []load.Kind{
	{Name: "lookup", Weight: 6, Method: http.MethodGet, Service: "stock-display", Path: "/jars/7"},
	{Name: "order", Weight: 2, Method: http.MethodPost, Service: "order-taking", Path: "/orders", BodySize: 100, NonIdempotent: true},
	{Name: "keyed-order", Weight: 2, Method: http.MethodPost, Service: "order-taking", Path: "/orders", BodySize: 100, NonIdempotent: true, IdempotencyKey: true},
}

// traffic is a run of the load generator through callers that use the list of daemons.
type traffic struct {
	transport *proc.Transport
	cancel    context.CancelFunc
	done      chan struct{}
	result    *load.Result
}

func startTraffic(ctx context.Context, fleet *proc.Fleet) *traffic {
	return startTrafficOf(ctx, fleet, requestKinds, loadRate, false)
}

func startTrafficOf(ctx context.Context, fleet *proc.Fleet, kinds []load.Kind, rate float64, keep bool) *traffic {
	t := &traffic{transport: &proc.Transport{KeepAlive: keep}, done: make(chan struct{})}
	for _, node := range fleet.Nodes {
		t.transport.Seeds = append(t.transport.Seeds, node.Callers)
	}
	Expect(t.transport.Refresh(ctx)).To(Succeed())
	running, stop := context.WithCancel(ctx)
	t.cancel = stop
	go t.refresh(running)
	plan := load.Plan{
		Daemons: t.transport.Seeds, Rate: rate, Duration: maxLoadDuration, Timeout: requestTimeout, Seed: 1, InFlight: 2000, Kinds: kinds,
	}
	run := &load.Run{Plan: plan, Client: &http.Client{Transport: t.transport}, Log: logr.Discard()}
	go func() {
		defer close(t.done)
		t.result, _ = run.Do(running) // it asks no server, and so cannot fail
	}()
	DeferCleanup(func() {
		stop()
		<-t.done
	})
	return t
}

func (t *traffic) refresh(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = t.transport.Refresh(ctx) // the callers keep their list meanwhile
		}
	}
}

// finish sends nothing more and returns the fates after all responses, of which none may be cut.
func (t *traffic) finish() map[string]proc.Result {
	results := t.finishAllowTruncated()
	for i := range t.result.Rows {
		row := &t.result.Rows[i]
		ExpectWithOffset(1, row.Outcomes[load.Truncated]).To(BeZero(), "%s: truncated responses", row.Kind)
	}
	return results
}

// finishAllowTruncated sends nothing more and returns the fates after all responses. A response that a killed daemon cut is seen as such.
func (t *traffic) finishAllowTruncated() map[string]proc.Result {
	t.cancel()
	<-t.done
	for i := range t.result.Rows {
		row := &t.result.Rows[i]
		GinkgoWriter.Println(row.Kind, row.Total(), row.Outcomes, row.Quantile(0.5), row.Quantile(0.99))
		ExpectWithOffset(1, row.Outcomes[load.WrongResponse]).To(BeZero(), "%s: responses to another request", row.Kind)
		ExpectWithOffset(1, row.Outcomes[load.Dropped]).To(BeZero(), "%s: requests not sent", row.Kind)
	}
	return t.transport.Results()
}

// expectOutcomesCorrect checks what callers were told against what the servers ran.
func expectOutcomesCorrect(ctx context.Context, fleet *proc.Fleet, results map[string]proc.Result) {
	total := map[string]int{}
	for _, node := range fleet.Nodes {
		runs, err := node.Runs(ctx)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		for id, count := range runs {
			total[id] += count
		}
	}
	var ranTwice, falselyNotRun, notExecuted []string
	for id, result := range results {
		switch {
		case strings.HasPrefix(id, "once-") && total[id] > 1:
			ranTwice = append(ranTwice, fmt.Sprintf("%s ran %d times: %+v", id, total[id], result))
		case result.Outcome == load.NotRun && total[id] > 0:
			falselyNotRun = append(falselyNotRun, fmt.Sprintf("%s: %+v", id, result))
		case result.Outcome == load.OK && total[id] == 0:
			notExecuted = append(notExecuted, fmt.Sprintf("%s: %+v", id, result))
		}
	}
	ExpectWithOffset(1, ranTwice).To(BeEmpty(), "non-idempotent requests ran twice")
	ExpectWithOffset(1, falselyNotRun).To(BeEmpty(), "callers were told not-run of requests that ran")
	ExpectWithOffset(1, notExecuted).To(BeEmpty(), "callers were told of success of requests that did not run")
}

// expectNoConnectionsInUse checks that without calls the daemons hold no connection: a call that keeps its own makes every later
// call fail once the pool is used up. Exchanges use a connection for a moment.
func expectNoConnectionsInUse(ctx context.Context, nodes ...*proc.Node) {
	for _, node := range nodes {
		EventuallyWithOffset(1, func() (int, error) { return node.ConnectionsInUse(ctx) }).WithTimeout(releaseTimeout).WithPolling(pollInterval).
			Should(BeZero(), "connections that %s holds", node.Daemon.Name)
	}
}

// failures selects fates of a method that are not OK, through any daemon but those excepted.
func failures(results map[string]proc.Result, method string, except ...netip.AddrPort) []string {
	var failed []string
	for id, result := range results {
		if result.Method == method && !slices.Contains(except, result.Daemon) && result.Outcome != load.OK {
			failed = append(failed, fmt.Sprintf("%s %s: %+v", result.At.Format(time.TimeOnly+".000"), id, result))
		}
	}
	sort.Strings(failed)
	return failed
}

// count returns the number of fates of a method.
func count(results map[string]proc.Result, method string) int {
	sum := 0
	for _, result := range results {
		if result.Method == method {
			sum++
		}
	}
	return sum
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
