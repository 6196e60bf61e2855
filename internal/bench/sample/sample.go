// Package sample is a stand-in for a backend server beside a daemon, for tests and the local system. It has a limited number
// of slots, starts cold and reports its load, and can be made to shed load, drain, slow down or fail.
package sample

import (
	"bufio"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
)

// Defaults of a stand-in server.
const (
	DefaultSlots       = 12
	DefaultServiceTime = 5 * time.Millisecond
	DefaultColdPeriod  = 5 * time.Second

	readHeaderTimeout = 5 * time.Second
	stopTimeout       = 10 * time.Second
	coldFactor        = 8 // service time of a cold server relative to a warm one
	coldCapacity      = 2 // requests in flight at a cold server; it fails those above
)

// Server is a stand-in server. Set the exported fields before Run.
type Server struct {
	Name        string
	Listener    net.Listener
	Daemon      string        // base URL of the daemon for calls of /chain/; empty for none
	Slots       int           // requests that run at the same time; others wait
	ServiceTime time.Duration // mean; service times are distributed exponentially
	ColdPeriod  time.Duration // how long the server is cold after its start
	RunsFile    string        // file that records the runs, so that a restart after a kill restores them; empty for none
	Log         logr.Logger

	slots        chan struct{}
	coldUntil    atomic.Int64 // Unix nanoseconds
	faults       atomic.Pointer[Faults]
	inFlight     atomic.Int64
	peakInFlight atomic.Int64 // highest number of requests in flight so far
	overruns     atomic.Int64 // requests failed by the cold server above coldCapacity
	total        atomic.Int64

	mu       sync.Mutex     // guards runs
	runs     map[string]int // runs by Sample-Request header
	runsFile *os.File       // nil if RunsFile is empty
}

// Faults are the faults that can be injected into a stand-in server. The zero value is a healthy server.
type Faults struct {
	SlowFactor float64       // multiplies service times; 0 means 1
	FailFast   bool          // respond with status 500 at once
	Shed       bool          // respond with status 503 at once, without running the request
	Draining   bool          // report draining at the health endpoint
	Misreport  bool          // report no requests in flight at the load endpoint
	Truncate   bool          // send only half of the announced body
	ColdPeriod time.Duration // become cold for this long, from when the faults are set
}

// Run serves until ctx ends, then waits for requests in flight.
func (s *Server) Run(ctx context.Context) error {
	s.prepare()
	if err := s.restoreRuns(); err != nil {
		return errors.Wrap(err, "restore the runs")
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.Listener) }()
	s.Log.Info("server-started", "name", s.Name, "address", s.Listener.Addr().String())
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve stand-in server")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(stop), "stop stand-in server")
}

func (s *Server) prepare() {
	s.slots = make(chan struct{}, s.Slots)
	s.runs = map[string]int{}
	s.faults.Store(&Faults{})
	s.coldUntil.Store(time.Now().Add(s.ColdPeriod).UnixNano())
}

// restoreRuns reads the runs that an earlier process recorded, and keeps the file open to append those of this process.
func (s *Server) restoreRuns() error {
	if s.RunsFile == "" {
		return nil
	}
	file, err := os.OpenFile(s.RunsFile, os.O_APPEND|os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		s.runs[lines.Text()]++
	}
	s.runsFile = file
	return lines.Err()
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.Store(&faults)
	if faults.ColdPeriod > 0 {
		s.coldUntil.Store(time.Now().Add(faults.ColdPeriod).UnixNano())
	}
	s.Log.Info("faults-set", "name", s.Name, "slow-factor", faults.SlowFactor, "fail-fast", faults.FailFast,
		"shed", faults.Shed, "draining", faults.Draining, "misreport", faults.Misreport, "truncate", faults.Truncate,
		"cold", faults.ColdPeriod)
}

// Counts are the request counts of a stand-in server.
type Counts struct {
	Total        int
	InFlight     int
	PeakInFlight int            // highest number of requests in flight
	Overruns     int            // requests failed by the cold server above its capacity
	Repeated     map[string]int // number of runs of each request that ran more than once, by Sample-Request header
}

// Counts returns the counts so far.
func (s *Server) Counts() Counts {
	counts := Counts{
		Total:        int(s.total.Load()),
		InFlight:     int(s.inFlight.Load()),
		PeakInFlight: int(s.peakInFlight.Load()),
		Overruns:     int(s.overruns.Load()),
		Repeated:     map[string]int{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, runs := range s.runs {
		if runs > 1 {
			counts.Repeated[id] = runs
		}
	}
	return counts
}

// Runs returns how often the request with this Sample-Request header has run.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// AllRuns returns how often each request has run, by Sample-Request header.
func (s *Server) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

func (s *Server) isCold() bool {
	return time.Now().UnixNano() < s.coldUntil.Load()
}

func (s *Server) serviceTime() time.Duration {
	mean := float64(s.ServiceTime)
	if factor := s.faults.Load().SlowFactor; factor > 0 {
		mean *= factor
	}
	if s.isCold() {
		mean *= coldFactor
	}
	return time.Duration(mean * rand.ExpFloat64())
}

func (s *Server) startRequest() int64 {
	inFlight := s.inFlight.Add(1)
	for {
		highest := s.peakInFlight.Load()
		if inFlight <= highest || s.peakInFlight.CompareAndSwap(highest, inFlight) {
			return inFlight
		}
	}
}
