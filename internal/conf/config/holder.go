package config

import (
	"sync"
	"sync/atomic"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Holder publishes the configuration in force. Its zero value has no configuration.
type Holder struct {
	current atomic.Pointer[Config]

	mu          sync.Mutex // serializes Set and guards subscribers
	subscribers []func(*Config)
}

// Get returns the configuration in force, or nil before the first Set.
func (h *Holder) Get() *Config {
	return h.current.Load()
}

// InForce returns the configuration in force, or an error with code NoConfiguration before the first Set.
func (h *Holder) InForce() (*Config, error) {
	if c := h.Get(); c != nil {
		return c, nil
	}
	return nil, code.NotRunf(code.NoConfiguration, "no configuration is known yet")
}

// Revision returns the revision in force, or 0 before the first Set.
func (h *Holder) Revision() uint64 {
	if c := h.Get(); c != nil {
		return c.Revision
	}
	return 0
}

// Serial returns the serial in force, or 0 before the first Set.
func (h *Holder) Serial() uint64 {
	if c := h.Get(); c != nil {
		return c.Serial
	}
	return 0
}

// Set puts next in force and notifies the subscribers in the order of their subscription. It refuses a revision that is not
// higher than the current one, so that a daemon never returns to an earlier configuration. Neither does it with a higher revision whose
// serial is lower: a platform that has come back from a copy shows what its operators have replaced since. Of such a configuration only
// the orders take effect.
func (h *Holder) Set(next *Config) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && next.Revision <= current.Revision {
		return code.NotRunf(code.StaleRevision, "revision %d is not above %d", next.Revision, current.Revision)
	}
	if current := h.current.Load(); current != nil && next.IsReplacedBy(current) {
		next = current.withOrdersOf(next)
	}
	h.current.Store(next)
	for _, notify := range h.subscribers {
		notify(next)
	}
	return nil
}

// Subscribe calls notify for each later configuration, and immediately if one is in force. notify must not block and must
// not call Set or Subscribe of the holder.
func (h *Holder) Subscribe(notify func(*Config)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, notify)
	if current := h.current.Load(); current != nil {
		notify(current)
	}
}
