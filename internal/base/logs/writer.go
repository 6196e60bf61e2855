package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueLength  = 4096 // lines that wait for a slow reader of the log
	flushTimeout = time.Second
)

// Writer passes lines on in its own goroutine, so that a reader that is slow or gone never blocks the one who logs. Lines
// that find the queue full are counted, and a line tells how many were lost.
type Writer struct {
	out       io.Writer
	lines     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Uint64
	closed    atomic.Bool
}

// NewWriter returns a writer whose lines go to another one.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
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
		_, _ = w.out.Write(line) // there is nowhere to report it
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(w.out, "time=%s level=WARN event=log-lines-lost count=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
		}
	}
}

// Close waits shortly for the lines that are queued.
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
