package proto

import (
	"sync"
	"time"
)

// clockDrift is the assumed maximum difference between the clock rates of two hosts. minDifference grows at this rate, so
// that on a connection that is open for days the drift of the clocks is not taken for transit time.
const clockDrift = 200e-6

// transit tracks the smallest difference between the receiver's and the sender's time on a connection. Each difference
// includes the unknown offset between the two clocks, so only the excess over the smallest one is meaningful.
type transit struct {
	mu            sync.Mutex
	known         bool
	minDifference time.Duration
	at            time.Duration // receiver's time of least
}

// ExcessTransit records a message that was sent at the sender's monotonic time sent and arrived at the receiver's monotonic
// time received. It returns how much longer the message was in transit than the fastest one on the connection.
func (p *Peer) ExcessTransit(sent, received time.Duration) time.Duration {
	t := &p.transit
	t.mu.Lock()
	defer t.mu.Unlock()
	difference := received - sent
	bound := t.minDifference + time.Duration(clockDrift*float64(received-t.at))
	if !t.known || difference <= bound {
		t.known = true
		t.minDifference = difference
		t.at = received
		return 0
	}
	return difference - bound
}
