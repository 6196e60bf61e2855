// Package limit computes the concurrency limit of a server from the latencies and failures of its answers, or from the slots
// that the server reports.
package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/clock"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Cause,Result -linecomment -output=names.go

// Cause is the reason for the last change of the limit.
type Cause int

// Causes of a limit.
const (
	CauseNone       Cause = iota // configured-slots
	Started                      // daemon-started
	Failing                      // server-failing
	Slowed                       // server-slow
	Stalled                      // server-stalled
	Unreachable                  // server-unreachable
	Returned                     // returned-to-service
	NormalAnswers                // normal-answers
	AbnormalAnswers              // abnormal-answers
	LatencyHigh                  // latency-above-floor
	LatencyNormal                // latency-near-floor
	SlotsChanged                 // slots-changed
	FloorProbe                   // latency-floor-probe
)

// Result classifies the end of a request as evidence of the server's state.
type Result int

// Results of a request.
const (
	Normal  Result = iota // normal
	Failed                // failed
	Late                  // late
	Ignored               // ignored
)

// Parameters of the limit.
const (
	tick = 100 * time.Millisecond
	// highRatio is the ratio of the latency to its floor above which the limit is lowered. A queue inside the server that
	// doubles the latency adds no throughput.
	highRatio = 2.0
	// normalRatio is the ratio of the latency to its floor below which the limit rises again.
	normalRatio = 1.5
	// baselineRatio is the ratio of a warming server's latency to that of the service's other servers above which it counts
	// as still cold. Warm servers differ by less, also across zones and with other loads on the same machine.
	baselineRatio = 2.5
	// abandonedDivisor is the inverse of the share of a warming server's requests that may be abandoned as too slow. Above that
	// share the server counts as still cold.
	abandonedDivisor = 4
	// baselineAnswers is the minimum number of answers for a comparison with the other servers. The mean of fewer answers of
	// a cold server is often as low as that of a warm one.
	baselineAnswers = 8
	// coldRatio is the ratio of the latency to its floor from which a server counts as cold when it persists for coldAfter.
	coldRatio = 4.0
	// coldAfter is longer than the random slowdowns of a warm server, which last 500 ms, and short enough to detect a cold
	// server within 1 s.
	coldAfter = 600 * time.Millisecond
	// A server counts as cold when at least coldFailures of its answers within failureTicks have failed and they are at
	// least coldShare of its answers. A server that fails half of its answers fails slightly fewer in some windows, so the
	// share is below one half.
	coldFailures = 3
	coldShare    = 0.45
	failureTicks = 5
	// minShare is the lower bound of the adaptive limit as a share of the slots. When the latency stays high at a quarter of
	// the slots, concurrency is not the cause, and a lower limit would only lose capacity.
	minShare          = 0.25
	minDecreaseFactor = 0.7 // the adaptive limit falls to no less than this share of its value in one window
	increaseFactor    = 1.1 // and rises by this factor and increaseStep of the slots
	increaseStep      = 0.04
	warmUpStep        = time.Second // the warm-up limit doubles at most once in this time
	// minSample is the minimum number of answers in a window. The mean of fewer random service times is often twice the
	// usual one. A slow server gives few answers, so with a higher number it could not be detected within 1 s.
	minSample = 4
	// slowExpiry is how long the server counts as slow after a slow window when no further answers arrive.
	slowExpiry = 2 * tick
)

// Limiter computes the limit of one server. Its exported fields are set before the first use.
type Limiter struct {
	Config   *config.Holder
	Service  string   // its configured slots bound the limit
	Reporter Reporter // nil when the server reports nothing
	Log      logr.Logger

	reported     atomic.Int64 // limit from the slots that the server reports; 0 when the limit is adaptive
	current      atomic.Int64 // adaptive limit in force, with warm-up and probe; 0 before the first request or tick
	warming      atomic.Bool
	latency      atomic.Int64                // recent median latency in nanoseconds
	classLatency [ident.Classes]atomic.Int64 // the same for each class

	mu            sync.Mutex
	started       bool
	slots         int
	share         float64 // adaptive limit as a share of the slots; in [minShare, 1]
	warmLimit     int     // warm-up limit; 0 when the server is warm
	cause         Cause
	changed       time.Time
	stepStart     time.Time                // start of the present warm-up step
	baseline      time.Duration            // median latency of the service's other servers; 0 when unknown
	stepLatency   time.Duration            // sum over the requests counted in stepNormal and stepAbandoned
	stepAbandoned int                      // requests of the step that were abandoned after more than the baseline
	stepNormal    int                      // normal answers to requests that began in the step
	stepFailed    int                      // failed answers in the step
	step          uint64                   // number of the warm-up step
	warmUps       uint64                   // number of warm-ups begun
	waiting       [ident.Classes]int       // requests sent completely and not yet answered
	progress      [ident.Classes]time.Time // last answer, or when the first request was sent after an idle time
	slowSince     time.Time                // since when the server answers as slowly as a cold one; zero when it does not
	slowSeen      time.Time                // when it last did
	window        window
	recent        [failureTicks]tally
	floors        [ident.Classes]floor
	probe         floorProbe
	nextProbe     time.Time // earliest start of the next floor probe
	medians       [ident.Classes]median
	overall       median
	saturation    saturation
	foreign       foreign
	slotShare     float64 // share of the slots that the limit of a reporting server uses
}

// Dump is the state of a limiter.
type Dump struct {
	Limit    int
	Slots    int
	Adaptive int
	WarmUp   int // 0 when the server is warm
	Cause    Cause
	Changed  time.Time
	Ratio    float64 // ratio of the latency to its floor in the last window; 0 when unknown
	Latency  time.Duration
	Floors   [ident.Classes]time.Duration
}

// Run updates the limit once per tick until ctx is done.
func (l *Limiter) Run(ctx context.Context) error {
	clock.Every(ctx, tick, l.evaluate)
	return nil
}

// Current returns how many requests may run at once now.
func (l *Limiter) Current() int {
	if fixed := l.reported.Load(); fixed > 0 {
		return int(fixed)
	}
	if limit := l.current.Load(); limit > 0 {
		return int(limit)
	}
	return 1
}

// Warming reports whether the warm-up limit is in force.
func (l *Limiter) Warming() bool {
	return l.reported.Load() == 0 && (l.current.Load() == 0 || l.warming.Load())
}

// Latency returns the recent median latency of the server, or 0 when unknown.
func (l *Limiter) Latency() time.Duration {
	return time.Duration(l.latency.Load())
}

// ClassLatency returns the recent median latency of the server for a class, or 0 when unknown.
func (l *Limiter) ClassLatency(class ident.Class) time.Duration {
	return time.Duration(l.classLatency[class].Load())
}

// Restart begins a new warm-up from a limit of one request.
func (l *Limiter) Restart(cause Cause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.ensureStarted(now)
	l.restart(cause, now)
}

// Dump returns the state of the limiter.
func (l *Limiter) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{
		Limit:    l.Current(),
		Slots:    l.slots,
		Adaptive: l.adaptiveLimit(),
		WarmUp:   l.warmLimit,
		Cause:    l.cause,
		Changed:  l.changed,
		Ratio:    l.window.last,
		Latency:  l.Latency(),
	}
	for class := range l.floors {
		d.Floors[class] = l.floors[class].value()
	}
	return d
}

// ensureStarted begins the first warm-up. A daemon that has just started does not know whether its server is cold or busy.
func (l *Limiter) ensureStarted(now time.Time) {
	if l.started {
		return
	}
	l.started = true
	l.share = 1
	l.slots = l.configuredSlots()
	l.restart(Started, now)
}

func (l *Limiter) configuredSlots() int {
	c := l.Config.Get()
	if c == nil || c.Services[l.Service] == nil {
		return 1
	}
	return max(1, c.Services[l.Service].Slots)
}

func (l *Limiter) adaptiveLimit() int {
	return max(1, int(l.share*float64(l.slots)+0.5))
}

// restart begins a warm-up. It also resets the floors: a warming server's latency is compared with its own first answers.
func (l *Limiter) restart(cause Cause, now time.Time) {
	l.warmLimit = 1
	l.warmUps++
	l.share = 1
	l.slowSince = time.Time{}
	l.recent = [failureTicks]tally{}
	l.floors = [ident.Classes]floor{}
	l.window = window{}
	l.probe = floorProbe{}
	l.startStep(now)
	l.publish(cause, now)
}

func (l *Limiter) startStep(now time.Time) {
	l.stepStart = now
	l.step++
	l.stepNormal = 0
	l.stepFailed = 0
	l.stepLatency = 0
	l.stepAbandoned = 0
}

// SetBaseline sets the usual latency of the service's other servers. Values that are not positive are ignored.
func (l *Limiter) SetBaseline(latency time.Duration) {
	if latency <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.baseline = latency
}

// slowerThanBaseline reports whether the requests of the present step take much longer than on the service's other servers.
// Abandoned requests count too: routers abandon the slowest ones, so the answers alone make the server look faster than it is.
func (l *Limiter) slowerThanBaseline() bool {
	count := l.stepNormal + l.stepAbandoned
	if l.baseline <= 0 || count == 0 {
		return false
	}
	return l.stepAbandoned*abandonedDivisor > count || float64(l.stepLatency) > baselineRatio*float64(l.baseline)*float64(count)
}

// publish sets the limit in force, and logs a change with its cause.
func (l *Limiter) publish(cause Cause, now time.Time) {
	limit := l.adaptiveLimit()
	if l.warmLimit > 0 {
		limit = min(limit, l.warmLimit)
	}
	if l.probe.running() {
		limit = max(1, int(probeShare*float64(limit)))
	}
	l.warming.Store(l.warmLimit > 0)
	before := int(l.current.Swap(int64(limit)))
	if before == limit {
		return
	}
	l.cause = cause
	l.changed = now
	l.Log.Info("limit-changed", "limit", limit, "before", before, "slots", l.slots, "reason", cause.String(),
		"latency", l.Latency(), "ratio", l.window.last)
}
