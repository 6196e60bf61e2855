package daemon

import (
	"context"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
)

// checkInHandler handles the check-ins of the daemon's own server. It keeps a departure before it acknowledges it, because the next
// process of this daemon must honor the acknowledgement too.
type checkInHandler struct {
	Status *status.Server
	Watch  *watch.Watch
	Log    logr.Logger
}

func (h *checkInHandler) checkIn(c status.CheckIn) error {
	if err := h.Status.CheckIn(c); err != nil {
		return err
	}
	if c.Draining {
		h.persist()
	}
	return nil
}

func (h *checkInHandler) leave(id string) {
	h.Status.Leave(id)
	h.persist()
}

// persist acknowledges the departure all the same when neither the store nor a peer can keep it: this process honors it anyway.
func (h *checkInHandler) persist() {
	id, born, departing := h.Status.Departure()
	if !departing {
		return
	}
	if err := h.Watch.KeepDeparture(context.Background(), watch.Departure{Server: id, Born: born}); err != nil {
		h.Log.Info("departure-not-kept", "server", id, "cause", err.Error())
	}
}
