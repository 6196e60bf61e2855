package watch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

const (
	// storePatience bounds how long KeepDeparture waits for the store, in which departureLoop goes on trying.
	storePatience = 300 * time.Millisecond
	// peerPatience bounds how long KeepDeparture looks for peers when the store does not answer. Servers wait 1 s for an acknowledgement.
	peerPatience = 800 * time.Millisecond
)

// handovers holds the departure that peers keep for the next process of this daemon.
type handovers struct {
	mu   sync.Mutex
	done Departure
}

// KeepDeparture stores the departure of this daemon's server where it outlives this process: in this daemon's row, or if the store does
// not answer, with peers. Peers get it in either case. It returns an error if neither has it.
func (w *Watch) KeepDeparture(ctx context.Context, d Departure) error {
	w.init()
	ctx, cancel := context.WithTimeout(ctx, peerPatience)
	defer cancel()
	copies := make(chan int, 1)
	go func() { copies <- w.handOver(ctx, d) }()
	storeCtx, cancelStore := context.WithTimeout(ctx, storePatience)
	defer cancelStore()
	err := w.PersistDeparture(storeCtx, d)
	if err == nil {
		return nil
	}
	held := <-copies
	if held == 0 {
		return errors.Wrap(err, "no peer keeps the departure, nor does the store")
	}
	w.Log.Info("departure-kept-by-peers", "server", d.Server, "peers", held, "cause", err.Error())
	return nil
}

// handOver gives the departure to peers unless they have it, and returns how many keep it.
func (w *Watch) handOver(ctx context.Context, d Departure) int {
	w.handovers.mu.Lock()
	done := w.handovers.done == d
	w.handovers.mu.Unlock()
	if done {
		return 1
	}
	held := w.Node.HandOver(ctx, member.Departure{Server: d.Server, Born: d.Born})
	if held > 0 {
		w.handovers.mu.Lock()
		w.handovers.done = d
		w.handovers.mu.Unlock()
	}
	return held
}

// RecallDeparture adopts the departure that an earlier process of this daemon handed to peers, and writes it into this daemon's row.
func (w *Watch) RecallDeparture(told member.Departure) {
	w.init()
	d := Departure{Server: told.Server, Born: told.Born}
	if !w.departures.adopt(d) {
		return
	}
	w.Log.Info("departure-recalled", "server", d.Server, "born", d.Born, "age", told.Age)
	if w.OnDepartureRestored != nil {
		w.OnDepartureRestored(d)
	}
	w.requestDepartureWrite()
}

// adopt makes d the current departure if it is of a later lifetime, and reports whether it does.
func (s *departures) adopt(d Departure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !d.follows(s.current) {
		return false
	}
	s.current = d
	return true
}

// follows reports whether d is the departure of a later lifetime than other, which may be zero.
func (d Departure) follows(other Departure) bool {
	return other.Server == "" && d.Server != "" || d.Born.After(other.Born)
}
