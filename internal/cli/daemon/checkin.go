package daemon

import (
	"context"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
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
		return h.persist()
	}
	return nil
}

func (h *checkInHandler) leave(id string) error {
	h.Status.Leave(id)
	return h.persist()
}

// persist returns an error when neither the store nor a peer can keep the departure. This process honors it anyway; the server tells it
// again, or ends without an acknowledgement.
func (h *checkInHandler) persist() error {
	id, born, departing := h.Status.Departure()
	if !departing {
		return nil
	}
	err := h.Watch.KeepDeparture(context.Background(), watch.Departure{Server: id, Born: born})
	if err != nil {
		h.Log.Info("departure-not-kept", "server", id, "cause", err.Error())
		return code.NotRunf(code.PlatformUnavailable, "the departure of %s cannot be kept", id)
	}
	return nil
}
