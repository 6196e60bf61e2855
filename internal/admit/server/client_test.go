package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// backend is a server on in-memory connections. It answers with reply, and closes a connection without an answer after
// it has read a request for which drop returns true.
type backend struct {
	drop  func(r *http.Request) bool
	reply func(r *http.Request) string // the raw response

	mu    sync.Mutex
	seen  []string // method, path and body of each request
	open  int
	peak  int
	dials []time.Time
}

const okReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func (b *backend) client() *Client {
	return &Client{
		Address: netip.MustParseAddrPort("127.0.0.1:80"),
		Dial: func(context.Context) (net.Conn, error) {
			near, far := net.Pipe()
			b.mu.Lock()
			b.dials = append(b.dials, time.Now())
			b.open++
			b.peak = max(b.peak, b.open)
			b.mu.Unlock()
			go b.serve(far)
			return near, nil
		},
	}
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.seen = append(b.seen, r.Method+" "+r.URL.Path+" "+string(body))
		b.mu.Unlock()
		if b.drop != nil && b.drop(r) {
			return
		}
		raw := okReply
		if b.reply != nil {
			raw = b.reply(r)
		}
		if _, err := io.WriteString(conn, raw); err != nil {
			return
		}
	}
}

func (b *backend) count(prefix string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, seen := range b.seen {
		if strings.HasPrefix(seen, prefix) {
			n++
		}
	}
	return n
}

func request(t *testing.T, method, path, body string) *http.Request {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://127.0.0.1:80"+path, reader)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Idempotency-Key", "k1")
	return r
}

func do(c *Client, a *Attempt) (string, *code.Error) {
	response, failed := c.Do(a)
	if failed != nil {
		return "", failed
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", code.Of(err)
	}
	return string(body), nil
}

// Guards against the transport's resend on a reused connection: the server reads the request, closes the connection, and
// must see the request once. The transport counts an Idempotency-Key as permission, with and without a body.
func TestNonIdempotentReachesServerOnce(t *testing.T) {
	for _, c := range []struct{ method, body string }{
		{http.MethodPost, "order"},
		{http.MethodPost, ""},
		{http.MethodPatch, ""},
		{http.MethodDelete, ""},
		{http.MethodGet, ""},
		{http.MethodOptions, ""},
	} {
		t.Run(c.method+" "+c.body, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				keyed := true
				b := &backend{drop: func(r *http.Request) bool {
					keyed = keyed && (r.URL.Path != "/run" || r.Header.Get("Idempotency-Key") == "k1" && len(r.TransferEncoding) == 0)
					return r.URL.Path == "/run"
				}}
				client := b.client()
				defer client.Close()
				_, failed := do(client, &Attempt{Request: request(t, http.MethodGet, "/first", "")})
				g.Expect(failed).To(BeNil())
				_, failed = do(client, &Attempt{Request: request(t, c.method, "/run", c.body)})
				g.Expect(failed).NotTo(BeNil())
				g.Expect(failed.Outcome).To(Equal(code.Unknown))
				g.Expect(b.count(c.method + " /run " + c.body)).To(Equal(1))
				g.Expect(b.dials).To(HaveLen(1), "the request went over the reused connection")
				g.Expect(keyed).To(BeTrue(), "the key and the framing reach the server")
			})
		})
	}
}

// Guards against a request on a connection that the server may be closing because it was idle.
func TestIdleConnectionIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := &backend{}
		client := b.client()
		defer client.Close()
		for _, idle := range []time.Duration{0, DefaultIdleTimeout - time.Millisecond, DefaultIdleTimeout + time.Millisecond} {
			time.Sleep(idle)
			_, failed := do(client, &Attempt{Request: request(t, http.MethodPost, "/run", "x")})
			g.Expect(failed).To(BeNil())
			synctest.Wait()
		}
		g.Expect(b.dials).To(HaveLen(2))
	})
}

// Guards against more connections than the server can hold, and against new ones that come faster than it takes them.
func TestConnectionsAreBoundedAndPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := &backend{reply: func(*http.Request) string {
			time.Sleep(200 * time.Millisecond)
			return okReply
		}}
		client := b.client()
		defer client.Close()
		var group sync.WaitGroup
		for range 2 * DefaultMaxConns {
			group.Go(func() { _, _ = do(client, &Attempt{Request: request(t, http.MethodPost, "/run", "")}) })
		}
		group.Wait()
		g.Expect(b.count("POST")).To(Equal(2 * DefaultMaxConns))
		g.Expect(b.peak).To(Equal(DefaultMaxConns))
		for i := 1; i < len(b.dials); i++ {
			g.Expect(b.dials[i].Sub(b.dials[i-1])).To(BeNumerically(">=", time.Millisecond))
		}
	})
}

// Guards against a wrong outcome: not-run without proof, or unknown although no byte left.
func TestOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		down := &Client{Dial: func(context.Context) (net.Conn, error) { return nil, errors.New("refused") }}
		_, failed := do(down, &Attempt{Request: request(t, http.MethodPost, "/run", "x")})
		g.Expect([]any{failed.Code, failed.Outcome}).To(Equal([]any{code.ServerUnreachable, code.NotRun}))

		shed := "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n"
		relayed := shed + codeHeader + ": 8\r\n"
		b := &backend{reply: func(r *http.Request) string {
			return map[string]string{"/shed": shed, "/relayed": relayed}[r.URL.Path] + "\r\nno"
		}}
		client := b.client()
		defer client.Close()
		_, failed = do(client, &Attempt{Request: request(t, http.MethodPost, "/shed", ""), ShedsBeforeRun: true})
		g.Expect([]any{failed.Code, failed.Outcome}).To(Equal([]any{code.ServerShed, code.NotRun}))
		for _, a := range []*Attempt{
			{Request: request(t, http.MethodPost, "/shed", "")},
			{Request: request(t, http.MethodPost, "/relayed", ""), ShedsBeforeRun: true},
		} {
			body, failed := do(client, a)
			g.Expect(failed).To(BeNil())
			g.Expect(body).To(Equal("no"))
		}
	})
}

// Guards against endpoints that hang, flood, lag or lie: the pace stays, and only a health of draining has an effect.
func TestPollsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		type step struct {
			health, load string
			draining     bool
		}
		var now atomic.Pointer[step]
		now.Store(&step{})
		respond := func(body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		b := &backend{}
		b.reply = func(r *http.Request) string {
			if r.URL.Path == "/health" {
				return respond(now.Load().health)
			}
			if now.Load().load == "" {
				time.Sleep(time.Hour)
			}
			return respond(now.Load().load)
		}
		client := b.client()
		client.HealthPath, client.LoadPath = func() string { return "/health" }, "/load"
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = client.Run(ctx)
			close(done)
		}()
		time.Sleep(DefaultPollInterval / 2) // steps change between two polls
		steps := []step{
			{"ok", "draining", false},
			{"ok", strings.Repeat("9", 1<<20), false},
			{"draining\n", "", true},
			{`{"status":"draining"}`, `{"in-flight":-1}`, true},
			{`{"status":"ok","detail":"draining"}`, "\x00", false},
		}
		for _, step := range steps {
			now.Store(&step)
			time.Sleep(3 * time.Second)
			g.Expect(client.Draining()).To(Equal(step.draining), step.health)
		}
		cancel()
		<-done
		seconds := 3 * len(steps)
		g.Expect(b.count("GET /health")).To(BeNumerically("~", seconds, 1))
		g.Expect(b.count("GET /load")).To(BeNumerically("~", seconds, 1))
		g.Expect(len(client.Dump().(Dump).Load.Body)).To(BeNumerically("<=", maxShown))
		time.Sleep(time.Hour) // the hanging endpoint ends
	})
}
