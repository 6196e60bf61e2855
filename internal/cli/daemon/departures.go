package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
)

// keepTimeout is how long the acknowledgement of a departure may wait for the store. Servers wait a second for it.
const keepTimeout = 300 * time.Millisecond

// departures keeps in the store that the own server leaves, before its check-in is acknowledged: the acknowledgement binds the next
// process of this daemon too.
type departures struct {
	Status *status.Server
	Watch  *watch.Watch
	Log    logr.Logger
}

func (d *departures) checkIn(c status.CheckIn) error {
	if err := d.Status.CheckIn(c); err != nil {
		return err
	}
	if c.Draining {
		d.keep()
	}
	return nil
}

func (d *departures) leave(id string) {
	d.Status.Leave(id)
	d.keep()
}

// keep does not hold an acknowledgement back for a store that does not answer: this process is bound all the same.
func (d *departures) keep() {
	id, born, departing := d.Status.Departure()
	if !departing {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	if err := d.Watch.PersistDeparture(ctx, watch.Departure{Server: id, Born: born}); err != nil {
		d.Log.Info("departure-not-kept", "server", id, "cause", err.Error())
	}
}
