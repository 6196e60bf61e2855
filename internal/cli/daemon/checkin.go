package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
)

// persistTimeout is how long the acknowledgement of a departure may wait for the store. Servers wait a second for it.
const persistTimeout = 300 * time.Millisecond

// checkInHandler keeps in the store that the own server leaves, before its check-in is acknowledged: the acknowledgement binds the next
// process of this daemon too.
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

// persist does not hold an acknowledgement back for a store that does not answer: this process is bound all the same.
func (h *checkInHandler) persist() {
	id, born, departing := h.Status.Departure()
	if !departing {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), persistTimeout)
	defer cancel()
	if err := h.Watch.PersistDeparture(ctx, watch.Departure{Server: id, Born: born}); err != nil {
		h.Log.Info("departure-not-kept", "server", id, "cause", err.Error())
	}
}
