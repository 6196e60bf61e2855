package dgram

import (
	"sync"
	"time"
)

// bucket is a token bucket that starts full.
type bucket struct {
	mu     sync.Mutex
	used   float64 // tokens missing until the bucket is full
	latest time.Time
}

// take takes a token. It reports false if there is none at this rate per second.
func (b *bucket) take(now time.Time, rate float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-now.Sub(b.latest).Seconds()*rate)
	b.latest = now
	if b.used+1 > rate*burst.Seconds() {
		return false
	}
	b.used++
	return true
}
