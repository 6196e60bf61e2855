package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueLength  = 4096 // lines that wait for a slow log reader
	flushTimeout = time.Second
)

// Writer writes lines to another writer in its own goroutine, so that a slow or stalled log reader never blocks the goroutine
// that logs. When the queue is full, lines are dropped and counted, and a later line logs the count.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Uint64
	closed    atomic.Bool
}

// NewWriter returns a Writer that writes to out. Close ends its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.closed.Load() {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = w.out.Write(line) // the log itself failed, so that the error cannot be logged
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "time=%s level=WARN event=log-lines-lost count=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
		}
	}
}

// Close waits up to flushTimeout for the queued lines to be written.
func (w *Writer) Close() {
	w.closeOnce.Do(func() {
		w.closed.Store(true)
		timer := time.NewTimer(flushTimeout)
		defer timer.Stop()
		select {
		case w.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-w.done:
		case <-timer.C:
		}
	})
}
