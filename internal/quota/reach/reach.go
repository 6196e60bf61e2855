// Package reach estimates which members a daemon reaches and which part of the fleet. The time is passed in.
package reach

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=State -linecomment -output=names.go

// State is what is known of a daemon.
type State int

// The states of a daemon. Refused means that its port refuses connections: the process does not run.
const (
	Unknown State = iota // unknown
	Up                   // up
	Down                 // down
	Refused              // refused
)

const (
	// sampleCount is the number of latest samples from which the share is estimated.
	sampleCount = 15
	// minSamples is the number of samples below which the share is not known: one lost ping of fewer would look like a partition.
	minSamples = 10
	// sampleAge is the maximum age of a sample.
	sampleAge = time.Second
	// settleTime is the time constant with which the share follows the samples. It rises slowly, so that an owner that regains the fleet
	// grants more only after the daemons that granted in its place have found it again.
	settleTime = 3 * time.Second
	// startSettleTime is the time constant until the share has been high once. When a whole fleet starts, nobody grants in place of the
	// owners, whose first pings go to daemons that are about to start too.
	startSettleTime = 300 * time.Millisecond
	// highShare is the share of the fleet that a daemon reaches unless the network is partitioned.
	highShare = 0.9
	// drop is the difference from the samples at which the share follows them at once. Four lost pings of 15 are no partition.
	drop = 0.3
	// heardAge is how long a daemon counts as reached after it was heard. It is shorter than the time in which a daemon on the other side of
	// a partition grants only a part of the rate.
	heardAge = time.Second
	// maxResults limits the daemons whose results are kept.
	maxResults = 4096
)

// Reach holds the results of recent messages to other daemons. Its zero value knows nothing.
type Reach struct {
	mu      sync.Mutex
	results map[netip.AddrPort]result
	samples []sample                     // at most sampleCount, oldest first
	reached bool                         // the share has been high since the start
	heard   map[netip.AddrPort]time.Time // when each daemon last sent a request for permits or a ping
	share   float64                      // of the others; as of settled
	settled time.Time

	falling      bool      // the share follows lower estimates only
	fallingUntil time.Time // when all samples are newer than the change
}

type result struct {
	state State
	at    time.Time
}

type sample struct {
	up bool
	at time.Time
}

// Record records the result of a message to a daemon.
func (r *Reach) Record(now time.Time, daemon netip.AddrPort, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.results) >= maxResults {
		clear(r.results)
	}
	if r.results == nil {
		r.results = make(map[netip.AddrPort]result)
	}
	r.results[daemon] = result{state: state, at: now}
}

// Heard records that a daemon has sent a request.
func (r *Reach) Heard(now time.Time, daemon netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard == nil || len(r.heard) >= maxResults {
		r.heard = make(map[netip.AddrPort]time.Time)
	}
	r.heard[daemon] = now
}

// recentlyHeard returns how many daemons were heard lately, and forgets the others.
func (r *Reach) recentlyHeard(now time.Time) int {
	for daemon, at := range r.heard {
		if now.Sub(at) > heardAge {
			delete(r.heard, daemon)
		}
	}
	return len(r.heard)
}

// State returns the latest state of a daemon, or Unknown when it is older than maxAge.
func (r *Reach) State(now time.Time, daemon netip.AddrPort, maxAge time.Duration) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest, found := r.results[daemon]
	if !found || now.Sub(latest.at) > maxAge {
		return Unknown
	}
	return latest.state
}

// Sample adds the result of a ping to a member that was chosen at random. Members that do not run say nothing about the network.
func (r *Reach) Sample(now time.Time, state State) {
	if state == Refused || state == Unknown {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = slices.DeleteFunc(r.samples, func(s sample) bool { return now.Sub(s.at) > sampleAge })
	if len(r.samples) == sampleCount {
		r.samples = slices.Delete(r.samples, 0, 1)
	}
	r.samples = append(r.samples, sample{up: state == Up, at: now})
	if len(r.samples) < minSamples {
		return
	}
	up := 0
	for _, s := range r.samples {
		if s.up {
			up++
		}
	}
	r.settle(now, float64(up)/float64(len(r.samples)))
}

func (r *Reach) settle(now time.Time, estimate float64) {
	elapsed := now.Sub(r.settled)
	if estimate < r.share-drop {
		r.falling, r.fallingUntil = true, now.Add(sampleAge)
	}
	switch {
	case elapsed > sampleAge:
		r.share, r.falling = estimate, false
	case r.falling && now.Before(r.fallingUntil): // some samples are older than the change
		r.share = min(r.share, estimate)
	default:
		r.falling = false
		constant := settleTime
		if !r.reached {
			constant = startSettleTime
		}
		r.share += (estimate - r.share) * (1 - math.Exp(-elapsed.Seconds()/constant.Seconds()))
	}
	r.settled = now
	r.reached = r.reached || r.share >= highShare
}

// Share returns the share of the members, this daemon included, that it reaches. It reports false when there are too few samples.
func (r *Reach) Share(now time.Time, members int) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if members <= 1 {
		return 1, true
	}
	if r.settled.IsZero() || now.Sub(r.settled) > sampleAge {
		return 1, false
	}
	// Replies to pings are lost while the link of this daemon is full, which the requests of others show not to be a partition.
	others := max(r.share*float64(members-1), float64(min(r.recentlyHeard(now), members-1)))
	return (1 + others) / float64(members), true
}

// Restart replaces the samples by those of one round of pings, of which some were answered. A daemon that begins to grant in place of
// another one must not rely on samples from before the cause of that.
func (r *Reach) Restart(now time.Time, up, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if total < minSamples {
		return
	}
	r.samples = r.samples[:0]
	for i := range min(total, sampleCount) {
		r.samples = append(r.samples, sample{up: i < up, at: now})
	}
	r.share, r.settled = float64(up)/float64(total), now
	r.falling = false
}

// Reset forgets everything, after a pause of the process.
func (r *Reach) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results, r.samples, r.heard, r.settled, r.falling = nil, nil, nil, time.Time{}, false
}
