package daemon_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"path"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/memnet"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

const leaveBound = 3 * time.Second // invariants 3 and 7 of the design

// Guards against new work for a leaving server, for each way to make it leave, and against requests that are cut by it.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	ways := map[string]struct{ leave, back func(*system, *node) }{
		"configuration": {
			func(s *system, n *node) { s.setServer(n, config.ServerLeaving) },
			func(s *system, n *node) { s.setServer(n, config.ServerIn) },
		},
		"own-drain": {
			func(_ *system, n *node) { n.server.SetFaults(sample.Faults{Draining: true}) },
			func(_ *system, n *node) { n.server.SetFaults(sample.Faults{}) },
		},
		"administration": {
			func(s *system, n *node) { s.postAdmin(n, "/leave") },
			func(s *system, n *node) { s.postAdmin(n, "/return") },
		},
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, 3, "stock", "orders")
				time.Sleep(10 * time.Second)
				done := s.load(s.plan(300, 15*time.Second)) // high enough that one refused request stays within the tolerated share
				time.Sleep(3 * time.Second)
				lookups, orders := s.nodes[0], s.nodes[3]
				way.leave(s, lookups)
				way.leave(s, orders)
				time.Sleep(leaveBound)
				before := lookups.server.Counts().Total + orders.server.Counts().Total
				time.Sleep(3 * time.Second)
				s.Expect(lookups.server.Counts().Total+orders.server.Counts().Total).To(Equal(before), "new work after 3 s")
				way.back(s, lookups)
				way.back(s, orders)
				result := <-done
				s.Expect(lookups.server.Counts().Total+orders.server.Counts().Total).To(BeNumerically(">", before), "no work after the return")
				s.expectNoneCut(result, 0.999)
			})
		})
	}
}

func (s *system) setServer(n *node, state config.ServerState) {
	_, err := s.writer("anna").Server(s.t.Context(), n.settings.Daemons, state, change.Options{})
	s.Expect(err).NotTo(HaveOccurred())
}

func (s *system) postAdmin(n *node, path string) {
	response, err := s.client(n.host).Post("http://"+n.settings.Admin.String()+path, "", nil)
	s.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	s.Expect(response.StatusCode).To(BeNumerically("<", 300))
}

// expectNoneCut checks that no request was cut, and that at least the share was answered. A refused request was not run and does
// not count as cut.
func (s *system) expectNoneCut(result *load.Result, share float64) {
	s.t.Helper()
	s.expectTruthfulOutcomes(result)
	for i := range result.Rows {
		row := &result.Rows[i]
		s.Expect(row.Outcomes[load.OK]+row.Outcomes[load.NotRun]).To(Equal(row.Total()), "%s %v", row.Kind, row.Outcomes)
		s.Expect(answered(result, row.Kind)).To(BeNumerically(">=", share), "%v", row.Outcomes)
	}
}

// Guards against requests that are cut or find no server while daemons are restarted one after another under load, including the
// requests of callers of the daemon that stops.
func TestRollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := slowLayout
		l.folder += "[service photos]\n" // a service of its own, because its long requests would delay those of the others
		l.services, l.serviceTime = []string{"stock", "orders", "photos"}, 50*time.Millisecond
		l.wrap = func(_ *system, _ *node, next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/long" {
					time.Sleep(3 * time.Second) // longer than the grace period of a stop
				}
				next.ServeHTTP(w, r)
			})
		}
		s := l.start(t)
		time.Sleep(10 * time.Second)
		plan := s.plan(100, 25*time.Second)
		plan.Daemons = plan.Daemons[len(plan.Daemons)-1:]
		done := s.load(plan)
		for _, n := range s.nodes[:5] { // these include all services and two zones
			time.Sleep(time.Second)
			response := s.sendThrough(n, "/photos/long", 1)
			time.Sleep(20 * time.Millisecond)
			n.stop()
			s.Expect(<-n.stopped).To(Succeed())
			s.Expect(<-response).To(Equal(http.StatusOK), "a request in flight through the daemon that stops")
			s.startDaemon(n)
			s.Eventually(func() bool { return s.ready(n) }).WithTimeout(time.Minute).Should(BeTrue())
		}
		long := 0
		for _, n := range s.nodes {
			if n.service == "photos" {
				long += n.server.Counts().Total
			}
		}
		s.Expect(long).To(BeNumerically(">=", 5), "one long request through each daemon that stopped")
		s.expectNoneCut(<-done, 0.99) // other servers take the load of the cold one, within the retry budget
	})
}

// sendThrough sends lookups through a daemon concurrently and returns their statuses, with 0 for one that was cut.
func (s *system) sendThrough(n *node, target string, count int) <-chan int {
	statuses, client := make(chan int, count), s.client("callers")
	for range count {
		s.running.Go(func() {
			request := s.request(http.MethodGet, target, "", http.NoBody)
			request.Header.Set("Request-Timeout", "15s")
			answer := s.send(client, n, request)
			if answer.err != nil {
				answer.status = 0
			}
			statuses <- answer.status
		})
	}
	return statuses
}

// Guards against a request that a stopping daemon takes although it ends before it, and against one that it cuts without an answer.
func TestStopAnswersWhatItTakes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := sleepLayout().start(t)
		time.Sleep(10 * time.Second)
		n := s.nodes[0]
		n.settings.StopGrace, n.settings.StopTimeout = 2*time.Second, 3200*time.Millisecond
		plan := s.plan(300, 5*time.Second)
		plan.Daemons = []netip.AddrPort{n.settings.Callers}
		archive := load.Kind{Name: "archive", Weight: 1, Method: http.MethodPost, Service: "archive", Path: "/", Once: true}
		plan.Kinds = append(plan.Kinds, archive)
		<-s.load(plan)
		s.Expect(<-s.sleepThrough(n, http.MethodPost, "/archive/4s")).To(Equal(http.StatusOK)) // now this service may take as long
		steps := []struct {
			at             time.Duration // after the signal
			method, target string
			want           int
		}{
			{0, http.MethodPost, "/stock/7s", http.StatusBadGateway}, // in flight before the signal
			{500 * time.Millisecond, http.MethodPost, "/archive/4s", http.StatusOK},
			{1900 * time.Millisecond, http.MethodPost, "/archive/4s", http.StatusServiceUnavailable}, // not run
			{1900 * time.Millisecond, http.MethodPost, "/orders/20ms", http.StatusOK},
			{1950 * time.Millisecond, http.MethodPost, "/orders/7s", http.StatusGatewayTimeout}, // longer than any before
			{1950 * time.Millisecond, http.MethodGet, "/stock/7s", http.StatusGatewayTimeout},
		}
		statuses := make([]<-chan int, len(steps))
		began := time.Now()
		for i, step := range steps {
			time.Sleep(time.Until(began.Add(step.at)))
			statuses[i] = s.sleepThrough(n, step.method, step.target)
			if step.at == 0 {
				time.Sleep(20 * time.Millisecond)
				n.stop()
			}
		}
		s.Expect(<-n.stopped).To(HaveOccurred(), "requests outlast the stop")
		s.Expect(time.Since(began)).To(BeNumerically("<", 6*time.Second))
		s.killDaemon(n) // what runs in virtual time after the end of the process does not count
		var got, want []int
		for i, step := range steps {
			got, want = append(got, <-statuses[i]), append(want, step.want)
		}
		s.Expect(got).To(Equal(want), "0: no answer")
	})
}

// Guards against a planned stop that breaks off orders although the platform leaves it time to answer them, and against one that exceeds
// that time.
func TestStopUsesTheTimeThatItHas(t *testing.T) {
	for killAfter, lastOrder := range map[time.Duration]string{6 * time.Second: "3900ms", 10 * time.Second: "7200ms"} {
		t.Run(killAfter.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := sleepLayout().start(t)
				n := s.nodes[0]
				n.settings.StopGrace, n.settings.KillAfter = 2*time.Second, killAfter
				time.Sleep(10 * time.Second)
				plan := s.plan(300, 5*time.Second)
				plan.Daemons = []netip.AddrPort{n.settings.Callers}
				<-s.load(plan)
				began := time.Now()
				inTime, late := s.sleepThrough(n, http.MethodPost, "/orders/4s"), s.sendThrough(n, "/stock/20s", 1)
				time.Sleep(20 * time.Millisecond)
				n.stop()
				time.Sleep(time.Second)
				last := s.sleepThrough(n, http.MethodPost, "/orders/"+lastOrder) // ends right before the last sixth of the time
				s.Expect(<-inTime).To(Equal(http.StatusOK))
				s.Expect(<-last).To(Equal(http.StatusOK))
				s.Expect(<-late).To(Equal(http.StatusBadGateway), "a response to what can't be answered in time")
				s.Expect(<-n.stopped).To(HaveOccurred(), "one request outlasts the stop")
				s.Expect(time.Since(began)).To(BeNumerically("<", killAfter))
			})
		})
	}
}

// Guards against a request that fails because its server, which was allowed to finish it, can no longer make calls, and against callers'
// requests that are taken so late that they may be cut.
func TestRunsCanMakeCallsUntilTheirDaemonStops(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := &chainHandler{hops: map[int]hop{}}
		l := chainLayout(c)
		l.wrap = func(s *system, n *node, next http.Handler) http.Handler { return sleepFirst(c.wrap(s, n, next)) }
		s := l.start(t)
		n, other := s.nodes[0], s.nodes[3] // the servers of s0
		n.settings.StopGrace, n.settings.StopTimeout = 2*time.Second, 3200*time.Millisecond
		s.setServer(other, config.ServerLeaving)
		time.Sleep(10 * time.Second)
		n.stop()
		time.Sleep(900 * time.Millisecond)
		status := s.sleepThrough(s.nodes[1], http.MethodGet, fmt.Sprintf("/s0/down/%d/1500ms", chainDepth-1))
		time.Sleep(2 * time.Second)
		s.Expect(<-s.sleepThrough(n, http.MethodGet, "/s1/")).To(Equal(http.StatusServiceUnavailable), "a caller with a long deadline")
		request := s.request(http.MethodGet, "/s1/", "", http.NoBody)
		request.Header.Set("Request-Timeout", "1s")
		s.Expect(s.send(s.client("callers"), n, request).status).To(Equal(http.StatusOK), "one that is sure to be answered")
		s.Expect(<-status).To(Equal(http.StatusOK), "a run with a call 0.4 s after the grace")
		idle := time.Now()
		s.Expect(<-n.stopped).To(Succeed())
		s.Expect(time.Since(idle)).To(BeNumerically("<", time.Second))
	})
}

// sleepLayout has servers that take the time named by the last segment of the path.
func sleepLayout() layout {
	l := slowLayout
	l.folder = "[service stock]\n[service orders]\nclass = write\n[service archive]\nclass = write\n"
	l.services, l.perService = []string{"stock", "orders", "archive"}, 2
	l.wrap = func(_ *system, _ *node, next http.Handler) http.Handler { return sleepFirst(next) }
	return l
}

func sleepFirst(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d, err := time.ParseDuration(path.Base(r.URL.Path)); err == nil {
			time.Sleep(d)
		}
		next.ServeHTTP(w, r)
	})
}

// sleepThrough sends a request through a daemon concurrently and returns its status, or 0 when it got no answer.
func (s *system) sleepThrough(n *node, method, target string) <-chan int {
	status, client := make(chan int, 1), s.client("callers")
	s.running.Go(func() {
		request := s.request(method, target, "", http.NoBody)
		request.Header.Set("Request-Timeout", "8s")
		status <- s.send(client, n, request).status
	})
	return status
}

// Guards against a planned stop that exceeds its time limit, and would be killed, because the platform does not answer.
func TestStopWithoutPlatformEndsInTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 2, "stock")
		time.Sleep(10 * time.Second)
		s.platform.Faults.Inject(fake.Slow{Delay: time.Minute})
		n := s.nodes[0]
		began := time.Now()
		n.stop()
		s.Expect(<-n.stopped).To(Succeed())
		const margin = time.Second // for the tasks that stop after the drain
		s.Expect(time.Since(began)).To(BeNumerically("<", n.settings.StopGrace+margin))
		s.platform.Faults.Clear()
	})
}

// Guards against a planned stop that waits for a client of the administration API until the platform kills the process.
func TestStopEndsBeforeTheKill(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 2, "stock")
		n := s.nodes[0]
		n.settings.StopGrace, n.settings.KillAfter = 2*time.Second, 6*time.Second
		time.Sleep(10 * time.Second)
		began := time.Now()
		n.stop()
		time.Sleep(n.settings.StopGrace)
		idle, err := s.fabric.Process(n.host).Dial(t.Context(), n.settings.Admin) // sends no request
		s.Expect(err).NotTo(HaveOccurred())
		defer idle.Close()
		s.Expect(<-n.stopped).To(Succeed())
		s.Expect(time.Since(began)).To(BeNumerically("<", n.settings.KillAfter))
	})
}

// Guards against a rolling restart that takes servers out of work long before their daemons stop.
func TestServerOfStoppingDaemonKeepsServing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 3, "stock", "orders")
		time.Sleep(10 * time.Second)
		n := s.nodes[0]
		n.settings.StopGrace = 3 * time.Second
		done := s.load(s.plan(300, 8*time.Second, n))
		time.Sleep(2 * time.Second)
		n.stop()
		time.Sleep(time.Second)
		before := n.server.Counts().Total
		time.Sleep(700 * time.Millisecond)
		s.Expect(n.server.Counts().Total).To(BeNumerically(">", before), "work before the announcement of the stop")
		s.Expect(<-n.stopped).To(Succeed())
		s.expectNoneCut(<-done, 0.999)
	})
}

// Guards against runs that a stopping daemon gives up because acks and replies to resolves are late on a slow network.
func TestSlowNetworkCutsNoRunOfAStoppingDaemon(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const delay = 700 * time.Millisecond
		var slow atomic.Bool
		l := sleepLayout()
		l.latency = func(from, to string) time.Duration {
			if slow.Load() && betweenDaemons(from, to) {
				return delay
			}
			return time.Millisecond
		}
		s := l.start(t)
		time.Sleep(10 * time.Second)
		n := s.nodes[0]
		n.settings.StopGrace, n.settings.KillAfter = 2*time.Second, 6*time.Second
		send := func() (answers []<-chan int) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				answers = append(answers, s.sleepThrough(n, method, "/orders/300ms"), s.sleepThrough(n, method, "/stock/2s"))
			}
			return answers
		}
		for range 8 { // opens connections to all servers
			for _, status := range append(send(), send()...) {
				s.Expect(<-status).To(Equal(http.StatusOK))
			}
		}
		slow.Store(true)
		s.fabric.EachPath(betweenDaemons, func(p *memnet.Path) { p.Delay(delay) })
		answers := send()
		n.stop()
		for _, status := range answers {
			s.Expect(<-status).To(Equal(http.StatusOK))
		}
		s.Expect(<-n.stopped).To(Succeed())
	})
}
