package daemon_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

const maxPollsPerSecond = 2 // of the health and load endpoints together; section 7 of the design

// Guards against probes of the gate and polls of the server that exceed their budgets, and against either growing with the
// number of routers.
func TestMeasuringStaysWithinBudget(t *testing.T) {
	for _, routers := range []int{2, 6, 14} {
		t.Run(strconv.Itoa(routers), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { measure(t, routers) })
		})
	}
}

func measure(t *testing.T, routers int) {
	var polls atomic.Int64
	l := layout{folder: folder, services: []string{"stock"}, perService: 1}
	l.wrap = func(_ *system, n *node, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.service == "stock" && (r.URL.Path == "/health" || r.URL.Path == "/load") {
				polls.Add(1)
			}
			next.ServeHTTP(w, r)
		})
	}
	s := l.start(t)
	for i := range routers {
		s.addNode("orders", i%3)
	}
	s.Eventually(s.allReady).WithTimeout(time.Minute).Should(BeTrue())
	time.Sleep(10 * time.Second) // until the probe intervals have lengthened
	plan := s.plan(100, 15*time.Second, s.nodes[0])
	plan.Kinds = []load.Kind{{Name: "lookup", Weight: 1, Method: http.MethodGet, Service: "stock", Path: "/"}}
	done := s.load(plan)
	time.Sleep(5 * time.Second)
	first, firstReceived := s.probes()
	polled, last := polls.Load(), first
	for range 10 {
		time.Sleep(time.Second)
		now, _ := s.probes()
		s.Expect(now-last).To(BeNumerically("<=", config.DefaultProbes), "probes answered in a second")
		last = now
	}
	_, lastReceived := s.probes()
	s.Expect(last).To(BeNumerically(">", first), "the routers probe")
	s.Expect(lastReceived-firstReceived).To(BeNumerically("<=", 10*config.DefaultProbes), "probes sent in 10 s")
	s.Expect(polls.Load()-polled).To(BeNumerically("<=", 10*maxPollsPerSecond+1), "polls in 10 s")
	s.Expect(polls.Load()-polled).To(BeNumerically(">", 10), "the server is polled")
	s.expectTruthfulOutcomes(<-done)
}

// probes returns how many probes the first daemon has answered, and how many it has received.
func (s *system) probes() (answered, received int) {
	state := struct {
		Probes struct{ Answered, Refused int }
	}{}
	s.Expect(s.dump(s.nodes[0], "admission", &state)).To(Succeed())
	return state.Probes.Answered, state.Probes.Answered + state.Probes.Refused
}
