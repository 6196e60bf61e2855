package limit

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

const (
	slots   = 12
	service = 10 * time.Millisecond
)

// Each script in testdata states the failure that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		inBubble(t, func(t *testing.T, r *rig) { datadriven.RunTest(t, path, r.run) })
	})
}

// rig drives a limiter with as many requests as it allows. Its state is accessed only by the goroutine that drives the load,
// or while all other goroutines of the synctest bubble are blocked.
type rig struct {
	*Limiter
	serve  func(running int) (time.Duration, Result) // service time and result of a request that starts as one of running
	start  time.Time
	peaks  []int // highest concurrency in each second
	lowest int   // lowest limit since the last command "lowest"
	floor  time.Duration
}

func inBubble(t *testing.T, body func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		holder := &config.Holder{}
		s := config.NewService("stock")
		s.Slots = slots
		NewWithT(t).Expect(holder.Set(&config.Config{Revision: 1, Services: map[string]*config.Service{"stock": s}})).To(Succeed())
		r := &rig{Limiter: &Limiter{Config: holder, Service: "stock", Log: logr.Discard()}, start: time.Now(), lowest: slots}
		r.serve = r.serverModel(t, &datadriven.TestData{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		body(t, r)
		cancel()
	})
}

// request starts a complete request that ends after the time spent.
func (r *rig) request(class ident.Class, spent time.Duration, result Result, ended func()) {
	t := &Ticket{}
	r.Begin(t, class, 1, true)
	r.Written(t)
	time.AfterFunc(spent, func() {
		r.End(t, result)
		ended()
	})
}

// load keeps as many requests running as the limit allows, for the given time or until done returns true, and returns how
// long that took.
func (r *rig) load(duration time.Duration, done func() bool) time.Duration {
	started := time.Now()
	running := 0
	ends := make(chan struct{}, 4*slots)
	timeout := time.After(duration)
	step := time.NewTicker(time.Millisecond)
	defer step.Stop()
	for {
		for running < r.Current() {
			running++
			second := int(time.Since(r.start) / time.Second)
			for len(r.peaks) <= second {
				r.peaks = append(r.peaks, 0)
			}
			r.peaks[second] = max(r.peaks[second], running)
			spent, result := r.serve(running)
			r.request(ident.Lookup, spent, result, func() { ends <- struct{}{} })
		}
		select {
		case <-ends:
			running--
		case <-step.C:
			r.lowest = min(r.lowest, r.Current())
			if done != nil && done() {
				return time.Since(started)
			}
		case <-timeout:
			return time.Since(started)
		}
	}
}

func (r *rig) meanLimit(duration time.Duration) float64 {
	sum, n := 0, 0
	r.load(duration, func() bool {
		sum += r.Current()
		n++
		return false
	})
	return float64(sum) / float64(n)
}

func (r *rig) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "serve":
		r.serve = r.serverModel(t, d)
	case "load": // keeps the server busy for a time, or until a limit or a warm-up is reached
		until := 0
		d.MaybeScanArgs(t, "until", &until)
		r.load(arg(t, d, "for", 0), func() bool {
			return r.Current() == until || d.HasArg("until-cold") && r.Current() == 1 && r.Warming()
		})
	case "sleep":
		time.Sleep(arg(t, d, "for", 0))
	case "request": // starts complete requests; "begin" starts requests whose body is not sent completely
		for range number(t, d, "n", 1) {
			r.request(ident.Lookup, arg(t, d, "spent", service), Normal, func() {})
		}
	case "begin":
		for range number(t, d, "n", 1) {
			r.Begin(&Ticket{}, ident.Lookup, 1, false)
		}
	case "restart":
		r.Restart(Returned)
	case "mean": // reports whether the mean limit under load is at least min and at most max
		mean := r.meanLimit(arg(t, d, "for", 0))
		t.Logf("%s: mean limit %.2f", d.Pos, mean)
		return fmt.Sprintln(mean >= number(t, d, "min", 1.0), mean <= number(t, d, "max", float64(slots)))
	case "limit":
		return fmt.Sprintf("%d, warming %t\n", r.Current(), r.Warming())
	case "at-most":
		return fmt.Sprintln(r.Current() <= number(t, d, "limit", 0), r.Dump().(Dump).WarmUp <= number(t, d, "limit", 0))
	case "peaks":
		return fmt.Sprintln(r.peaks)
	case "lowest":
		lowest := r.lowest
		r.lowest = slots
		return fmt.Sprintln(lowest < slots)
	case "cause":
		byLatency := slices.Contains([]Cause{LatencyHigh, LatencyNormal}, r.Dump().(Dump).Cause)
		return fmt.Sprintf("by latency %t, warming %t\n", byLatency, r.Warming())
	case "probed":
		r.mu.Lock()
		defer r.mu.Unlock()
		return fmt.Sprintln(!r.nextProbe.IsZero())
	case "floor": // reports whether the floor is at most raisedRatio times the one at the first use of the command
		floor := r.Dump().(Dump).Floors[ident.Lookup]
		r.floor = cmp.Or(r.floor, floor)
		return fmt.Sprintln(float64(floor) <= raisedRatio*float64(r.floor))
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// serverModel builds a server from the arguments. Its service time is random or fixed, multiplied by a factor and by the
// ratio of the concurrency to a capacity when above it. Its results cycle through a list.
func (r *rig) serverModel(t *testing.T, d *datadriven.TestData) func(running int) (time.Duration, Result) {
	noise := rand.New(rand.NewPCG(1, 2))
	base, fixed := arg(t, d, "mean", service), arg(t, d, "fixed", 0)
	factor, capacity := number(t, d, "times", 1.0), number(t, d, "capacity", slots)
	var names []string
	d.MaybeScanArgs(t, "results", &names)
	next := 0
	return func(running int) (time.Duration, Result) {
		spent := base/2 + time.Duration(noise.Int64N(int64(base)))
		switch {
		case fixed > 0:
			spent = fixed
		case d.HasArg("exponential"):
			spent = time.Duration(noise.ExpFloat64() * float64(base))
		}
		load := float64(max(capacity, running)) / float64(capacity)
		if d.HasArg("squared") {
			load = float64(max(capacity, running*running/capacity))
		}
		result := Normal
		if len(names) > 0 {
			result = results[names[next%len(names)]]
			next++
		}
		return time.Duration(float64(spent) * factor * load), result
	}
}

var results = map[string]Result{"normal": Normal, "failed": Failed, "late": Late, "ignored": Ignored}

// arg returns a duration argument, or fallback when there is none.
func arg(t *testing.T, d *datadriven.TestData, key string, fallback time.Duration) time.Duration {
	text := fallback.String()
	d.MaybeScanArgs(t, key, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return value
}

func number[N int | float64](t *testing.T, d *datadriven.TestData, key string, fallback N) N {
	text := fmt.Sprint(fallback)
	d.MaybeScanArgs(t, key, &text)
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return N(value)
}
