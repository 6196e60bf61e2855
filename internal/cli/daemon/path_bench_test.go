package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/cli/daemon"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

const (
	pathBody    = 512
	pathCallers = 24 // below the limit on connections to one peer, so that no call waits for a connection
	pathWarmUp  = 30 * time.Second
	maxLatency  = int64(10 * time.Second)
)

const pathFolder = "[service front]\n[service stock]\nslots = 64\nqueue = 64\n"

// twoDaemons is the path of a call over TCP on loopback: from the front of one daemon through the admission of another to its
// server.
type twoDaemons struct {
	b       testing.TB
	client  *http.Client
	direct  string
	through string
	ctx     context.Context
}

func newTwoDaemons(b *testing.B) *twoDaemons {
	body := make([]byte, pathBody)
	p := &twoDaemons{b: b}
	server := p.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		_, _ = w.Write(body)
	}))
	p.run(pathFolder, server)
	p.direct = "http://" + server.String() + "/jars/1"
	p.warmUp()
	return p
}

// run starts a daemon for callers and one daemon of service stock beside each server.
func (p *twoDaemons) run(folder string, servers ...netip.AddrPort) {
	ctx, stop := context.WithCancel(context.Background())
	transport := &http.Transport{MaxIdleConnsPerHost: 4 * pathCallers, DisableCompression: true}
	p.client, p.ctx = &http.Client{Transport: transport}, ctx
	platform := fake.NewPlatform(1)
	table := p.serve((&fake.Server{Platform: platform}).Handler())
	writer := &change.Writer{Store: platform.Table, Objects: platform.Objects, Operator: "bench", Log: logr.Discard()}
	if _, err := writer.Add(ctx, []files.File{{Name: "10.ini", Content: folder}}, change.Options{}); err != nil {
		p.b.Fatal(err)
	}
	var running sync.WaitGroup
	front := p.start(&running, "front", table, servers[0], "")
	for _, server := range servers {
		p.start(&running, "stock", table, server, front.Daemons.String())
	}
	p.through = "http://" + front.Callers.String() + "/stock/jars/1"
	p.b.Cleanup(func() {
		transport.CloseIdleConnections()
		stop()
		running.Wait()
	})
}

// serve runs an HTTP server on a free port.
func (p *twoDaemons) serve(handler http.Handler) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	p.b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (p *twoDaemons) start(running *sync.WaitGroup, service string, table, server netip.AddrPort, seeds string) *opts.Settings {
	var ports [3]netip.AddrPort
	for i := range ports {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.b.Fatal(err)
		}
		defer listener.Close()
		ports[i] = listener.Addr().(*net.TCPAddr).AddrPort()
		_ = listener.Close()
	}
	text := fmt.Sprintf("[daemon]\nservice = %s\nzone = zone-a\n[listen]\ncallers = %s\ndaemons = %s\nadmin = %s\n"+
		"[server]\naddress = %s\n[platform]\ntable = %s\nobjects = %s\n[fleet]\nseeds = %s\n[stop]\ngrace = 1ms\ntimeout = 5s\n",
		service, ports[0], ports[1], ports[2], server, table, table, seeds)
	settings, err := opts.Parse("bench", []byte(text))
	if err != nil {
		p.b.Fatal(err)
	}
	running.Go(func() {
		if err := (&daemon.Daemon{Settings: settings, Log: logr.Discard()}).Run(p.ctx); err != nil {
			p.b.Error(err)
		}
	})
	return settings
}

// warmUp sends calls until the warm-up of the server is over, so that no measured call waits in the queue.
func (p *twoDaemons) warmUp() {
	for end := time.Now().Add(pathWarmUp); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var group sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for range 2 * pathCallers {
			group.Go(func() {
				if _, err := p.call(p.through); err != nil {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
		group.Wait()
		if refused == 0 && time.Until(end) < pathWarmUp-8*time.Second {
			return
		}
	}
	p.b.Fatal("the server did not finish its warm-up in time")
}

func (p *twoDaemons) call(url string) (time.Duration, error) {
	start := time.Now()
	response, err := p.client.Get(url)
	if err != nil {
		return 0, err
	}
	size, err := io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err == nil && (size != pathBody || response.StatusCode != http.StatusOK) {
		err = fmt.Errorf("status %d with %d bytes", response.StatusCode, size)
	}
	return time.Since(start), err
}

func (p *twoDaemons) mustCall(url string, times *hdrhistogram.Histogram) {
	took, err := p.call(url)
	if err != nil {
		p.b.Error(err)
		return
	}
	_ = times.RecordValue(int64(took))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, 3)
}

// BenchmarkPath measures what two daemons add to a call, compared with direct calls that alternate with the calls through them.
func BenchmarkPath(b *testing.B) {
	daemon.TuneGC(256)
	p := newTwoDaemons(b)
	b.Run("added", p.added)
	b.Run("cost", p.cost)
	b.Run("load", p.load)
}

func (p *twoDaemons) added(b *testing.B) {
	direct, through := newHistogram(), newHistogram()
	for b.Loop() {
		p.mustCall(p.direct, direct)
		p.mustCall(p.through, through)
	}
	for _, quantile := range []float64{50, 99} {
		d, t := direct.ValueAtQuantile(quantile), through.ValueAtQuantile(quantile)
		b.ReportMetric(float64(d), fmt.Sprintf("direct-p%.0f-ns", quantile))
		b.ReportMetric(float64(t), fmt.Sprintf("path-p%.0f-ns", quantile))
		b.ReportMetric(float64(t-d), fmt.Sprintf("added-p%.0f-ns", quantile))
	}
}

// cost measures the allocations of the process per call, which include those of the caller, both daemons and the server, and the
// allocations added to those of a direct call.
func (p *twoDaemons) cost(b *testing.B) {
	const calls = 2000
	times := newHistogram()
	measure := func(url string) (allocations, bytes float64) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range calls {
			p.mustCall(url, times)
		}
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / calls, float64(after.TotalAlloc-before.TotalAlloc) / calls
	}
	var allocations, bytes, added []float64
	for b.Loop() {
		directCount, _ := measure(p.direct)
		count, size := measure(p.through)
		allocations, bytes, added = append(allocations, count), append(bytes, size), append(added, count-directCount)
	}
	b.ReportMetric(median(allocations), "allocations")
	b.ReportMetric(median(bytes), "bytes")
	b.ReportMetric(median(added), "added-allocations")
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// load measures calls per second with many callers, in rounds that alternate with rounds of direct calls. Refusals are counted
// rather than failing the benchmark: the limiter may mistake a saturated processor for a slow server.
func (p *twoDaemons) load(b *testing.B) {
	const calls = 100 // by each caller in each round
	times, ignored := newHistogram(), newHistogram()
	refused := 0
	round := func(url string, all *hdrhistogram.Histogram) float64 {
		start := time.Now()
		var group sync.WaitGroup
		var mu sync.Mutex
		for range pathCallers {
			group.Go(func() {
				histogram, failed := newHistogram(), 0
				for range calls {
					if took, err := p.call(url); err == nil {
						_ = histogram.RecordValue(int64(took))
					} else {
						failed++
					}
				}
				mu.Lock()
				defer mu.Unlock()
				all.Merge(histogram)
				refused += failed
			})
		}
		group.Wait()
		return pathCallers * calls / time.Since(start).Seconds()
	}
	done := 0
	var rates, shares []float64
	for b.Loop() {
		direct := round(p.direct, ignored)
		rate := round(p.through, times)
		rates, shares = append(rates, rate), append(shares, rate/direct)
		done += pathCallers * calls
	}
	b.ReportMetric(float64(refused)/float64(done), "refused")
	b.ReportMetric(median(rates), "calls/s")
	b.ReportMetric(median(shares), "of-direct")
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-ns")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-ns")
}
