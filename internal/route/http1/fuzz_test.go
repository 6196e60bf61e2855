package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
)

// pipeListener accepts the server's end of one pipe.
type pipeListener struct {
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (l *pipeListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against bytes of a caller that end the process or hold the connection, and against a response behind one that closes it.
func FuzzRequests(f *testing.F) {
	for _, text := range []string{
		get("/1") + get("/2"), "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get("/2"), get("/1") + "no request\r\n\r\n",
		"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get("/2"),
		"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: 1\r\n\r\n" + get("/2"),
		"POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + get("/2"),
		"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/2"), "GET  / HTTP/1.1\r\n\r\n", "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		g := NewWithT(t)
		listener := &pipeListener{conns: make(chan net.Conn, 1)}
		server := &Server{
			Listener: listener, Log: logr.Discard(),
			Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { _, _ = io.Copy(w, q.Body) }),
			Limits: func() Limits {
				return Limits{HeaderBytes: 2 << 10, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
			},
		}
		done := make(chan error, 1)
		go func() { done <- server.Run() }()
		caller, accepted := net.Pipe()
		listener.conns <- accepted
		close(listener.conns)
		g.Expect(caller.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		go func() { _, _ = caller.Write(raw) }()
		responses, err := io.ReadAll(caller)
		g.Expect(err).NotTo(HaveOccurred(), "the server ends the connection")
		g.Expect(<-done).To(Succeed())
		expectNothingAfterClose(g, string(responses))
	})
}

// expectNothingAfterClose checks the responses as far as they can be read without the requests' methods.
func expectNothingAfterClose(g *WithT, responses string) {
	reader := bufio.NewReader(strings.NewReader(responses))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return
		}
		if response.Close {
			_, err := reader.ReadByte()
			g.Expect(err).To(MatchError(io.EOF), "bytes behind a response that closes the connection")
			return
		}
	}
}
