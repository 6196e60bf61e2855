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
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

var testDialect = hdrs.Dialect{
	RequestID: "X-Id", Timeout: "X-Timeout", TimeoutInMillis: true, Expect: "X-Expect", Identity: "X-Identity", NotRun: "X-Not-Run",
	Load: "X-Load", Cold: "X-Cold",
}

// rawClient returns a client of a server that answers each request with the raw bytes that script returns. A trailing END
// closes the connection.
func rawClient(dials *int, script func(r *http.Request) string) *Client {
	c := &Client{
		Address: netip.MustParseAddrPort("127.0.0.1:80"), Dialect: testDialect, Log: logr.Discard(),
		Status: &status.Server{Service: "s", ColdRate: func() float64 { return 0 }, PollHealth: func() {}, Log: logr.Discard()},
	}
	c.Dial = func(context.Context) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		*dials++
		go func() {
			defer func() { _ = serverEnd.Close() }()
			reader := bufio.NewReader(serverEnd)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				raw := script(r)
				if _, err := io.WriteString(serverEnd, strings.TrimSuffix(raw, "END")); err != nil || strings.HasSuffix(raw, "END") {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}
		}()
		return clientEnd, nil
	}
	return c
}

func reply(id, body string, header ...string) string {
	lines := append([]string{"HTTP/1.1 200 OK", "X-Id: " + id, fmt.Sprintf("Content-Length: %d", len(body))}, header...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func send(t *testing.T, c *Client, id string) (string, *code.Error) {
	r := request(t, http.MethodPost, "/run", "body")
	r.Header.Set("X-Id", id)
	body, failed := do(c, &Attempt{Request: r, ID: id})
	synctest.Wait()
	return body, failed
}

// Guards against taking a late response to an earlier request for the response to the current one.
func TestStrayResponseIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dials := 0
		c := rawClient(&dials, func(r *http.Request) string {
			id := r.Header.Get("X-Id")
			if id == "2" {
				return reply("1", "late") + reply("1", "again") + reply(id, "right")
			}
			return reply(id, "first")
		})
		defer c.Close()
		g.Expect(send(t, c, "1")).To(Equal("first"))
		g.Expect(send(t, c, "2")).To(Equal("right"))
		g.Expect(dials).To(Equal(1))
	})
}

// Guards against passing on a truncated response or one without the request's id, and against an outcome other than unknown
// although the server may have run the request.
func TestInvalidResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"closed":    "END",
		"no header": "garbage\r\n\r\nEND",
		"wrong id":  reply("0", "x", "Connection: close") + "END",
		"no id":     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nxEND",
		"truncated": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nabcEND",

		"blank in a name":          reply("1", "x", "X Y: z"),
		"blank behind a name":      reply("1", "x", "X-A : z"),
		"blank behind a length":    reply("1", "xy", "Content-Length : 1"),
		"blank behind a coding":    reply("1", "1\r\nx\r\n0\r\n\r\n", "Transfer-Encoding : chunked"),
		"tab behind a name":        reply("1", "x", "X-A\t: z"),
		"control byte in a name":   reply("1", "x", "X\x01Y: z"),
		"blank in an interim one":  "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\n" + reply("1", "x"),
		"blank before a name":      reply("1", "xy", "X-A: z", " Content-Length: 1"),
		"tab before a name":        reply("1", "xy", "X-A: z", "\tX-B: z"),
		"no name":                  reply("1", "x", ": z"),
		"blank behind 4 KiB":       reply("1", "x", "X-A: "+strings.Repeat("a", 5000), " X-B: z"),
		"blank behind a stray one": reply("0", "x") + reply("1", "x", "X-A: z", " X-B: z"),
		"blank in a trailer":       "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-T : y\r\n\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			dials := 0
			c := rawClient(&dials, func(*http.Request) string { return raw })
			defer c.Close()
			_, failed := send(t, c, "1")
			g.Expect(failed).NotTo(BeNil(), name)
			g.Expect(failed.Outcome).To(Equal(code.Unknown), name)
		})
	}
}

// Guards against passing on a response that proves that the request was not run, and against taking a 503 without that proof
// for a refusal.
func TestRefusalNeedsProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dials := 0
		raw := ""
		c := rawClient(&dials, func(*http.Request) string { return raw })
		defer c.Close()
		raw = "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		_, failed := send(t, c, "1")
		g.Expect([]any{failed.Code, failed.Outcome}).To(Equal([]any{code.ServerShed, code.NotRun}))
		raw = "HTTP/1.1 421 Misdirected\r\nX-Id: 1\r\nX-Identity: i-2\r\nContent-Length: 0\r\n\r\n"
		_, failed = send(t, c, "1")
		g.Expect([]any{failed.Code, failed.Outcome}).To(Equal([]any{code.WrongServer, code.NotRun}))
		raw = "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nno"
		g.Expect(send(t, c, "1")).To(Equal("no"))
	})
}

// Guards against sending the next request on a connection on which the rest of an earlier body is still due after an early
// response, and against closing that connection although the body was then sent completely.
func TestEarlyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dials := 0
		c := rawClient(&dials, func(r *http.Request) string { return reply(r.Header.Get("X-Id"), "early") })
		defer c.Close()
		rest, more := io.Pipe()
		r := request(t, http.MethodPost, "/run", "x")
		r.Header.Set("X-Id", "1")
		r.Body, r.ContentLength = rest, 6
		begin := func(id string, r *http.Request) {
			body, failed := do(c, &Attempt{Request: r, ID: id})
			g.Expect(failed).To(BeNil())
			g.Expect(body).To(Equal("early"))
		}
		go func() { _, _ = io.WriteString(more, "a") }()
		begin("1", r)
		g.Expect(send(t, c, "2")).To(Equal("early"))
		g.Expect(dials).To(Equal(2), "the first connection is still in use for the rest of its body")
		_, err := io.WriteString(more, "bcdef")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(more.Close()).To(Succeed())
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		g.Expect(send(t, c, "3")).To(Equal("early"))
		g.Expect(send(t, c, "4")).To(Equal("early"))
		g.Expect(dials).To(Equal(2), "both connections are idle again")
	})
}

// Guards against using a connection shortly before the server closes it, and against new connections while the server keeps
// it open.
func TestKeepAliveTimeoutIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dials := 0
		c := rawClient(&dials, func(r *http.Request) string { return reply(r.Header.Get("X-Id"), "ok", "Keep-Alive: timeout=10") })
		defer c.Close()
		for i, idle := range []time.Duration{0, 8 * time.Second, 9 * time.Second} {
			time.Sleep(idle)
			g.Expect(send(t, c, fmt.Sprint(i))).To(Equal("ok"))
		}
		g.Expect(dials).To(Equal(2))
	})
}

// Guards against ignoring the identity, slots, pace and cold time in a health response.
func TestHealthUpdatesStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dials := 0
		c := rawClient(&dials, func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nX-Identity: i-1\r\nX-Cold: 1500\r\nX-Load: 3,1,12,480\r\nContent-Length: 0\r\n\r\n"
		})
		c.HealthPath = func() string { return "/up" }
		c.Status.PollHealth = c.PollHealth
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			_ = c.Run(ctx)
			close(done)
		}()
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		id, _, _ := c.Status.Departure()
		g.Expect(id).To(Equal("i-1"))
		g.Expect(c.Status.Slots()).To(Equal(12))
		g.Expect(c.Status.Pace()).To(Equal(480))
		g.Expect(c.Status.Cold()).To(BeTrue())
		cancel()
		<-done
	})
}

// Guards against taking a second copy of a call's response, which arrives late on the connection, for a health response: it would prove
// that a cold server is warm.
func TestStrayResponseIsNotAHealthResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dials := 0
		health := "HTTP/1.1 200 OK\r\nX-Identity: i-1\r\nX-Cold: 1500\r\nContent-Length: 0\r\n\r\n"
		c := rawClient(&dials, func(r *http.Request) string {
			if r.Header.Get("X-Id") != "" {
				return reply("1", "answer")
			}
			return reply("1", "answer") + health
		})
		defer c.Close()
		g.Expect(send(t, c, "1")).To(Equal("answer"))
		result := c.poll(t.Context(), "/up")
		g.Expect(result.Error).To(BeEmpty())
		c.updateStatus(result)
		g.Expect(dials).To(Equal(1))
		id, _, _ := c.Status.Departure()
		g.Expect(id).To(Equal("i-1"))
		g.Expect(c.Status.Cold()).To(BeTrue())
	})
}
