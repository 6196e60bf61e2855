package limit

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

const (
	// lowShare is the part of the slots up to which requests count as run on a server with room.
	lowShare = 0.7
	// highShare is the part above which they count as run on a nearly full one.
	highShare = 0.8
	// kneeShare is the part of the slots that is used of a server that slows down when it is nearly full.
	kneeShare = 0.75
	// kneeRatio is the time on a nearly full server over that on one with room from which the last slots bring less than they
	// cost: the last quarter of the slots brings a third more requests at most.
	kneeRatio = 1.3
	// kneeLow and kneeHigh are the answers of each kind before that is judged.
	kneeLow  = 8
	kneeHigh = 16
	// kneeWeight is the weight of a new answer in the averages.
	kneeWeight = 1.0 / 16
	// kneeFor is how long the last slots stay unused before they are tried again.
	kneeFor = time.Minute
	// steadyPace is the pace, in percent, up to which an answer is compared. A slowed instance would hide the difference.
	steadyPace = 120
)

// knee finds out whether a server that tells its slots slows down when it is nearly full.
type knee struct {
	low   [ident.Classes]average // time on a server with room
	high  average                // time on a nearly full one over that
	since time.Time              // when the last slots were given up; zero while all are used
}

type average struct {
	value float64
	count int
}

func (a *average) add(sample float64) {
	a.count++
	weight := max(kneeWeight, 1/float64(a.count))
	a.value += (sample - a.value) * weight
}

// add takes the time of an answer that began with so many requests running.
func (k *knee) add(class ident.Class, latency time.Duration, running, slots int) {
	share := float64(running) / float64(max(slots, 1))
	low := &k.low[class]
	switch {
	case share <= lowShare:
		low.add(float64(latency))
	case share > highShare && low.count >= kneeLow:
		k.high.add(float64(latency) / low.value)
	}
}

// share returns the part of the slots to use now.
func (k *knee) share(now time.Time) float64 {
	switch {
	case !k.since.IsZero() && now.Sub(k.since) < kneeFor:
		return kneeShare
	case !k.since.IsZero():
		k.since, k.high = time.Time{}, average{}
	case k.high.count >= kneeHigh && k.high.value > kneeRatio:
		k.since = now
		return kneeShare
	}
	return 1
}

// Reporter is what a server tells of itself. own.Server is the one of a daemon.
type Reporter interface {
	// Slots returns how many requests the server runs at once, or 0 before it is known.
	Slots() int
	// Pace is the time that work takes at the server now, in percent of the usual.
	Pace() int
	// Cold reports whether the server is known to be cold.
	Cold() bool
}

// steady reports whether the server's instance works at its usual pace.
func (l *Limiter) steady() bool {
	return l.Reporter != nil && l.Reporter.Pace() <= steadyPace && !l.Reporter.Cold()
}

// told returns the limit of a server that tells its slots, or 0.
func (l *Limiter) told(now time.Time) int {
	c := l.Config.Get()
	if l.Reporter == nil || c == nil || c.Services[l.Service] == nil || !c.Services[l.Service].ReportsLoad {
		return 0
	}
	slots := l.Reporter.Slots()
	if slots == 0 {
		slots = c.Services[l.Service].Slots
	}
	share := l.knee.share(now)
	if before := l.used; before != share {
		l.used = share
		l.Log.Info("slots-used-changed", "share", share, "slots", slots, "ratio", l.knee.high.value)
	}
	return max(1, int(share*float64(slots)))
}
