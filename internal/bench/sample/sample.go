// Package sample is a stand-in for a server beside a daemon: it has slots, starts cold, sheds load, drains, slows down and
// reports its load, so that tests and the local system have something to balance.
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
	coldFactor        = 8 // a cold server's own time against a warm one's
	coldCapacity      = 2 // a cold server runs this many requests; above it fails
)

// Server is a stand-in server. Set the exported fields before Run.
type Server struct {
	Name        string
	Listener    net.Listener
	Daemon      string        // base URL of the daemon that nested calls go through; empty for none
	Slots       int           // requests that run at once; more wait
	ServiceTime time.Duration // mean of the own time of a request, exponentially distributed
	ColdPeriod  time.Duration // cold for this long after the start
	RunsFile    string        // file that keeps the runs when the process is killed; empty for none
	Log         logr.Logger

	slots        chan struct{}
	coldUntil    atomic.Int64 // Unix nanoseconds
	faults       atomic.Pointer[Faults]
	inFlight     atomic.Int64
	peakInFlight atomic.Int64 // most requests in flight at once so far
	overruns     atomic.Int64 // requests that failed because the server was cold and overloaded
	total        atomic.Int64

	mu       sync.Mutex     // guards runs
	runs     map[string]int // runs by Sample-Request header
	runsFile *os.File       // nil without Record
}

// Faults are the switchable faults of a stand-in server. The zero value is a healthy server.
type Faults struct {
	SlowFactor float64       // own time is multiplied by it; 0 means 1
	FailFast   bool          // answer 500 at once
	Shed       bool          // answer 503 at once, before running
	Draining   bool          // the health endpoint says so
	Misreport  bool          // the load endpoint claims an idle server
	Truncate   bool          // announce a longer body than is sent
	ColdPeriod time.Duration // turn cold for this long from now
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

// restoreRuns counts the runs that an earlier process has recorded, and opens the file for those of this one.
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

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.Store(&faults)
	if faults.ColdPeriod > 0 {
		s.coldUntil.Store(time.Now().Add(faults.ColdPeriod).UnixNano())
	}
	s.Log.Info("faults-set", "name", s.Name, "slow-factor", faults.SlowFactor, "fail-fast", faults.FailFast,
		"shed", faults.Shed, "draining", faults.Draining, "misreport", faults.Misreport, "truncate", faults.Truncate,
		"cold", faults.ColdPeriod)
}

// Counts are what a stand-in server has seen.
type Counts struct {
	Total        int
	InFlight     int
	PeakInFlight int            // most requests in flight at once
	Overruns     int            // requests refused by a cold server above its capacity
	Repeated     map[string]int // runs of requests that ran more than once, by Sample-Request header
}

// Counts returns what the server has seen so far.
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

// Runs returns how often the request with this Sample-Request header ran.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// AllRuns returns how often the server ran each request, by Sample-Request header.
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
