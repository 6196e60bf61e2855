package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder keeps what was sent, run and answered.
type Recorder struct {
	mu      sync.Mutex
	began   time.Time
	lines   []string
	Sent    map[string]*Sent
	Runs    []*Run
	Answers map[string]*Given // by stamp
	Ends    map[string]*End   // by request id
}

// Sent is a request as a client sent it.
type Sent struct {
	ID, Method, Path, Kind, Caller string
	Body                           uint64
	At                             time.Duration
}

// Run is a request that a server began to work on.
type Run struct {
	ID, Method, Path, Server, Service, Caller, Remote string
	Body                                              uint64
	BodyRead                                          bool
	Faulty                                            bool // the server did not answer soundly
	At                                                time.Duration
}

// Given is an answer of a server.
type Given struct {
	ID, Server string
	Status     int
	Body       uint64
	Whole      bool
	Len        int
}

// End is how a request ended for its client.
type End struct {
	Status int // 0: the connection ended without an answer
	Stamp  string
	Body   uint64
	Note   string
	At     time.Duration
	Quit   bool // the client left by itself
	Len    int
	Text   string
}

// NewRecorder returns an empty record.
func NewRecorder() *Recorder {
	return &Recorder{began: time.Now(), Sent: map[string]*Sent{}, Answers: map[string]*Given{}, Ends: map[string]*End{}}
}

// Now is the time since the start.
func (r *Recorder) Now() time.Duration { return time.Since(r.began) }

// Note adds a line to the record.
func (r *Recorder) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f s  %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)))
}

// Save writes the record.
func (r *Recorder) Save(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = os.WriteFile(path, []byte(joinLines(r.lines)+"\n"), 0o644)
}

func hash(b []byte) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range b {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}
