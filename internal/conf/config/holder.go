package config

import (
	"sync"
	"sync/atomic"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Holder publishes the configuration in force. Its zero value holds none.
type Holder struct {
	current atomic.Pointer[Config]

	mu          sync.Mutex // serializes Set and guards subscribers
	subscribers []func(*Config)
}

// Get returns the configuration in force, or nil before the first one.
func (h *Holder) Get() *Config {
	return h.current.Load()
}

// Revision returns the revision in force, or 0 before the first one.
func (h *Holder) Revision() uint64 {
	if c := h.Get(); c != nil {
		return c.Revision
	}
	return 0
}

// Set puts next in force and tells the subscribers in order. A revision that is not higher is refused, so that a daemon
// never goes back.
func (h *Holder) Set(next *Config) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && next.Revision <= current.Revision {
		return code.NotRunf(code.StaleRevision, "revision %d is not above %d", next.Revision, current.Revision)
	}
	h.current.Store(next)
	for _, notify := range h.subscribers {
		notify(next)
	}
	return nil
}

// Subscribe calls notify for each later configuration, and at once when one is in force. notify must not block or call
// the holder's Set or Subscribe.
func (h *Holder) Subscribe(notify func(*Config)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, notify)
	if current := h.current.Load(); current != nil {
		notify(current)
	}
}
