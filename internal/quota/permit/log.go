package permit

import (
	"sync"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/quota/bucket"
	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
)

// Limits of the lines about organisations, of which there may be thousands.
const (
	maxLines  = 5 // per second
	lineBurst = 20
)

// lines limits log lines.
type lines struct {
	mu      sync.Mutex
	bucket  bucket.Bucket
	started bool
	omitted int  // since the latest line
	partial bool // this daemon grants only a part of the caps
}

// log logs an event of an organisation, unless there are too many.
func (a *Agent) log(event, organisation string, pairs ...any) {
	l := &a.lines
	now := time.Now()
	l.mu.Lock()
	if !l.started {
		l.started = true
		l.bucket.Set(now, maxLines, lineBurst)
		l.bucket.Fill(now, lineBurst)
	}
	if l.bucket.Take(now, 1) == 0 {
		l.omitted++
		l.mu.Unlock()
		return
	}
	omitted := l.omitted
	l.omitted = 0
	l.mu.Unlock()
	a.Log.Info(event, append([]any{"organisation", organisation, "omitted", omitted}, pairs...)...)
}

// logShare logs that this daemon begins or ceases to grant the whole caps.
func (a *Agent) logShare(share float64, members int) {
	partial := owner.Part(share) < 1
	a.lines.mu.Lock()
	changed := a.lines.partial != partial
	a.lines.partial = partial
	a.lines.mu.Unlock()
	if changed {
		a.Log.Info("caps-share-changed", "share", share, "members", members, "granted", owner.Part(share))
	}
}
