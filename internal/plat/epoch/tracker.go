package epoch

import "sync/atomic"

// Tracker holds the newest era of a store that any answer has told. Its zero value knows none.
type Tracker struct {
	newest atomic.Uint64
}

// Observe records the era that an answer has told.
func (t *Tracker) Observe(era uint64) {
	for {
		known := t.newest.Load()
		if era <= known || t.newest.CompareAndSwap(known, era) {
			return
		}
	}
}

// Newest returns the newest era, or 0 while none is known.
func (t *Tracker) Newest() uint64 {
	return t.newest.Load()
}
