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
	loadRate        = 150 // requests per second; uses a few percent of the machine, and is dense enough to cover every moment of a failure
	maxLoadDuration = 30 * time.Second
	requestTimeout  = time.Second
	listInterval    = 100 * time.Millisecond
	releaseTimeout  = 5 * time.Second // until the connections of finished calls are idle
)

var requestKinds = []load.Kind{
	{Name: "lookup", Weight: 6, Method: http.MethodGet, Service: "stock-display", Path: "/jars/7"},
	{Name: "order", Weight: 2, Method: http.MethodPost, Service: "order-taking", Path: "/orders", Body: 100, Once: true},
	{
		Name: "keyed-order", Weight: 2, Method: http.MethodPost, Service: "order-taking", Path: "/orders",
		Body: 100, Once: true, IdempotencyKey: true,
	},
}

// traffic is a run of the load generator whose requests go to the listed daemons, as those of real callers.
type traffic struct {
	transport *proc.Transport
	cancel    context.CancelFunc
	done      chan struct{}
	result    *load.Result
}

func startTraffic(ctx context.Context, fleet *proc.Fleet) *traffic {
	return startTrafficOf(ctx, fleet, requestKinds, loadRate, false)
}

func startTrafficOf(ctx context.Context, fleet *proc.Fleet, kinds []load.Kind, rate float64, keepAlive bool) *traffic {
	t := &traffic{transport: &proc.Transport{KeepAlive: keepAlive}, done: make(chan struct{})}
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
		t.result, _ = run.Do(running) // fails only when Plan.Servers is set
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
			_ = t.transport.Refresh(ctx) // on failure the previous list stays in use
		}
	}
}

// finish stops sending, waits for all responses and returns the results. No response may be truncated.
func (t *traffic) finish() map[string]proc.Result {
	results := t.finishAllowTruncated()
	for i := range t.result.Rows {
		row := &t.result.Rows[i]
		ExpectWithOffset(1, row.Outcomes[load.Truncated]).To(BeZero(), "%s: truncated responses", row.Kind)
	}
	return results
}

// finishAllowTruncated stops sending, waits for all responses and returns the results. It allows truncated responses: a
// caller sees for itself that a killed daemon cut a response short.
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

// expectOutcomesCorrect compares the outcomes reported to callers with the requests that the servers ran.
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
	ExpectWithOffset(1, falselyNotRun).To(BeEmpty(), "requests reported as not run, but ran")
	ExpectWithOffset(1, notExecuted).To(BeEmpty(), "requests reported as successful, but did not run")
}

// expectNoConnectionsInUse checks that no connection between daemons is in use when there are no calls. A finished call that
// does not release its connection exhausts the pool in time, and all later calls fail. The check is repeated because gossip
// exchanges use a connection briefly.
func expectNoConnectionsInUse(ctx context.Context, nodes ...*proc.Node) {
	for _, node := range nodes {
		EventuallyWithOffset(1, func() (int, error) { return node.ConnectionsInUse(ctx) }).
			WithTimeout(releaseTimeout).WithPolling(pollInterval).Should(BeZero(), "connections in use at %s", node.Daemon.Name)
	}
}

// failures lists the results other than OK of the requests with a method, except those sent through the given daemons.
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

// count returns the number of results of the requests with a method.
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
