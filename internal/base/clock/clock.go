// Package clock waits and repeats work until a context ends.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it passed before ctx ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls do once per period until ctx ends. A call that lasts longer than the period delays the next one.
func Every(ctx context.Context, period time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			do(now)
		}
	}
}
