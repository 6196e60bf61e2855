package sample

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// RequestHeader identifies a request, so that repeated runs of it can be counted. The response has the same value.
const RequestHeader = "Sample-Request"

const (
	defaultResponseSize = 512     // of a response, in bytes
	maxResponseSize     = 1 << 24 // of a response that a caller may request, in bytes
)

// Handler returns the HTTP interface: /health, /load, /sample/faults, /sample/counts and /sample/runs. /chain/SERVICE/...
// forwards the request to another service through the daemon. Every other path runs a request and responds with N bytes
// for ?size=N, by default 512.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("PUT /sample/faults", s.setFaults)
	mux.HandleFunc("GET /sample/counts", s.showCounts)
	mux.HandleFunc("GET /sample/runs", s.showRuns)
	mux.HandleFunc("/chain/", s.chain)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.faults.Load().Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, "draining")
		return
	}
	fmt.Fprintln(w, "ok")
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	inFlight := s.inFlight.Load()
	if s.faults.Load().Misreport {
		inFlight = 0
	}
	writeJSON(w, map[string]int64{"in-flight": inFlight, "slots": int64(s.Slots)})
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	body := struct {
		SlowFactor float64 `json:"slow-factor"`
		FailFast   bool    `json:"fail-fast"`
		Shed       bool    `json:"shed"`
		Draining   bool    `json:"draining"`
		Misreport  bool    `json:"misreport"`
		Truncate   bool    `json:"truncate"`
		Cold       string  `json:"cold"`
	}{}
	if err := json.NewDecoder(io.LimitReader(r.Body, defaultResponseSize)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	cold, err := time.ParseDuration(body.Cold)
	if body.Cold != "" && err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(Faults{
		SlowFactor: body.SlowFactor, FailFast: body.FailFast, Shed: body.Shed, Draining: body.Draining,
		Misreport: body.Misreport, Truncate: body.Truncate, ColdPeriod: cold,
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) showCounts(w http.ResponseWriter, _ *http.Request) {
	counts := s.Counts()
	writeJSON(w, map[string]any{
		"total": counts.Total, "in-flight": counts.InFlight, "highest": counts.PeakInFlight,
		"overruns": counts.Overruns, "repeated": counts.Repeated,
	})
}

func (s *Server) showRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.AllRuns())
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.injectFailure(w) {
		return
	}
	inFlight := s.startRequest()
	defer s.inFlight.Add(-1)
	if s.isCold() && inFlight > coldCapacity {
		s.overruns.Add(1)
		http.Error(w, "cold server is overloaded", http.StatusInternalServerError)
		return
	}
	digest := xxhash.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		return
	}
	if !s.run(r) {
		return
	}
	w.Header().Set("Sample-Body-Bytes", strconv.FormatInt(size, 10))
	w.Header().Set("Sample-Body-Hash", strconv.FormatUint(digest.Sum64(), 16))
	s.respond(w, r)
}

func (s *Server) injectFailure(w http.ResponseWriter) bool {
	faults := s.faults.Load()
	if faults.Shed {
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
		return true
	}
	if faults.FailFast {
		http.Error(w, "failing", http.StatusInternalServerError)
		return true
	}
	return false
}

// run occupies a slot for a random service time. It returns false if the caller disconnects first.
func (s *Server) run(r *http.Request) bool {
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-s.slots }()
	s.total.Add(1)
	s.countRun(r.Header.Get(RequestHeader))
	timer := time.NewTimer(s.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) countRun(id string) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if s.runsFile == nil {
		return
	}
	if _, err := s.runsFile.WriteString(id + "\n"); err != nil {
		s.Log.Error(err, "run-not-recorded", "name", s.Name, "request", id)
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request) {
	size := defaultResponseSize
	if text := r.URL.Query().Get("size"); text != "" {
		requested, err := strconv.Atoi(text)
		if err != nil || requested < 0 || requested > maxResponseSize {
			http.Error(w, "bad size", http.StatusBadRequest)
			return
		}
		size = requested
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Sample-Server", s.Name)
	w.Header().Set(RequestHeader, r.Header.Get(RequestHeader))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if s.faults.Load().Truncate {
		size /= 2
	}
	line := s.Name + " " + r.Method + " " + r.URL.Path + "\n"
	body := strings.Repeat(line, size/len(line)+1)[:size]
	_, _ = io.WriteString(w, body) // fails only if the caller has disconnected
}

// chain calls the service in the rest of the path through the daemon and returns the response, like a server that depends on
// another service.
func (s *Server) chain(w http.ResponseWriter, r *http.Request) {
	target := s.Daemon + "/" + strings.TrimPrefix(r.URL.RequestURI(), "/chain/")
	request, err := http.NewRequestWithContext(r.Context(), r.Method, target, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, name := range []string{ident.ContextHeader, "Request-Timeout", RequestHeader} {
		if value := r.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body) // fails only if the caller has disconnected
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller has disconnected
}
