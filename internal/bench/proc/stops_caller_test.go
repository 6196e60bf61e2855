package proc_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/bench/proc"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
)

const (
	stopsTimeout   = 4 * time.Second // Request-Timeout
	longTimeout    = 8 * time.Second // of requests that may outlast a stop
	stopsReadLimit = 15 * time.Second
	maxOutstanding = 5
	redialDelay    = 50 * time.Millisecond
	stopsSlots     = 12
)

// ask is a request as its caller saw it.
type ask struct {
	id      string
	node    *proc.Node
	work    time.Duration // that it takes its server
	timeout time.Duration
	sent    time.Time // its last byte
	ended   time.Time // with its answer, or with its connection
	size    int       // of its answer, in bytes
	status  int       // 0 without a complete answer
	outcome string    // that the daemon states in an answer of its own
	detail  string
	behind  bool // sent while an earlier request on its connection was unanswered
	unread  bool // behind an answer that closed the connection
}

// visit is a run of a request as its server saw it.
type visit struct {
	node         *proc.Node
	began, ended time.Time
	finished     bool // the server wrote the answer; otherwise its connection ended first
}

// history records what callers and servers see.
type history struct {
	mu     sync.Mutex // guards the fields below
	asks   []*ask
	visits map[string][]*visit // by id
	seq    int
}

func (h *history) nextID(kind string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	return fmt.Sprintf("%s-%d", kind, h.seq)
}

func (h *history) add(asks ...*ask) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asks = append(h.asks, asks...)
}

// stopsServer is a server whose requests name their work and the size of their answer.
type stopsServer struct {
	node     *proc.Node
	history  *history
	slots    chan struct{}
	draining atomic.Bool
}

func (s *stopsServer) run() error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.node.Server))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, s) }() //nolint:gosec // ends with the test process
	return nil
}

// ServeHTTP implements http.Handler.
func (s *stopsServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/load":
		fmt.Fprintf(w, `{"in-flight": %d, "slots": %d}`, len(s.slots), cap(s.slots))
	default:
		s.work(w, r)
	}
}

func (s *stopsServer) work(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // a part of a request is not run
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	v, id := &visit{node: s.node, began: time.Now()}, r.Header.Get(sample.RequestHeader)
	h := s.history
	h.mu.Lock()
	h.visits[id] = append(h.visits[id], v)
	h.mu.Unlock()
	work, _ := time.ParseDuration(r.URL.Query().Get("work"))
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	finished := pauseUnless(r.Context(), work)
	if finished {
		if r.URL.Query().Get("length") != "" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		_, _ = io.WriteString(w, strings.Repeat("x", size/2))
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, strings.Repeat("x", size-size/2))
	}
	h.mu.Lock()
	v.finished, v.ended = finished, time.Now()
	h.mu.Unlock()
}

// pauseUnless reports whether the whole time has passed before ctx ended.
func pauseUnless(ctx context.Context, duration time.Duration) bool {
	pause(ctx, duration)
	return ctx.Err() == nil
}

// stopsCaller uses each of its connections until the daemon closes it.
type stopsCaller struct {
	node    *proc.Node
	history *history
	random  *rand.Rand
}

func (c *stopsCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.node.Callers.String(), time.Second)
		if err != nil {
			pause(ctx, redialDelay)
			continue
		}
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil && c.batch(conn, reader) {
			pause(ctx, time.Duration(c.random.IntN(200))*time.Millisecond)
		}
		_ = conn.Close()
		pause(ctx, redialDelay)
	}
}

// batch sends requests one behind the other and reads their answers. It reports whether the connection goes on.
func (c *stopsCaller) batch(conn net.Conn, reader *bufio.Reader) bool {
	_ = conn.SetDeadline(time.Now().Add(stopsReadLimit))
	asks := c.asks()
	defer c.history.add(asks...)
	sent, broken := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sent)
		for _, a := range asks {
			a.sent = time.Now()
			_, _ = io.WriteString(conn, c.text(a)) // a broken connection shows at the answer
			select {
			case <-broken:
			case <-time.After(time.Duration(rand.IntN(30)) * time.Millisecond):
			}
		}
	}()
	goes, closed := true, false
	for _, a := range asks {
		if goes {
			goes = c.read(a, reader)
			closed = !goes && a.status != 0
		} else {
			a.unread = closed
		}
		a.ended = time.Now()
	}
	if !goes {
		_ = conn.Close()
	}
	close(broken)
	<-sent
	return goes
}

func (c *stopsCaller) asks() []*ask {
	if c.random.IntN(4) == 0 {
		return []*ask{c.newAsk("once")}
	}
	var asks []*ask
	for range 1 + c.random.IntN(maxOutstanding) {
		a := c.newAsk("safe")
		a.behind = len(asks) > 0
		asks = append(asks, a)
	}
	return asks
}

func (c *stopsCaller) newAsk(kind string) *ask {
	work, timeout := 10+c.random.IntN(250), stopsTimeout
	switch chance := c.random.IntN(120); {
	case chance < 2:
		work, timeout = 3000+c.random.IntN(4000), longTimeout
	case chance < 12:
		work = 600 + c.random.IntN(1800)
	}
	return &ask{id: c.history.nextID(kind), node: c.node, work: time.Duration(work) * time.Millisecond, timeout: timeout}
}

// text returns the bytes of a request. Answers have up to 80 kB, some without a length.
func (c *stopsCaller) text(a *ask) string {
	method, service, size, length := http.MethodGet, "stock-display", 100, ""
	if strings.HasPrefix(a.id, "once") {
		method, service = http.MethodPost, "order-taking"
	}
	if rand.IntN(3) == 0 {
		size = rand.IntN(80_000)
	}
	a.size = size
	if rand.IntN(2) == 0 {
		length = "&length=yes"
	}
	head := fmt.Sprintf("%s /%s/?work=%v&size=%d%s HTTP/1.1\r\nHost: x\r\n%s: %s\r\nRequest-Timeout: %v\r\n",
		method, service, a.work, size, length, sample.RequestHeader, a.id, a.timeout)
	if method == http.MethodGet {
		return head + "\r\n"
	}
	body := strings.Repeat("y", 1+rand.IntN(40_000))
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// read reads the answer to a, and reports whether the connection goes on.
func (c *stopsCaller) read(a *ask, reader *bufio.Reader) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.detail = err.Error()
		return false
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		a.detail = "incomplete: " + err.Error()
		return false
	}
	a.status, a.outcome = response.StatusCode, response.Header.Get("Marigoldwinch-Outcome")
	a.detail = response.Status + " code " + response.Header.Get("Marigoldwinch-Code")
	return !response.Close
}
