package logs

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

const (
	// decisionRate is the number of lines per second about requests that went wrong, were refused or were late, above which
	// only a part of the requests is followed.
	decisionRate = 50
	// mostDecisions bounds the lines of one second whatever the requests' ids are.
	mostDecisions = 2 * decisionRate
	// usualRate bounds the lines per second about requests that went as usual. They serve for comparison.
	usualRate = 2
	maxLevel  = 16 // one in 65,536
)

// Sampler logs lines about decisions that concern a request, with a bound on their number. Under load, one in 2^n requests is
// followed, chosen by the id, so that all daemons follow the same ones and their stories are whole. What is left out is counted
// and told once a second.
type Sampler struct {
	Log logr.Logger

	mu      sync.Mutex
	second  time.Time // start of the present one
	offered int       // notable lines in it
	logged  int       // those of them that were logged
	usual   int       // usual lines in it
	level   int       // one in 2^level requests is followed
}

// Abnormal logs a decision that explains a failure, a refusal or a delay of the request.
func (d *Sampler) Abnormal(event, request string, pairs ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn()
	d.offered++
	if d.logged >= mostDecisions || !followed(request, d.level) {
		return
	}
	d.logged++
	d.Log.Info(event, append([]any{"request", request}, pairs...)...)
}

// Normal logs a decision about a request that went as usual, for few of them.
func (d *Sampler) Normal(event, request string, pairs ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn()
	if d.usual >= usualRate {
		return
	}
	d.usual++
	d.Log.Info(event, append([]any{"request", request}, pairs...)...)
}

// turn begins a new second: it tells what was left out of the one before and adapts the part that is followed.
func (d *Sampler) turn() {
	now := time.Now()
	if now.Sub(d.second) < time.Second {
		return
	}
	if left := d.offered - d.logged; left > 0 {
		d.Log.Info("decisions-not-logged", "count", left, "followed-one-in", 1<<d.level)
	}
	level := 0
	for level < maxLevel && d.offered>>level > decisionRate && now.Sub(d.second) < 2*time.Second {
		level++
	}
	d.second, d.offered, d.logged, d.usual, d.level = now, 0, 0, 0, level
}

// followed tells whether the request is among the one in 2^level. A call on behalf of another request carries that one's id
// before a dot, and is followed with it.
func followed(request string, level int) bool {
	first, _, _ := strings.Cut(request, ".")
	return xxhash.Sum64String(first)&(1<<level-1) == 0
}
