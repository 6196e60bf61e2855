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

type harness struct {
	*WithT
	server *Server
	done   chan error
}

// start runs a server, which each option may change before.
func start(t *testing.T, handler http.HandlerFunc, options ...func(*Server)) *harness {
	r := &harness{WithT: NewWithT(t), done: make(chan error, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Expect(err).NotTo(HaveOccurred())
	r.server = &Server{
		Listener: listener, Handler: handler, Log: logr.Discard(),
		Limits: func() Limits {
			return Limits{HeaderBytes: 2 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
		},
	}
	for _, option := range options {
		option(r.server)
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

// connect opens a connection and sends text.
func (r *harness) connect(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
	r.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	r.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, text)
	r.Expect(err).NotTo(HaveOccurred())
	return conn, bufio.NewReader(conn)
}

// readResponse describes the next response: status, body, and "last" if the connection closes after it.
func (r *harness) readResponse(reader *bufio.Reader) string {
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

// Guards against running pipelined requests one at a time, and against sending responses in the order in which their
// handlers end.
func TestPipelinedRequestsRunConcurrentlyWithOrderedResponses(t *testing.T) {
	allRunning := make(chan struct{})
	var running atomic.Int64
	r := start(t, func(w http.ResponseWriter, q *http.Request) {
		if running.Add(1) == 3 {
			close(allRunning)
		}
		<-allRunning
		if q.URL.Path == "/1" {
			time.Sleep(30 * time.Millisecond)
		}
		_, _ = io.WriteString(w, q.URL.Path)
	})
	_, reader := r.connect(t, get("/1")+get("/2")+get("/3"))
	for _, path := range []string{"/1", "/2", "/3"} {
		r.Expect(r.readResponse(reader)).To(Equal("200 " + path))
	}
}

// Guards against requests that keep running after their caller has disconnected.
func TestDisconnectCancelsRequests(t *testing.T) {
	cancelled := make(chan string, 2)
	r := start(t, func(_ http.ResponseWriter, q *http.Request) {
		<-q.Context().Done()
		cancelled <- q.URL.Path
	})
	conn, _ := r.connect(t, get("/1")+get("/2"))
	time.Sleep(20 * time.Millisecond)
	r.Expect(conn.Close()).To(Succeed())
	for range 2 {
		r.Eventually(cancelled, time.Second).Should(Receive())
	}
}

// Guards against requests that keep running after their caller has disconnected, when no further request is read from the connection.
func TestDisconnectAfterTheLastRequestCancelsRequests(t *testing.T) {
	const last = "POST /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"
	for _, disconnected := range []struct {
		name  string
		text  string
		stops bool // the server shuts down while the requests run
		paths []string
	}{
		{"caller closes after its request", last, false, []string{"/last"}},
		{"caller closes after its last request", get("/1") + last, false, []string{"/1", "/last"}},
		{"old protocol version", "GET /old HTTP/1.0\r\nHost: h\r\n\r\n", false, []string{"/old"}},
		{"bytes behind the last request", last + "more", false, []string{"/last"}},
		{"shutdown", get("/1") + get("/2"), true, []string{"/1", "/2"}},
	} {
		started, cancelled := make(chan string, 2), make(chan string, 2)
		r := start(t, func(_ http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			started <- q.URL.Path
			<-q.Context().Done()
			cancelled <- q.URL.Path
		})
		conn, _ := r.connect(t, disconnected.text)
		for range disconnected.paths {
			r.Eventually(started, time.Second).Should(Receive())
		}
		if disconnected.stops {
			go func() { _ = r.server.Shutdown(context.Background()) }()
			r.Eventually(r.server.isShuttingDown, time.Second).Should(BeTrue())
		}
		r.Consistently(cancelled, 50*time.Millisecond).ShouldNot(Receive(), disconnected.name)
		r.Expect(conn.Close()).To(Succeed())
		for range disconnected.paths {
			r.Eventually(cancelled, time.Second).Should(Receive(BeElementOf(disconnected.paths)), disconnected.name)
		}
	}
}

// Guards against request smuggling: the bytes of a body, read by the handler or not, must not be parsed as the next request.
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
	_, reader := r.connect(t, post("/unread", get("/smuggled"))+post("/read", "x=1")+chunked+get("/read"))
	for _, want := range []string{"200 unread", "200 x=1", "200 abc", "200 "} {
		r.Expect(r.readResponse(reader)).To(Equal(want))
	}
}

// Guards against an aborted response that looks complete: with Content-Length, chunked, and with neither.
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
		_, reader := r.connect(t, get(path))
		r.Expect(r.readResponse(reader)).To(Equal("200 part broken"), path)
	}
	_, reader := r.connect(t, "GET /none HTTP/1.0\r\nHost: h\r\n\r\n")
	r.Expect(r.readResponse(reader)).To(Or(Equal("200 part broken last"), Equal("200 part broken"), Equal("no response")))
}

// Guards against a line of a response that callers could read as another field, or as several.
func TestInvalidFieldsAreNotWritten(t *testing.T) {
	r := start(t, func(w http.ResponseWriter, _ *http.Request) {
		header := w.Header()
		header["Content-Length "], header["X-Split"], header["X-Kept"] = []string{"1"}, []string{"a\r\nX-Other: b"}, []string{"c"}
		header[http.TrailerPrefix+"X Sum"], header[http.TrailerPrefix+"X-Sum"] = []string{"1"}, []string{"2"}
		_, _ = io.WriteString(w, "ok")
	})
	_, reader := r.connect(t, get("/"))
	response, err := http.ReadResponse(reader, nil)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("ok"))
	r.Expect(response.Header).To(Equal(http.Header{"X-Kept": {"c"}}))
	r.Expect(response.Trailer).To(Equal(http.Header{"X-Sum": {"2"}}))
}

// Guards against malformed requests that get no specific error status, and against callers that occupy a connection without
// sending a request.
func TestMalformedAndSlowCallers(t *testing.T) {
	r := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for request, want := range map[string]string{
		"GET / HTTP/1.1\r\nHost h\r\n\r\n":                                               "400  last",
		"nonsense\r\n\r\n":                                                               "400  last",
		"GET / HTTP/1.1\r\nHost: h\r\nAuthorization : Token k\r\n\r\n":                   "400  last",
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 9<<10) + "\r\n\r\n":     "431  last",
		"GET / HTTP/1.1\r\nHost: h\r\n":                                                  "408  last",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab": "400  last",
		get("/") + "GET /\r\n\r\n":                                                       "200 ok",
	} {
		_, reader := r.connect(t, request)
		r.Expect(r.readResponse(reader)).To(Equal(want), request[:4])
	}
	began := time.Now()
	_, reader := r.connect(t, "")
	_, err := reader.ReadByte()
	r.Expect(err).To(MatchError(io.EOF))
	r.Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 250*time.Millisecond))
}

// Guards against a graceful shutdown that interrupts requests, or that reads a request and never answers it.
func TestShutdownAnswersRequestsThatWereRead(t *testing.T) {
	release := make(chan struct{})
	var started atomic.Int64
	r := start(t, func(w http.ResponseWriter, q *http.Request) {
		started.Add(1)
		<-release
		_, _ = io.WriteString(w, q.URL.Path)
	})
	conn, reader := r.connect(t, get("/1")+get("/2"))
	r.Eventually(started.Load, time.Second).Should(Equal(int64(2)))
	r.server.DisableKeepAlives()
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- r.server.Shutdown(context.Background()) }()
	time.Sleep(20 * time.Millisecond)
	_, err := io.WriteString(conn, get("/3"))
	r.Expect(err).NotTo(HaveOccurred())
	close(release)
	r.Expect(r.readResponse(reader)).To(Equal("200 /1"))
	r.Expect(r.readResponse(reader)).To(Equal("200 /2 last"))
	r.Expect(r.readResponse(reader)).To(Equal("no response"))
	r.Expect(conn.Close()).To(Succeed())
	r.Eventually(shutdownDone, 2*time.Second).Should(Receive(BeNil()))
	r.Expect(started.Load()).To(Equal(int64(2)))
}

// Guards against waiting forever for the body of a request with Expect: 100-continue, and against sending 100 Continue when
// the handler rejects the request.
func TestExpectContinue(t *testing.T) {
	r := start(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		_, _ = io.Copy(w, q.Body)
	})
	head := "POST %s HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
	conn, reader := r.connect(t, fmt.Sprintf(head, "/take"))
	line, err := reader.ReadString('\n')
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(line).To(Equal("HTTP/1.1 100 Continue\r\n"))
	_, err = reader.ReadString('\n')
	r.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(conn, "abc")
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(r.readResponse(reader)).To(Equal("200 abc"))
	_, reader = r.connect(t, fmt.Sprintf(head, "/refuse"))
	r.Expect(r.readResponse(reader)).To(HavePrefix("403"))
}
