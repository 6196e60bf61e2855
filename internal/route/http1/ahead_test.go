package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
)

type rig struct {
	*WithT
	server *Server
	done   chan error
}

func start(t *testing.T, handler http.HandlerFunc) *rig {
	r := &rig{WithT: NewWithT(t), done: make(chan error, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Expect(err).NotTo(HaveOccurred())
	r.server = &Server{
		Listener: listener, Handler: handler, Log: logr.Discard(),
		Limits: func() Limits {
			return Limits{HeaderBytes: 2 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
		},
	}
	go func() { r.done <- r.server.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		r.Expect(r.server.Shutdown(ctx)).To(Succeed())
		r.Expect(<-r.done).To(Succeed())
	})
	return r
}

// open connects and sends text.
func (r *rig) open(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	r.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	r.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, text)
	r.Expect(err).NotTo(HaveOccurred())
	return conn, bufio.NewReader(conn)
}

// answer reads a response: status, body, and whether the connection closes behind it.
func (r *rig) answer(reader *bufio.Reader) string {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "no response"
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Sprintf("%d %s broken", response.StatusCode, body)
	}
	text := fmt.Sprintf("%d %s", response.StatusCode, body)
	if response.Close {
		text += " last"
	}
	return text
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
}

// Guards against requests of one connection that run one after the other, and against responses in the order of their ends.
func TestPipelinedRequestsRunConcurrentlyWithOrderedResponses(t *testing.T) {
	both := make(chan struct{})
	var running atomic.Int64
	r := start(t, func(w http.ResponseWriter, q *http.Request) {
		if running.Add(1) == 3 {
			close(both)
		}
		<-both
		if q.URL.Path == "/1" {
			time.Sleep(30 * time.Millisecond)
		}
		_, _ = io.WriteString(w, q.URL.Path)
	})
	_, reader := r.open(t, get("/1")+get("/2")+get("/3"))
	for _, path := range []string{"/1", "/2", "/3"} {
		r.Expect(r.answer(reader)).To(Equal("200 " + path))
	}
}

// Guards against a caller that has left behind a request in service and keeps it running.
func TestDisconnectCancelsRequests(t *testing.T) {
	cancelled := make(chan string, 2)
	r := start(t, func(_ http.ResponseWriter, q *http.Request) {
		<-q.Context().Done()
		cancelled <- q.URL.Path
	})
	conn, _ := r.open(t, get("/1")+get("/2"))
	time.Sleep(20 * time.Millisecond)
	r.Expect(conn.Close()).To(Succeed())
	for range 2 {
		r.Eventually(cancelled, time.Second).Should(Receive())
	}
}

// Guards against the bytes of one body, read or not, that are taken for the next request.
func TestBodyBytesAreNotParsedAsNextRequest(t *testing.T) {
	r := start(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/read" {
			_, _ = io.Copy(w, q.Body)
			return
		}
		_, _ = io.WriteString(w, "unread")
	})
	post := func(path, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	}
	chunked := "POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	_, reader := r.open(t, post("/unread", get("/smuggled"))+post("/read", "x=1")+chunked+get("/read"))
	for _, want := range []string{"200 unread", "200 x=1", "200 abc", "200 "} {
		r.Expect(r.answer(reader)).To(Equal(want))
	}
}

// Guards against a response that broke off and looks complete, with a length, in chunks and without either.
func TestTruncatedResponsesAreDetectable(t *testing.T) {
	r := start(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/length" {
			w.Header().Set("Content-Length", "10")
		}
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/length", "/chunks"} {
		_, reader := r.open(t, get(path))
		r.Expect(r.answer(reader)).To(Equal("200 part broken"), path)
	}
	_, reader := r.open(t, "GET /none HTTP/1.0\r\nHost: h\r\n\r\n")
	r.Expect(r.answer(reader)).To(Or(Equal("200 part broken last"), Equal("200 part broken"), Equal("no response")))
}

// Guards against malformed requests without a clear refusal, and against callers that hold a connection for nothing.
func TestMalformedAndSlowCallers(t *testing.T) {
	r := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for request, want := range map[string]string{
		"GET / HTTP/1.1\r\nHost h\r\n\r\n": "400  last",
		"nonsense\r\n\r\n":                 "400  last",
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9<<10) + "\r\n\r\n":     "431  last",
		"GET / HTTP/1.1\r\nHost: h\r\n":                                                  "408  last",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab": "400  last",
		get("/") + "GET /\r\n\r\n":                                                       "200 ok",
	} {
		_, reader := r.open(t, request)
		r.Expect(r.answer(reader)).To(Equal(want), request[:4])
	}
	began := time.Now()
	_, reader := r.open(t, "")
	_, err := reader.ReadByte()
	r.Expect(err).To(MatchError(io.EOF))
	r.Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 250*time.Millisecond))
}

// Guards against a planned stop that cuts requests, or that reads a request and leaves it unanswered.
func TestShutdownAnswersRequestsThatWereRead(t *testing.T) {
	release := make(chan struct{})
	var ran atomic.Int64
	r := start(t, func(w http.ResponseWriter, q *http.Request) {
		ran.Add(1)
		<-release
		_, _ = io.WriteString(w, q.URL.Path)
	})
	conn, reader := r.open(t, get("/1")+get("/2"))
	r.Eventually(ran.Load, time.Second).Should(Equal(int64(2)))
	r.server.DisableKeepAlives()
	stopped := make(chan error, 1)
	go func() { stopped <- r.server.Shutdown(context.Background()) }()
	time.Sleep(20 * time.Millisecond)
	_, err := io.WriteString(conn, get("/3"))
	r.Expect(err).NotTo(HaveOccurred())
	close(release)
	r.Expect(r.answer(reader)).To(Equal("200 /1"))
	r.Expect(r.answer(reader)).To(Equal("200 /2 last"))
	r.Expect(r.answer(reader)).To(Equal("no response"))
	r.Expect(conn.Close()).To(Succeed())
	r.Eventually(stopped, 2*time.Second).Should(Receive(BeNil()))
	r.Expect(ran.Load()).To(Equal(int64(2)))
}

// Guards against a body that a caller holds back until it is asked for it.
func TestExpectContinue(t *testing.T) {
	r := start(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		_, _ = io.Copy(w, q.Body)
	})
	head := "POST %s HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
	conn, reader := r.open(t, fmt.Sprintf(head, "/take"))
	line, err := reader.ReadString('\n')
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(line).To(Equal("HTTP/1.1 100 Continue\r\n"))
	_, err = reader.ReadString('\n')
	r.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, "abc")
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(r.answer(reader)).To(Equal("200 abc"))
	_, reader = r.open(t, fmt.Sprintf(head, "/refuse"))
	r.Expect(r.answer(reader)).To(HavePrefix("403"))
}
