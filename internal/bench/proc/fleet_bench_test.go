package proc_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
)

const (
	restPeriod        = 20 * time.Second
	settlePeriod      = 5 * time.Second // after the start, when daemons exchange state more often
	loadPeriod        = 10 * time.Second
	loadWarmUp        = 5 * time.Second
	benchRate         = 1000 // requests per second over the whole fleet; the cost of fewer is lost in the variance of the idle costs
	benchStartTimeout = 2 * time.Minute
	benchTimeout      = 5 * time.Minute
	daemonsPerService = 20 // close to the target of 7,700 daemons in 360 services
	inForceTimeout    = 30 * time.Second
	megabyte          = 1 << 20
	benchServiceTime  = 5 * time.Millisecond
)

func BenchmarkFleet13(b *testing.B)  { benchmarkFleet(b, 13) }
func BenchmarkFleet50(b *testing.B)  { benchmarkFleet(b, 50) }
func BenchmarkFleet100(b *testing.B) { benchmarkFleet(b, 100) }
func BenchmarkFleet200(b *testing.B) { benchmarkFleet(b, 200) }

// benchmarkFleet measures the costs of an idle fleet, the time until a change is in force everywhere, and the cost of a call.
func benchmarkFleet(b *testing.B, size int) {
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), benchTimeout)
		fleet := startBenchFleet(ctx, b, size)
		pause(ctx, settlePeriod)
		rest := measureRest(ctx, b, fleet)
		measureChange(ctx, b, fleet)
		measureCalls(ctx, b, fleet, rest)
		fleet.Stop()
		cancel()
	}
}

func startBenchFleet(ctx context.Context, b *testing.B, size int) *proc.Fleet {
	fleet := newBenchFleet(b)
	services := max(3, size/daemonsPerService)
	var configuration strings.Builder
	for i := range services {
		fmt.Fprintf(&configuration, "[service service-%d]\nslots = 12\n", i)
	}
	fleet.Configuration = configuration.String()
	for i := range size {
		place := proc.Placement{Service: fmt.Sprintf("service-%d", i%services), Zone: fmt.Sprintf("zone-%d", i/services%3)}
		fleet.Placements = append(fleet.Placements, place)
	}
	startBenchProcesses(ctx, b, fleet)
	return fleet
}

func newBenchFleet(b *testing.B) *proc.Fleet {
	b.Helper()
	dir := b.TempDir()
	binary, err := proc.Binary(b.Context(), moduleRoot(), dir)
	if err != nil {
		b.Fatal(err)
	}
	fleet := &proc.Fleet{Binary: binary, Dir: dir, LogLevel: "warn"}
	b.Cleanup(fleet.Stop)
	return fleet
}

func startBenchProcesses(ctx context.Context, b *testing.B, fleet *proc.Fleet) {
	b.Helper()
	if fleet.ServiceTime == 0 {
		fleet.Serve = func(node *proc.Node) error { return serveNode(ctx, node) }
	}
	starting, cancel := context.WithTimeout(ctx, benchStartTimeout)
	defer cancel()
	if err := fleet.Start(starting); err != nil {
		b.Fatalf("%v\n%s", err, fleet.LogTails())
	}
}

// serveNode runs a stand-in server inside the benchmark process: one process for all servers saves memory.
func serveNode(ctx context.Context, node *proc.Node) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(node.Server))
	if err != nil {
		return err
	}
	server := &sample.Server{
		Name: node.Daemon.Name, Listener: listener, Slots: sample.DefaultSlots, ServiceTime: benchServiceTime, Log: logr.Discard(),
	}
	go func() { _ = server.Run(ctx) }() // runs until the benchmark ends
	return nil
}

// usage sums the resources used by all daemons; platform counts the operations of the platform.
type usage struct {
	cpu      float64 // seconds
	sent     float64 // bytes to other daemons
	resident float64
	private  float64
	at       time.Time
	platform proc.Operations
}

func readUsage(ctx context.Context, b *testing.B, fleet *proc.Fleet) usage {
	b.Helper()
	all := make([]map[string]float64, len(fleet.Nodes))
	group, reading := errgroup.WithContext(ctx)
	for i, node := range fleet.Nodes {
		group.Go(func() (err error) {
			all[i], err = node.Metrics(reading)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	sum := usage{at: time.Now()}
	for _, metrics := range all {
		sum.cpu += metrics[proc.MetricCPU]
		sum.sent += metrics[proc.MetricSent]
		sum.resident += metrics[proc.MetricResident]
		sum.private += metrics[proc.MetricPrivate]
	}
	operations, err := fleet.Operations(ctx)
	if err != nil {
		b.Fatal(err)
	}
	sum.platform = operations
	return sum
}

// rates are the costs per second of an idle fleet.
type rates struct {
	cpu  float64
	sent float64
}

func measureRest(ctx context.Context, b *testing.B, fleet *proc.Fleet) rates {
	before := readUsage(ctx, b, fleet)
	pause(ctx, restPeriod)
	after := readUsage(ctx, b, fleet)
	seconds := after.at.Sub(before.at).Seconds()
	daemons := float64(len(fleet.Nodes))
	rest := rates{cpu: (after.cpu - before.cpu) / seconds, sent: (after.sent - before.sent) / seconds}
	b.ReportMetric(after.cpu-before.cpu, "rest-cpu-s")
	b.ReportMetric(100*rest.cpu/daemons, "rest-core-%/daemon")
	b.ReportMetric(rest.sent/daemons, "rest-B/s/daemon")
	b.ReportMetric(after.resident/daemons/megabyte, "resident-MB/daemon")
	b.ReportMetric(after.private/daemons/megabyte, "private-MB/daemon")
	b.ReportMetric(float64(after.platform.TableReads-before.platform.TableReads)/seconds, "table-reads/s")
	b.ReportMetric(float64(after.platform.TableWrites-before.platform.TableWrites)/seconds, "table-writes/s")
	return rest
}

// measureChange makes several changes and reports the longest time from acceptance until one was in force everywhere.
func measureChange(ctx context.Context, b *testing.B, fleet *proc.Fleet) {
	var longest time.Duration
	for round := range changeRounds {
		file, err := fleet.Write("50-bench.ini", fmt.Sprintf("[service service-0]\nqueue = %d\n", 30+round))
		if err != nil {
			b.Fatal(err)
		}
		before, err := fleet.Nodes[0].Revision(ctx)
		if err != nil {
			b.Fatal(err)
		}
		if output := fleet.RunAs(ctx, "bench", "config", "add", file); output.Status != 0 {
			b.Fatal(output.Stderr)
		}
		longest = max(longest, waitInForce(ctx, b, fleet, before+1))
	}
	b.ReportMetric(longest.Seconds(), "in-force-s")
}

// waitInForce returns the time until every daemon has the revision in force.
func waitInForce(ctx context.Context, b *testing.B, fleet *proc.Fleet, revision uint64) time.Duration {
	accepted := time.Now()
	waiting, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	group, waiting := errgroup.WithContext(waiting)
	for _, node := range fleet.Nodes {
		group.Go(func() error {
			for {
				current, err := node.Revision(waiting)
				if err != nil || current >= revision {
					return err
				}
				pause(waiting, pollInterval)
			}
		})
	}
	if err := group.Wait(); err != nil {
		b.Errorf("revision %d after %v: %v", revision, time.Since(accepted), err)
	}
	return time.Since(accepted)
}

// measureCalls reports the cost of a call on top of the costs of the idle fleet.
func measureCalls(ctx context.Context, b *testing.B, fleet *proc.Fleet, rest rates) {
	plan := load.Plan{Rate: benchRate, Duration: loadPeriod, Timeout: requestTimeout, Seed: 1, InFlight: 2000}
	for _, node := range fleet.Nodes {
		plan.Daemons = append(plan.Daemons, node.Callers)
	}
	for i := range 3 {
		plan.Kinds = append(plan.Kinds, load.Kind{
			Name: fmt.Sprintf("lookup-%d", i), Weight: 1, Method: http.MethodGet, Service: fmt.Sprintf("service-%d", i), Path: "/jars/7",
		})
	}
	warmUp := plan
	warmUp.Duration = loadWarmUp
	runLoad(ctx, b, warmUp)
	before := readUsage(ctx, b, fleet)
	result := runLoad(ctx, b, plan)
	after := readUsage(ctx, b, fleet)
	calls, answered := 0, 0
	for i := range result.Rows {
		calls += result.Rows[i].Total()
		answered += result.Rows[i].Outcomes[load.OK]
	}
	seconds := after.at.Sub(before.at).Seconds()
	b.ReportMetric(1e3*(after.cpu-before.cpu-rest.cpu*seconds)/float64(calls), "call-cpu-ms")
	b.ReportMetric((after.sent-before.sent-rest.sent*seconds)/float64(calls), "call-B")
	b.ReportMetric(100*float64(answered)/float64(calls), "answered-%")
}

func runLoad(ctx context.Context, b *testing.B, plan load.Plan) *load.Result {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	result, err := (&load.Run{Plan: plan, Client: client, Log: logr.Discard()}).Do(ctx)
	if err != nil {
		b.Fatal(err)
	}
	return result
}

const (
	latencyRounds = 3
	latencyRate   = 1000 // requests per second, half of them direct
	latencyPeriod = 5 * time.Second
	limitWarmUp   = 6 * time.Second // the admission limit of a new daemon at most doubles each second
)

// BenchmarkAddedLatency compares requests through two daemons with direct requests to the same server in the same run.
func BenchmarkAddedLatency(b *testing.B) {
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), benchTimeout)
		fleet := newBenchFleet(b)
		fleet.Configuration = "[service front]\n[service back]\nslots = 64\n"
		fleet.Placements = []proc.Placement{{Service: "front", Zone: "zone-a"}, {Service: "back", Zone: "zone-a"}}
		fleet.ServiceTime = time.Microsecond // a longer one would hide the difference
		startBenchProcesses(ctx, b, fleet)
		plan := load.Plan{
			Daemons: []netip.AddrPort{fleet.Nodes[0].Callers}, Direct: []netip.AddrPort{fleet.Nodes[1].Server},
			Rate: latencyRate, Duration: latencyPeriod, Warmup: limitWarmUp, Timeout: requestTimeout, InFlight: 2000,
			Kinds: []load.Kind{{Name: "lookup", Weight: 1, Method: http.MethodGet, Service: "back", Path: "/"}},
		}
		var median, tail []float64
		for round := range latencyRounds {
			plan.Seed = uint64(round + 1)
			rows := runLoad(ctx, b, plan).Rows
			median = append(median, addedLatency(rows, 0.5))
			tail = append(tail, addedLatency(rows, 0.99))
			plan.Warmup = time.Second
			for i := range rows {
				row := &rows[i]
				b.Logf("round %d: %s p50 %v p99 %v outcomes %v", round+1, row.Variant, row.Quantile(0.5), row.Quantile(0.99), row.Outcomes)
			}
		}
		slices.Sort(median)
		slices.Sort(tail)
		b.ReportMetric(median[latencyRounds/2], "added-p50-µs")
		b.ReportMetric(tail[latencyRounds/2], "added-p99-µs")
		b.ReportMetric(tail[latencyRounds-1], "highest-added-p99-µs")
		fleet.Stop()
		cancel()
	}
}

// addedLatency returns how much higher a latency quantile is through the daemons than direct, in microseconds.
func addedLatency(rows []load.Row, share float64) float64 {
	var viaDaemons, direct time.Duration
	for i := range rows {
		switch rows[i].Variant {
		case load.Daemons:
			viaDaemons = rows[i].Quantile(share)
		case load.Direct:
			direct = rows[i].Quantile(share)
		}
	}
	return float64((viaDaemons - direct).Microseconds())
}
