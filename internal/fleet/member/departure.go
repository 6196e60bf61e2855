package member

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Departure tells that a daemon has acknowledged that the server beside it leaves. It binds one lifetime of the server, no later one.
type Departure struct {
	Daemon netip.AddrPort // inner address of the daemon
	Server string
	Born   time.Time     // start of the lifetime, in milliseconds; zero when unknown
	Age    time.Duration // since the acknowledgement
}

const (
	// departureRetain is how long a departure is kept. The row of a daemon that does not return is ignored after the same time.
	departureRetain = 20 * time.Minute
	// maxDepartures bounds the departures kept: every server of the largest fleet may leave.
	maxDepartures = 8192
	maxServer     = 256 // bytes of a server's id
)

// Valid reports whether d can be the departure of a server.
func (d Departure) Valid() bool {
	return isHost(d.Daemon) && d.Server != "" && len(d.Server) <= maxServer && d.Age >= 0 && d.Age < departureRetain
}

// sameLifetime reports whether both departures are of the same lifetime of a server.
func (d Departure) sameLifetime(other Departure) bool {
	return d.Server == other.Server && d.Born.Equal(other.Born)
}

// Departures holds the latest departure of the server beside each daemon, as told by the daemons. The zero value is ready for use.
type Departures struct {
	mu   sync.Mutex
	held map[netip.AddrPort]heldDeparture
}

type heldDeparture struct {
	Departure // its age is that at the time of arrival

	at time.Time // of the acknowledgement, by the time of arrival
}

// Add keeps a departure and reports whether it is news.
func (t *Departures) Add(d Departure) bool {
	if !d.Valid() {
		return false
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	held, known := t.held[d.Daemon]
	at := now.Add(-d.Age)
	if known && (held.sameLifetime(d) || !at.After(held.at)) {
		return false
	}
	t.expire(now)
	if len(t.held) >= maxDepartures && !known {
		return false
	}
	if t.held == nil {
		t.held = make(map[netip.AddrPort]heldDeparture)
	}
	t.held[d.Daemon] = heldDeparture{Departure: d, at: at}
	return true
}

func (t *Departures) expire(now time.Time) {
	for daemon, held := range t.held {
		if now.Sub(held.at) >= departureRetain {
			delete(t.held, daemon)
		}
	}
}

// Latest returns at most n departures, that of the server beside the daemon first, then the latest ones.
func (t *Departures) Latest(n int, daemon netip.AddrPort) []Departure {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var list []Departure
	for _, held := range t.held {
		d := held.Departure
		d.Age = now.Sub(held.at)
		list = append(list, d)
	}
	rank := func(d Departure) time.Duration {
		if d.Daemon == daemon {
			return -1
		}
		return d.Age
	}
	slices.SortFunc(list, func(a, b Departure) int { return cmp.Compare(rank(a), rank(b)) })
	return list[:min(n, len(list))]
}

// Holds reports whether the departure, or a later one of the same daemon's server, is kept.
func (t *Departures) Holds(d Departure) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, known := t.held[d.Daemon]
	return known && (held.sameLifetime(d) || held.at.After(time.Now().Add(-d.Age)))
}

// Len returns the number of departures held.
func (t *Departures) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}
