package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, with the seconds since the start.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{start: time.Now(), file: file}, err
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
