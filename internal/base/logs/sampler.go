package logs

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

const (
	// abnormalRate is the number of lines per second about failed, refused or late requests above which only a sample of the
	// requests is logged.
	abnormalRate = 50
	// maxAbnormal limits the lines of one second regardless of how many requests the sampling selects.
	maxAbnormal = 2 * abnormalRate
	// maxNormal limits the lines per second about normal requests, which are logged for comparison.
	maxNormal = 2
	maxLevel  = 16 // at most: one request in 65,536
)

// Sampler logs lines about single requests at a limited rate. Under load, only one in 2^level requests is logged. It is selected by
// a hash of the request id, so that all daemons select the same requests and the lines of a logged request are complete. The number
// of omitted lines is logged once a second.
type Sampler struct {
	Log logr.Logger

	mu       sync.Mutex
	window   time.Time // start of the current one-second window
	abnormal int       // abnormal lines in the window, logged or not
	logged   int       // abnormal lines logged in the window
	normal   int       // normal lines logged in the window
	level    int       // one in 2^level requests is logged
}

// Abnormal logs an event that explains a failure, a refusal or a delay of the request.
func (s *Sampler) Abnormal(event, request string, pairs ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.abnormal++
	if s.logged >= maxAbnormal || !sampled(request, s.level) {
		return
	}
	s.logged++
	s.Log.Info(event, append([]any{"request", request}, pairs...)...)
}

// Normal logs an event of a normal request, at most maxNormal times per second.
func (s *Sampler) Normal(event, request string, pairs ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if s.normal >= maxNormal {
		return
	}
	s.normal++
	s.Log.Info(event, append([]any{"request", request}, pairs...)...)
}

// advance starts a new window when the current one is over: it logs how many lines were omitted and sets the sampling level from
// the number of abnormal lines. If the window started two seconds ago or earlier, no event came for at least a second and the level
// becomes 0.
func (s *Sampler) advance() {
	now := time.Now()
	if now.Sub(s.window) < time.Second {
		return
	}
	if skipped := s.abnormal - s.logged; skipped > 0 {
		s.Log.Info("decisions-not-logged", "count", skipped, "followed-one-in", 1<<s.level)
	}
	level := 0
	for level < maxLevel && s.abnormal>>level > abnormalRate && now.Sub(s.window) < 2*time.Second {
		level++
	}
	s.window, s.abnormal, s.logged, s.normal, s.level = now, 0, 0, 0, level
}

// sampled reports whether the request is one of those logged, one in 2^level. The id of a nested call starts with the id of the
// original request and a dot; the two are selected together.
func sampled(request string, level int) bool {
	root, _, _ := strings.Cut(request, ".")
	return xxhash.Sum64String(root)&(1<<level-1) == 0
}
