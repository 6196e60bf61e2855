package proto

import (
	"sync"
	"time"
)

// clockDrift bounds how much the clocks of two hosts differ in rate. The smallest transit time grows by it, so that the
// excess on a connection that is open for days is not the drift of the clocks.
const clockDrift = 200e-6

// transit tracks the smallest difference between the receiver's and the sender's time on a connection. The difference
// holds the unknown offset of the two clocks, so only its excess above the smallest one has a meaning.
type transit struct {
	mu    sync.Mutex
	known bool
	least time.Duration
	at    time.Duration // receiver's time of least
}

// ExcessTransit notes that a message sent at the sender's monotonic time sent arrived at the receiver's monotonic time received.
// It returns how much longer it was in transit than the fastest one on the connection.
func (p *Peer) ExcessTransit(sent, received time.Duration) time.Duration {
	t := &p.transit
	t.mu.Lock()
	defer t.mu.Unlock()
	difference := received - sent
	bound := t.least + time.Duration(clockDrift*float64(received-t.at))
	if !t.known || difference <= bound {
		t.known = true
		t.least = difference
		t.at = received
		return 0
	}
	return difference - bound
}
