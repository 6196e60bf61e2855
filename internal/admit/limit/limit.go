// Package limit decides how many requests a server may run at once, from the answers that its admission role sees.
package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Cause,Result -linecomment -output=names.go

// Cause is why the limit has its present value.
type Cause int

// The causes.
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

// Result is what an answer says about the server.
type Result int

// The results.
const (
	Normal  Result = iota // normal
	Failed                // failed
	Late                  // late
	Ignored               // ignored
)

// Parameters of the limit.
const (
	tick = 100 * time.Millisecond
	// highRatio is the latency over its floor that lowers the limit; a queue inside the server that doubles the latency
	// brings no throughput.
	highRatio = 2.0
	// normalRatio is the latency over its floor up to which the limit rises again.
	normalRatio = 1.5
	// othersRatio is the time of a warming server's answers over that of the service's other servers from which it is taken to
	// be still cold. Zones and neighbors make warm servers differ by less.
	othersRatio = 2.5
	// cutShare is one in how many requests of a warming server may be given up as slow.
	cutShare = 4
	// othersAnswers is the number of answers that such a comparison needs. The mean of fewer answers of a cold server is often as
	// short as that of a warm one.
	othersAnswers = 8
	// coldRatio is the latency over its floor that makes a server cold when it lasts for coldAfter.
	coldRatio = 4.0
	// coldAfter is above the 500 ms for which a server slows down at random, and leaves time to detect a cold one
	// within 1 s.
	coldAfter = 600 * time.Millisecond
	// coldFailures is the least number of failed answers within failureTicks that makes a server cold, when they are
	// coldShare of its answers. A server that fails half of them shows a little less in some windows, so the share lies
	// below a half.
	coldFailures = 3
	coldShare    = 0.45
	failureTicks = 5
	// minShare bounds the adaptive limit from below. When latency stays high at a quarter of the slots, the cause is not
	// the concurrency, and a lower limit only loses capacity.
	minShare = 0.25
	maxFall  = 0.7 // the adaptive limit falls at most to this part in one window
	riseBy   = 1.1 // and rises by this factor
	riseAdd  = 0.04
	warmStep = time.Second // the warm-up limit at most doubles in this time
	// minSample is the least number of answers in a window. The mean of fewer random service times is often twice the
	// usual one, and with more the few answers of a slow server would come too late to detect it within 1 s.
	minSample = 4
	// slowFor is how long a slow window counts when no further answer comes.
	slowFor = 2 * tick
)

// Limiter computes the limit. Its fields are set before Run.
type Limiter struct {
	Config   *config.Holder
	Service  string   // whose slots bound the limit
	Reporter Reporter // nil when servers tell nothing
	Log      logr.Logger

	fixed   atomic.Int64 // the limit of a server that tells its slots; 0 when the limit is adaptive
	current atomic.Int64 // the adaptive limit in force; at least 1
	warming atomic.Bool
	latency atomic.Int64                // median service time in nanoseconds
	typical [ident.Classes]atomic.Int64 // the same for each class

	mu        sync.Mutex
	started   bool
	slots     int
	share     float64 // adaptive limit as a share of the slots; in [minShare, 1]
	warm      int     // warm-up limit; 0 when the server is warm
	cause     Cause
	changed   time.Time
	warmAt    time.Time                // last change of warm
	usual     time.Duration            // median service time of the service's other servers; 0 when unknown
	warmSpent time.Duration            // time of the requests counted in warmOK and warmCut
	warmCut   int                      // requests since warmAt that were given up after more than the usual time
	warmOK    int                      // normal answers since warmAt to requests that began since warmAt
	warmBad   int                      // failed answers since warmAt
	step      uint64                   // rises with warmAt
	regime    uint64                   // rises when the warm-up begins
	waiting   [ident.Classes]int       // requests that the server has whole and has not answered
	progress  [ident.Classes]time.Time // last answer, or the start of the first one waiting after an idle time
	slowFrom  time.Time                // since when all answers are as slow as a cold server's; zero when they are not
	slowLast  time.Time                // when that was last seen
	window    window
	recent    [failureTicks]tally
	floors    [ident.Classes]floor
	probe     floorProbe
	probeNext time.Time // no probe of the floor begins before
	medians   [ident.Classes]median
	overall   median
	knee      knee
	used      float64 // part of the slots in use of a server that tells them
}

// Dump is the state of a limiter.
type Dump struct {
	Limit    int
	Slots    int
	Adaptive int
	WarmUp   int // 0 when the server is warm
	Cause    Cause
	Changed  time.Time
	Ratio    float64 // latency over its floor in the last window; 0 when unknown
	Latency  time.Duration
	Floors   [ident.Classes]time.Duration
}

// Run evaluates the answers until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			l.evaluate(now)
		}
	}
}

// Current returns how many requests may run at once now.
func (l *Limiter) Current() int {
	if fixed := l.fixed.Load(); fixed > 0 {
		return int(fixed)
	}
	if limit := l.current.Load(); limit > 0 {
		return int(limit)
	}
	return 1
}

// Warming reports whether the warm-up limit is in force.
func (l *Limiter) Warming() bool {
	return l.fixed.Load() == 0 && (l.current.Load() == 0 || l.warming.Load())
}

// Latency returns the recent median of the server's own time, or 0.
func (l *Limiter) Latency() time.Duration {
	return time.Duration(l.latency.Load())
}

// ClassLatency returns the recent median of the server's own time for a class, or 0.
func (l *Limiter) ClassLatency(class ident.Class) time.Duration {
	return time.Duration(l.typical[class].Load())
}

// Restart begins the warm-up again from one request.
func (l *Limiter) Restart(cause Cause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.start(now)
	l.restart(cause, now)
}

// Dump returns the state of the limiter.
func (l *Limiter) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Dump{
		Limit:    l.Current(),
		Slots:    l.slots,
		Adaptive: l.adaptive(),
		WarmUp:   l.warm,
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

// start sets the state of a daemon that has just started: it knows nothing of its server, which may be cold or busy.
func (l *Limiter) start(now time.Time) {
	if l.started {
		return
	}
	l.started = true
	l.share = 1
	l.slots = l.configured()
	l.restart(Started, now)
}

func (l *Limiter) configured() int {
	c := l.Config.Get()
	if c == nil || c.Services[l.Service] == nil {
		return 1
	}
	return max(1, c.Services[l.Service].Slots)
}

func (l *Limiter) adaptive() int {
	return max(1, int(l.share*float64(l.slots)+0.5))
}

// restart also forgets the floors: the answers of a server in warm-up are compared with its own first ones.
func (l *Limiter) restart(cause Cause, now time.Time) {
	l.warm = 1
	l.regime++
	l.share = 1
	l.slowFrom = time.Time{}
	l.recent = [failureTicks]tally{}
	l.floors = [ident.Classes]floor{}
	l.window = window{}
	l.probe = floorProbe{}
	l.markWarm(now)
	l.publish(cause, now)
}

func (l *Limiter) markWarm(now time.Time) {
	l.warmAt = now
	l.step++
	l.warmOK = 0
	l.warmBad = 0
	l.warmSpent = 0
	l.warmCut = 0
}

// SetBaseline notes the service time that is usual at the service's other servers.
func (l *Limiter) SetBaseline(usual time.Duration) {
	if usual <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usual = usual
}

// slowerThanOthers reports whether the answers of the present step take much longer than those of the service's other servers.
// Routers give up the slowest requests, so that the answers alone look faster than the server is.
func (l *Limiter) slowerThanOthers() bool {
	count := l.warmOK + l.warmCut
	if l.usual <= 0 || count == 0 {
		return false
	}
	return l.warmCut*cutShare > count || float64(l.warmSpent) > othersRatio*float64(l.usual)*float64(count)
}

// publish puts the limit in force and logs a change with its cause.
func (l *Limiter) publish(cause Cause, now time.Time) {
	limit := l.adaptive()
	if l.warm > 0 {
		limit = min(limit, l.warm)
	}
	if l.probe.running() {
		limit = max(1, int(probeShare*float64(limit)))
	}
	l.warming.Store(l.warm > 0)
	before := int(l.current.Swap(int64(limit)))
	if before == limit {
		return
	}
	l.cause = cause
	l.changed = now
	l.Log.Info("limit-changed", "limit", limit, "before", before, "slots", l.slots, "reason", cause.String(),
		"latency", l.Latency(), "ratio", l.window.last)
}
