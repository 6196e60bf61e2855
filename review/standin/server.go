package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID       = "X-Marigoldwinch-Request-Id"
	headerDeadline = "X-Marigoldwinch-Deadline-Ms"
	headerExpect   = "X-Marigoldwinch-Expected-Instance"
	headerNotRun   = "X-Marigoldwinch-Not-Executed"
	headerStamp    = "X-Marigoldwinch-Response-Stamp"
	headerLoad     = "X-Marigoldwinch-Server-Load"
	headerInstance = "X-Marigoldwinch-Instance-Id"
)

const slots = 12

// run is a request that a server began to work on.
type run struct {
	at     time.Time
	id     string
	target string // as on the wire
	server string
	ended  time.Duration // after at; 0 while it runs
	cut    bool
}

// server is a stand-in for an application server beside a daemon.
type server struct {
	rec     *recorder
	id      string
	service string
	zone    string
	address string
	control string // where it checks in
	work    func(r *http.Request) time.Duration

	born     time.Time
	sequence atomic.Uint64
	leaving  atomic.Bool
	running  atomic.Int64
	beats    chan struct{} // closed to end the check-ins

	mu   sync.Mutex
	runs []*run
}

func (s *server) start(l net.Listener) {
	s.born = time.Now()
	s.beats = make(chan struct{})
	go func() { _ = http.Serve(l, s) }()
	go s.beatLoop()
}

func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]run, 0, len(s.runs))
	for _, r := range s.runs {
		all = append(all, *r)
	}
	return all
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d,100", s.running.Load(), slots))
	if r.URL.Path == "/healthz" {
		w.Header().Set(headerInstance, s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerID)
	if id != "" {
		w.Header().Set(headerID, id)
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != s.id {
		w.Header().Set(headerInstance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || s.running.Load() >= slots {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.serve(w, r, id)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, id string) {
	s.running.Add(1)
	defer s.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	began := &run{at: time.Now(), id: id, target: r.RequestURI, server: s.id}
	s.mu.Lock()
	s.runs = append(s.runs, began)
	s.mu.Unlock()
	s.rec.add("server %s runs request %s: %s %s, deadline %s ms", s.id, id, r.Method, r.RequestURI, r.Header.Get(headerDeadline))
	timer := time.NewTimer(s.work(r))
	defer timer.Stop()
	cut := false
	select {
	case <-timer.C:
	case <-r.Context().Done():
		cut = true
	}
	s.mu.Lock()
	began.ended, began.cut = time.Since(began.at), cut
	s.mu.Unlock()
	if cut {
		s.rec.add("server %s: request %s was cut off after %d ms", s.id, id, began.ended.Milliseconds())
		return
	}
	body := "done " + id + " by " + s.id + "\n"
	w.Header().Set(headerStamp, s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

const heartbeat = 1500 * time.Millisecond

func (s *server) beatLoop() {
	for {
		s.beat(s.sequence.Add(1), "ready")
		select {
		case <-s.beats:
			return
		case <-time.After(heartbeat):
		}
	}
}

// beat sends one check-in and reports whether it was acknowledged.
func (s *server) beat(sequence uint64, state string) bool {
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slots, "state": state,
		"cold_remaining": "0ms", "sequence": sequence, "born": s.born.UnixMilli(),
	})
	return s.call("/api/Instances.Heartbeat/"+s.id, body)
}

// leave tells the daemon that the server leaves, and ends the check-ins.
func (s *server) leave() (acknowledged bool) {
	close(s.beats)
	s.leaving.Store(true)
	acknowledged = s.call("/api/Instances.Leave/"+s.id, nil)
	s.rec.add("server %s said that it leaves: acknowledged=%v", s.id, acknowledged)
	return acknowledged
}

func (s *server) call(path string, body []byte) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+s.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode/100 == 2
}
