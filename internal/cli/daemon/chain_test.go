package daemon_test

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/bench/load"
	"marigoldwinch.example/marigoldwinch/internal/bench/memnet"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

const (
	chainDepth      = 8    // nested calls; section 1.5 of the design
	maxAttemptRatio = 1.1  // attempts per request; section 1.6 of the design
	servicePrefix   = "/s" // services are s0, s1, ...
)

// hop records the call that the server at one depth of a chain received.
type hop struct {
	context ident.CallContext
	ended   time.Time // when its call to the next depth ended
	status  int       // of the response to that call
}

// chainHandler answers /down/DEPTH/... by calling the next service through the daemon of its server. It sets no timeout and never
// cancels that call, so that the deadline can come only from the context header.
type chainHandler struct {
	mu       sync.Mutex
	hops     map[int]hop
	arrivals atomic.Int64 // requests received at any depth
}

func (c *chainHandler) wrap(s *system, n *node, next http.Handler) http.Handler {
	client := s.client(n.host)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		depthText, remainder, found := strings.Cut(strings.TrimPrefix(r.URL.Path, "/down/"), "/")
		depth, err := strconv.Atoi(depthText)
		if !found || err != nil {
			next.ServeHTTP(w, r)
			return
		}
		c.arrivals.Add(1)
		callContext, err := ident.ParseCallContext(r.Header.Get(ident.ContextHeader))
		s.Expect(err).NotTo(HaveOccurred())
		target := fmt.Sprintf("%s%d/down/%d/%s", servicePrefix, (depth+1)%3, depth+1, remainder)
		if depth == chainDepth-1 {
			target = fmt.Sprintf("%s%d/%s", servicePrefix, (depth+1)%3, remainder)
		}
		request := s.request(http.MethodGet, target, r.Header.Get(sample.RequestHeader), http.NoBody)
		request.Header.Set(ident.ContextHeader, r.Header.Get(ident.ContextHeader))
		answer := s.send(client, n, request)
		c.mu.Lock()
		c.hops[depth] = hop{context: callContext, ended: time.Now(), status: answer.status}
		c.mu.Unlock()
		w.Header().Set(sample.RequestHeader, answer.header.Get(sample.RequestHeader))
		w.WriteHeader(cmp.Or(answer.status, http.StatusBadGateway))
		_, _ = w.Write(answer.body)
	})
}

func chainLayout(c *chainHandler) layout {
	folder := ""
	for i := range 3 {
		folder += fmt.Sprintf("[service s%d]\ntimeout = 15s\nchecks = GET /down/0/check\n", i)
	}
	return layout{folder: folder, services: []string{"s0", "s1", "s2"}, perService: 2, wrap: c.wrap}
}

// Guards against a deadline, class or depth that is not passed on through a chain of calls.
func TestChainKeepsDeadlineClassAndDepth(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := &chainHandler{hops: map[int]hop{}}
		l := chainLayout(c)
		s := l.start(t)
		plan := s.plan(150, 15*time.Second)
		plan.Kinds = nil
		for _, service := range l.services {
			plan.Kinds = append(plan.Kinds, load.Kind{Name: service, Weight: 1, Method: http.MethodGet, Service: service, Path: "/"})
		}
		s.expectTruthfulOutcomes(<-s.load(plan)) // warms the servers up: a chain occupies several slots of each
		for _, n := range s.nodes {
			n.server.SetFaults(sample.Faults{SlowFactor: 1e6}) // the last call of the chain runs until its deadline
		}
		const timeout = 900 * time.Millisecond
		began := time.Now()
		request := s.request(http.MethodGet, "/s0/down/0/check", "chain", http.NoBody)
		request.Header.Set("Request-Timeout", timeout.String())
		answer := s.send(s.client("callers"), s.nodes[3], request)
		s.Expect(answer.status).To(Equal(http.StatusGatewayTimeout))
		time.Sleep(time.Second)
		c.mu.Lock()
		defer c.mu.Unlock()
		s.Expect(c.hops).To(HaveLen(chainDepth))
		for depth, seen := range c.hops {
			s.Expect(seen.context.Depth).To(Equal(depth))
			s.Expect(seen.context.Class).To(Equal(ident.Check), "depth %d", depth)
			s.Expect(seen.ended.Sub(began)).To(BeNumerically("<=", timeout+50*time.Millisecond), "end of the call at depth %d", depth)
			s.Expect(seen.status).To(Equal(http.StatusGatewayTimeout), "depth %d", depth)
		}
	})
}

// Guards against retries that multiply across the depths of a chain when servers of the last service refuse many calls.
func TestChainAttemptsStayWithinBudget(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := &chainHandler{hops: map[int]hop{}}
		l := chainLayout(c)
		l.folder = strings.ReplaceAll(l.folder, "checks", "slots = 40\nqueue = 0\nhedge-share = 0\nchecks")
		s := l.start(t)
		time.Sleep(5 * time.Second)
		plan := s.plan(15, 20*time.Second)
		plan.Kinds = []load.Kind{{Name: "chain", Weight: 1, Method: http.MethodGet, Service: "s0", Path: "/down/0/x"}}
		time.Sleep(time.Second)
		fewSlots := files.File{Name: "90-few.ini", Content: "[service s2]\nslots = 1\ncheck-reserve = 0\n"}
		_, err := s.writer("anna").Add(t.Context(), []files.File{fewSlots}, change.Options{})
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(inForceBound)
		requests, attempts, arrived := s.calls("requests"), s.calls("attempts"), c.arrivals.Load()
		result := <-s.load(plan)
		s.expectTruthfulOutcomes(result)
		requests, attempts, arrived = s.calls("requests")-requests, s.calls("attempts")-attempts, c.arrivals.Load()-arrived
		s.Expect(s.failures("overloaded")+s.failures("warming-up")).To(BeNumerically(">", requests/20), "refused attempts")
		s.Expect(float64(attempts)/float64(requests)).To(BeNumerically("<=", maxAttemptRatio), "attempts per request")
		s.Expect(arrived).To(BeNumerically("<=", chainDepth*result.Rows[0].Total()), "requests received without duplicate runs of a chain")
	})
}

const uploadSize = 4 << 20

var uploadLayout = layout{
	folder:   "[service photos]\nclass = upload\ntimeout = 20s\nslots = 12\n",
	services: []string{"photos"}, perService: 3,
}

// Guards against an upload that is reported as stored but is incomplete, one that is reported as not run but ran, and one that
// runs twice, while connections go silent or are cut.
func TestUploadsCompleteOrFailTruthfully(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := uploadLayout
		l.serviceTime = 300 * time.Millisecond
		l.folder += "check-reserve = 0\nupload-share = 0.1\n" // one at a time, so that others wait with part of their body sent
		l.latency = func(string, string) time.Duration { return 5 * time.Millisecond }
		s := l.start(t)
		time.Sleep(10 * time.Second)
		body := make([]byte, uploadSize)
		_, _ = rand.Read(body)
		hash := strconv.FormatUint(xxhash.Sum64(body), 16)
		const uploads = 72 // with only 24, the completed share varied by a quarter between runs
		results, client := make(chan callResult, uploads), s.client("callers")
		for i := range uploads {
			time.Sleep(100 * time.Millisecond)
			s.running.Go(func() {
				results <- s.send(client, s.nodes[i%3], s.request(http.MethodPost, "/photos/new", fmt.Sprintf("once-%d", i), bytes.NewReader(body)))
			})
			if i == 12 { // uploads queued there are refused, and retried elsewhere if their whole body is still buffered
				s.setServer(s.nodes[0], config.ServerLeaving)
			}
			if i%4 == 3 {
				time.Sleep(time.Duration(i%24) * time.Millisecond) // while bodies are in transit
				s.fabric.EachPath(func(from, to string) bool { return betweenDaemons(from, to) && i%8 == 3 }, (*memnet.Path).Silence)
				s.fabric.EachPath(func(from, to string) bool { return betweenDaemons(from, to) && i%8 == 7 }, (*memnet.Path).Cut)
			}
		}
		stored, failed := 0, 0
		for range uploads {
			answer := <-results
			ran := s.runs(answer.id)
			s.Expect(ran).To(BeNumerically("<=", 1))
			switch {
			case answer.outcome == "not-run":
				s.Expect(ran).To(BeZero(), answer.id)
				failed++
			case answer.status == http.StatusOK:
				s.Expect(ran).To(Equal(1))
				s.Expect(answer.header.Get("Sample-Body-Hash")).To(Equal(hash))
				stored++
			default:
				failed++
			}
		}
		s.Expect(stored).To(BeNumerically(">", uploads/3))
		s.Expect(failed).To(BeNumerically(">", 0), "some uploads were in transit when their connection failed")
	})
}

// Guards against daemons that buffer whole upload bodies in memory while the servers do not read them.
func TestStalledUploadsBoundMemory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		l := uploadLayout
		l.folder += "queue = 100\n"
		released := make(chan struct{})
		t.Cleanup(sync.OnceFunc(func() { close(released) }))
		l.wrap = func(_ *system, _ *node, next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					<-released // net/http does not detect that the client is gone before the body has been read
				}
				next.ServeHTTP(w, r)
			})
		}
		s := l.start(t)
		time.Sleep(5 * time.Second)
		const uploads, maxBuffered = 40, 1 << 20 // 250 open uploads then stay within 256 MB
		var taken [uploads]atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		client := s.client("callers")
		for i := range uploads {
			s.running.Go(func() {
				body := io.TeeReader(io.LimitReader(zeros{}, uploadSize), counter{&taken[i]})
				_ = s.send(client, s.nodes[i%3], s.request(http.MethodPost, "/photos/new", "once-"+strconv.Itoa(i), body).WithContext(ctx))
			})
		}
		time.Sleep(5 * time.Second)
		for i := range taken {
			s.Expect(taken[i].Load()).To(BeNumerically(">", 0))
			s.Expect(taken[i].Load()).To(BeNumerically("<=", maxBuffered), "bytes read from the caller of upload %d", i)
		}
		cancel()
	})
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

type counter struct{ bytes *atomic.Int64 }

func (c counter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}
