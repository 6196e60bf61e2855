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

// callResult is the result of a request as its caller saw it.
type callResult struct {
	id      string
	status  int
	outcome string // empty when a server responded
	header  http.Header
	body    []byte
	err     error // set when the response was not received in full
}

// send sends a request through the daemon of a node.
func (s *system) send(client *http.Client, n *node, request *http.Request) callResult {
	request.URL.Scheme, request.URL.Host = "http", n.settings.Callers.String()
	ctx, cancel := context.WithTimeout(request.Context(), 20*time.Second)
	defer cancel()
	result := callResult{id: request.Header.Get(sample.RequestHeader)}
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

// Guards against a request that is reported as not run but ran, or that runs twice, when daemons are killed and restarted with a
// new incarnation at the same address.
func TestOutcomesAreTrueAcrossRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := slowLayout
		l.serviceTime = 200 * time.Millisecond // so that every kill interrupts requests in flight, some with their acknowledgement in transit
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
			time.Sleep(time.Duration(i%3) * 50 * time.Millisecond) // so that resolves reach the new incarnation
			s.startDaemon(n)
		}
		result := <-done
		s.expectTruthfulOutcomes(result)
		s.expectOutcomes(result, load.OK, load.UnknownOutcome)
	})
}

// Guards against a request that is reported as not run but ran, or that runs twice, when connections are cut with request heads
// and acknowledgements in transit, and when requests wait in queues past their deadlines.
func TestOutcomesAreTrueWithCutsAndQueues(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := slowLayout
		l.folder = strings.ReplaceAll(folder, "timeout = 1s", "timeout = 1s\nslots = 3\ncheck-reserve = 0")
		l.latency = func(string, string) time.Duration { return 5 * time.Millisecond } // so that cuts hit heads and acknowledgements in transit
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
				s.afterFault(func() { n.server.SetFaults(sample.Faults{}) })
			}
		}
		result := <-done
		s.expectTruthfulOutcomes(result)
		s.expectOutcomes(result, load.OK, load.UnknownOutcome, load.NotRun)
		s.Expect(s.failures("queue-deadline") + s.failures("deadline-exceeded")).To(BeNumerically(">", 0))
	})
}

// expectOutcomes checks that each outcome occurred, so that a test cannot pass without exercising its case.
func (s *system) expectOutcomes(result *load.Result, wanted ...load.Outcome) {
	s.t.Helper()
	for _, outcome := range wanted {
		seen := 0
		for i := range result.Rows {
			seen += result.Rows[i].Outcomes[outcome]
		}
		s.Expect(seen).To(BeNumerically(">", 0), outcome.String())
	}
}

// failures counts the requests that the gates of all daemons refused or failed with a code.
func (s *system) failures(code string) int {
	total := 0
	for _, n := range s.nodes {
		state := struct{ Failures map[string]int }{}
		s.Expect(s.dump(n, "admission", &state)).To(Succeed())
		total += state.Failures[code]
	}
	return total
}

const sendsPerKey = 4 // by the caller of the request

// Guards against a request with an idempotency key that runs twice when its caller repeats it through other daemons, while the
// platform loses responses, is slow or is down and connections are cut; and against a repeat that gets a response other than
// that of the run.
func TestClaimedRequestsRunOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := layout{
			folder: strings.Replace(folder, "class = write", "class = write\nclaim = true", 1), services: []string{"orders"},
			perService: 3,
		}
		s := l.start(t)
		time.Sleep(10 * time.Second)
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var keys [][]callResult
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
				var answers []callResult
				for repeat := range sendsPerKey {
					id := fmt.Sprintf("key-%d-%d", i, repeat)
					request := s.request(http.MethodPost, "/orders/new", id, strings.NewReader("order "+strconv.Itoa(i)))
					request.Header.Set("Idempotency-Key", "key-"+strconv.Itoa(i))
					answers = append(answers, s.send(client, s.nodes[order[repeat%len(order)]], request))
					time.Sleep(gap)
				}
				mu.Lock()
				defer mu.Unlock()
				keys = append(keys, answers)
			})
		}
		sending.Wait()
		s.expectOneRunPerKey(keys)
	})
}

func (s *system) expectOneRunPerKey(keys [][]callResult) {
	s.t.Helper()
	ran, stored, refused := 0, 0, 0
	for _, answers := range keys {
		var runID string
		runs := 0
		for _, answer := range answers {
			if count := s.runs(answer.id); count > 0 {
				runs, runID = runs+count, answer.id
				s.Expect(answer.outcome).NotTo(Equal("not-run"), answer.id)
			}
		}
		s.Expect(runs).To(BeNumerically("<=", 1), "runs for one idempotency key: %v", answers)
		ran += runs
		for _, answer := range answers {
			switch {
			case answer.status == http.StatusOK:
				s.Expect(answer.header.Get(sample.RequestHeader)).To(Equal(runID))
				stored++
			case answer.outcome == "not-run":
				refused++
			}
		}
	}
	s.Expect(ran).To(BeNumerically(">", len(keys)/4))
	s.Expect(stored).To(BeNumerically(">", ran), "some repeats get the stored response")
	s.Expect(refused).To(BeNumerically(">", 0), "some claims failed")
}

// Guards against a truncated response that is presented as complete, and against bytes of the response to another request, with
// servers that truncate, responses that come late and out of order, hedged requests, and connections that are cut or go silent.
func TestEveryResponseIsCompleteAndMatchesItsRequest(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var number atomic.Uint64
		l := layout{folder: folder, services: []string{"stock"}, perService: 3}
		l.wrap = func(_ *system, _ *node, next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !strings.HasPrefix(r.URL.Path, "/own/") {
					next.ServeHTTP(w, r)
					return
				}
				respondUnique(w, r, number.Add(1))
			})
		}
		s := l.start(t)
		time.Sleep(10 * time.Second)
		results := make(chan callResult, 2000)
		client := s.client("callers")
		for i := range cap(results) {
			time.Sleep(5 * time.Millisecond)
			if i%50 == 0 {
				s.fabric.EachPath(betweenDaemons, []func(*memnet.Path){(*memnet.Path).Cut, (*memnet.Path).Silence}[i/50%2])
			}
			s.running.Go(func() {
				method, id := []string{http.MethodGet, http.MethodPost}[i%2], strconv.Itoa(i)
				results <- s.send(client, s.nodes[i%3], s.request(method, "/stock/own/"+id, id, http.NoBody))
			})
		}
		complete, failed := 0, 0
		for range cap(results) {
			switch answer := <-results; {
			case answer.err != nil || answer.outcome != "":
				failed++
			default:
				complete++
				s.Expect(bytes.Equal(answer.body, uniqueBody(answer.id))).To(BeTrue(), "response to %s has %d bytes", answer.id, len(answer.body))
			}
		}
		s.Expect(complete).To(BeNumerically(">", cap(results)/2))
		s.Expect(failed).To(BeNumerically(">", cap(results)/20), "truncated responses")
		s.Expect(s.calls("hedges")).To(BeNumerically(">", 0))
	})
}

// calls returns the sum of a call counter over all daemons.
func (s *system) calls(name string) int {
	total := 0
	for _, n := range s.nodes {
		state := map[string]int{}
		s.Expect(s.dump(n, "calls", &state)).To(Succeed())
		total += state[name]
	}
	return total
}

// respondUnique answers each request with a body that only this request has, after delays that reorder the responses. Every tenth
// response is truncated, half of those in chunked encoding without a declared length.
func respondUnique(w http.ResponseWriter, r *http.Request, number uint64) {
	time.Sleep(time.Duration(number*7919%20) * time.Duration(number*7919%20) * time.Millisecond / 4)
	body := uniqueBody(strings.TrimPrefix(r.URL.Path, "/own/"))
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

func uniqueBody(id string) []byte {
	number, _ := strconv.Atoi(id)
	return bytes.Repeat([]byte("answer to "+id+"\n"), 1+number*31%1500)
}
