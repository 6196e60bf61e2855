package daemon_test

import (
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
)

// outcomes records the outcomes that were reported to callers, by Sample-Request header.
type outcomes struct {
	mu   sync.Mutex
	byID map[string]string
}

// recordingTransport records the outcome of each request.
type recordingTransport struct {
	next     http.RoundTripper
	outcomes *outcomes
}

func (r recordingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var tries atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { tries.Add(1) }}
	response, err := r.next.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	outcome := "failed"
	switch {
	case tries.Load() > 1:
		// net/http has repeated the request on a new connection; a not-run outcome then describes only the last attempt.
		outcome = "repeated"
	case err == nil:
		outcome = response.Header.Get("Marigoldwinch-Outcome")
	}
	r.outcomes.mu.Lock()
	defer r.outcomes.mu.Unlock()
	if r.outcomes.byID == nil {
		r.outcomes.byID = map[string]string{}
	}
	r.outcomes.byID[request.Header.Get(sample.RequestHeader)] = outcome
	return response, err
}

// runs returns how many times the request was run by all servers together.
func (s *system) runs(id string) int {
	total := 0
	for _, n := range s.nodes {
		total += n.server.Runs(id)
		for _, server := range n.killed {
			total += server.Runs(id)
		}
	}
	return total
}

// expectTruthfulOutcomes checks what must hold under any fault: no request that must run once ran twice, no request that was
// reported as not run ran, and every response belonged to its request.
func (s *system) expectTruthfulOutcomes(result *load.Result) {
	s.t.Helper()
	s.Expect(result.Violations()).To(BeEmpty())
	s.outcomes.mu.Lock()
	defer s.outcomes.mu.Unlock()
	for id, outcome := range s.outcomes.byID {
		ran := s.runs(id)
		if strings.HasPrefix(id, "once-") {
			s.Expect(ran).To(BeNumerically("<=", 1), "request %s ran %d times", id, ran)
		}
		if outcome == "not-run" {
			s.Expect(ran).To(BeZero(), "request %s was reported as not run", id)
		}
	}
}
