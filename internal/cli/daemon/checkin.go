package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
)

// persistTimeout bounds how long the acknowledgement of a departure waits for the store. Servers wait 1 s for it.
const persistTimeout = 300 * time.Millisecond

// checkInHandler handles the check-ins of the daemon's own server. It persists a departure before it acknowledges it, because the
// next process of this daemon must honor the acknowledgement too.
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

// persist ignores a store that does not answer within persistTimeout: the departure is acknowledged all the same, because this
// process honors it anyway.
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
