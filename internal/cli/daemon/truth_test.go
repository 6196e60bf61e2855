package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/memnet"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

// told is what a caller was told.
type told struct {
	id      string
	status  int
	outcome string // empty for a server's response
	header  http.Header
	body    []byte
	err     error // the response, or the rest of it, did not come
}

// ask sends one request through a daemon.
func (s *system) ask(client *http.Client, n *node, request *http.Request) told {
	request.URL.Scheme, request.URL.Host = "http", n.settings.Callers.String()
	ctx, cancel := context.WithTimeout(request.Context(), 20*time.Second)
	defer cancel()
	result := told{id: request.Header.Get(sample.RequestHeader)}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	result.status, result.header, result.outcome = response.StatusCode, response.Header, response.Header.Get("Marigoldwinch-Outcome")
	result.body, result.err = io.ReadAll(response.Body)
	return result
}

func (s *system) request(method, target, id string, body io.Reader) *http.Request {
	request, err := http.NewRequestWithContext(s.t.Context(), method, target, body)
	s.Expect(err).NotTo(HaveOccurred())
	request.Header.Set(sample.RequestHeader, id)
	return request
}

// Guards against a false not-run and a second run when daemons are killed and start again with a new incarnation at the same
// address.
func TestOutcomesAreTrueOverRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := slowShop
		l.own = 200 * time.Millisecond // so that a kill always meets requests in flight, some with their ack on the way
		l.latency = func(from, to string) time.Duration {
			if betweenDaemons(from, to) {
				return 50 * time.Millisecond
			}
			return 0
		}
		s := l.start(t)
		time.Sleep(10 * time.Second)
		done := s.load(s.plan(100, 15*time.Second))
		for i := range 15 {
			n := s.nodes[i*5%len(s.nodes)]
			time.Sleep(700 * time.Millisecond)
			s.killDaemon(n)
			time.Sleep(time.Duration(i%3) * 50 * time.Millisecond) // a resolve then reaches the new incarnation
			s.start(n)
		}
		result := <-done
		s.expectTruth(result)
		s.expectSeen(result, load.OK, load.UnknownOutcome)
	})
}

// Guards against a false not-run and a second run when connections are cut while heads and acks are on them, and while
// requests wait in queues that they outlive.
func TestOutcomesAreTrueOverCutsAndQueues(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := slowShop
		l.folder = strings.ReplaceAll(folder, "timeout = 1s", "timeout = 1s\nslots = 3\ncheck-reserve = 0")
		l.latency = func(string, string) time.Duration { return 5 * time.Millisecond } // so that cuts meet heads and acks
		s := l.start(t)
		time.Sleep(10 * time.Second)
		plan := s.plan(250, 10*time.Second)
		plan.Timeout = 300 * time.Millisecond
		done := s.load(plan)
		random := rand.New(rand.NewPCG(1, 1))
		for i := range 1000 {
			time.Sleep(10 * time.Millisecond)
			n := s.nodes[random.IntN(len(s.nodes))]
			s.fabric.EachPath(func(from, to string) bool { return betweenDaemons(from, to) && to == n.host }, (*memnet.Path).Cut)
			if i%100 == 0 {
				n.server.SetFaults(sample.Faults{SlowFactor: 5})
				s.after(func() { n.server.SetFaults(sample.Faults{}) })
			}
		}
		result := <-done
		s.expectTruth(result)
		s.expectSeen(result, load.OK, load.UnknownOutcome, load.NotRun)
		s.Expect(s.failures("queue-deadline") + s.failures("deadline-exceeded")).To(BeNumerically(">", 0))
	})
}

// expectSeen checks that the load met each outcome, so that the test cannot pass without the case it is about.
func (s *system) expectSeen(result *load.Result, wanted ...load.Outcome) {
	s.t.Helper()
	for _, outcome := range wanted {
		seen := 0
		for i := range result.Rows {
			seen += result.Rows[i].Outcomes[outcome]
		}
		s.Expect(seen).To(BeNumerically(">", 0), outcome.String())
	}
}

// failures counts what the admission roles refused or failed with a code.
func (s *system) failures(code string) int {
	total := 0
	for _, n := range s.nodes {
		state := struct{ Failures map[string]int }{}
		s.Expect(s.dump(n, "admission", &state)).To(Succeed())
		total += state.Failures[code]
	}
	return total
}

const repeats = 4 // of each request by its caller

// Guards against a request that runs twice when its caller repeats it through other daemons, with claims, while the
// platform loses responses, is slow or is down and connections are cut; and against a repeat that gets another answer
// than the run's.
func TestClaimedRequestsRunOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := layout{folder: strings.Replace(folder, "class = write", "class = write\nclaim = true", 1), services: []string{"orders"}, each: 3}
		s := l.start(t)
		time.Sleep(10 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var keys [][]told
		var sending sync.WaitGroup
		client := s.client("callers")
		for i := range 300 {
			time.Sleep(20 * time.Millisecond)
			if i%25 == 0 {
				s.platform.Faults.Clear()
				s.platform.Faults.Inject([]fake.Fault{
					fake.LoseResponse{Scope: fake.Scope{Probability: 0.5}},
					fake.Down{},
					fake.Slow{Delay: 300 * time.Millisecond},
					fake.LoseResponse{},
				}[i/25%4])
				s.fabric.EachPath(betweenDaemons, (*memnet.Path).Cut)
			}
			order := random.Perm(len(s.nodes))
			gap := time.Duration(random.IntN(50)) * time.Millisecond
			sending.Go(func() {
				var answers []told
				for repeat := range repeats {
					id := fmt.Sprintf("key-%d-%d", i, repeat)
					request := s.request(http.MethodPost, "/orders/new", id, strings.NewReader("order "+strconv.Itoa(i)))
					request.Header.Set("Idempotency-Key", "key-"+strconv.Itoa(i))
					answers = append(answers, s.ask(client, s.nodes[order[repeat%len(order)]], request))
					time.Sleep(gap)
				}
				mu.Lock()
				defer mu.Unlock()
				keys = append(keys, answers)
			})
		}
		sending.Wait()
		s.expectOnePerKey(keys)
	})
}

func (s *system) expectOnePerKey(keys [][]told) {
	s.t.Helper()
	ran, stored, refused := 0, 0, 0
	for _, answers := range keys {
		var runner string
		runs := 0
		for _, answer := range answers {
			if own := s.runs(answer.id); own > 0 {
				runs, runner = runs+own, answer.id
				s.Expect(answer.outcome).NotTo(Equal("not-run"), answer.id)
			}
		}
		s.Expect(runs).To(BeNumerically("<=", 1), "runs of one key: %v", answers)
		ran += runs
		for _, answer := range answers {
			switch {
			case answer.status == http.StatusOK:
				s.Expect(answer.header.Get(sample.RequestHeader)).To(Equal(runner))
				stored++
			case answer.outcome == "not-run":
				refused++
			}
		}
	}
	s.Expect(ran).To(BeNumerically(">", len(keys)/4))
	s.Expect(stored).To(BeNumerically(">", ran), "some repeats get the stored result")
	s.Expect(refused).To(BeNumerically(">", 0), "some claims could not be made")
}

// Guards against an answer that is cut but presented as complete, and against bytes of another request's answer, with
// servers that truncate, answers that come late and out of order, hedges, and connections that are cut.
func TestEveryAnswerIsWholeAndItsOwn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var number atomic.Uint64
		l := layout{folder: folder, services: []string{"stock"}, each: 3}
		l.wrap = func(_ *system, _ *node, next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/own/") {
					next.ServeHTTP(w, r)
					return
				}
				answerOwn(w, r, number.Add(1))
			})
		}
		s := l.start(t)
		time.Sleep(10 * time.Second)
		results := make(chan told, 2000)
		client := s.client("callers")
		for i := range cap(results) {
			time.Sleep(5 * time.Millisecond)
			if i%50 == 0 {
				s.fabric.EachPath(betweenDaemons, []func(*memnet.Path){(*memnet.Path).Cut, (*memnet.Path).Silence}[i/50%2])
			}
			s.running.Go(func() {
				method, id := []string{http.MethodGet, http.MethodPost}[i%2], strconv.Itoa(i)
				results <- s.ask(client, s.nodes[i%3], s.request(method, "/stock/own/"+id, id, http.NoBody))
			})
		}
		whole, cut := 0, 0
		for range cap(results) {
			switch answer := <-results; {
			case answer.err != nil || answer.outcome != "":
				cut++
			default:
				whole++
				s.Expect(bytes.Equal(answer.body, ownBody(answer.id))).To(BeTrue(), "answer to %s has %d bytes", answer.id, len(answer.body))
			}
		}
		s.Expect(whole).To(BeNumerically(">", cap(results)/2))
		s.Expect(cut).To(BeNumerically(">", cap(results)/20), "truncated answers")
		s.Expect(s.calls("hedges")).To(BeNumerically(">", 0))
	})
}

// calls adds up a count of the routers.
func (s *system) calls(name string) int {
	total := 0
	for _, n := range s.nodes {
		state := map[string]int{}
		s.Expect(s.dump(n, "calls", &state)).To(Succeed())
		total += state[name]
	}
	return total
}

// answerOwn answers every request with bytes of its own, late ones out of order; every tenth answer ends early, half of
// those in chunks without a declared length.
func answerOwn(w http.ResponseWriter, r *http.Request, number uint64) {
	time.Sleep(time.Duration(number*7919%20) * time.Duration(number*7919%20) * time.Millisecond / 4)
	body := ownBody(strings.TrimPrefix(r.URL.Path, "/own/"))
	if number%20 != 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if number%10 == 0 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func ownBody(id string) []byte {
	number, _ := strconv.Atoi(id)
	return bytes.Repeat([]byte("answer to "+id+"\n"), 1+number*31%1500)
}
