package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	stopRounds       = 150
	stopConnections  = 8
	requestsOnEach   = 400
	longestHandling  = 300 * time.Microsecond
	longestUntilStop = 3 * time.Millisecond
)

// startedRequests are the paths of the requests that the handler was called for.
type startedRequests struct {
	mu    sync.Mutex
	paths map[string]bool
}

func (s *startedRequests) add(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths[path] = true
}

// stoppedCaller sends requests on a connection without waiting for responses.
type stoppedCaller struct {
	conn     net.Conn
	reader   *bufio.Reader
	answered map[string]bool // paths, up to that of the response that closes the connection
}

func (c *stoppedCaller) run(r *harness, connection int) {
	defer func() { _ = c.conn.Close() }()
	go func() {
		for i := range requestsOnEach {
			if _, err := io.WriteString(c.conn, get(fmt.Sprintf("/%d/%d", connection, i))); err != nil {
				return
			}
			if rand.N(4) == 0 {
				time.Sleep(rand.N(longestHandling))
			}
		}
	}()
	for {
		response := r.readResponse(c.reader)
		path, found := strings.CutPrefix(strings.TrimSuffix(response, " last"), "200 ")
		if !found {
			return
		}
		c.answered[path] = true
		if strings.HasSuffix(response, " last") {
			return
		}
	}
}

// Guards against a request that a stopping server starts behind the response that closes its connection: it runs, and nobody reads its
// response.
func TestStopStartsNothingThatIsNotAnswered(t *testing.T) {
	for range stopRounds {
		started := &startedRequests{paths: make(map[string]bool)}
		r := start(t, func(w http.ResponseWriter, q *http.Request) {
			started.add(q.URL.Path)
			time.Sleep(rand.N(longestHandling))
			_, _ = io.WriteString(w, q.URL.Path)
		})
		callers := make([]*stoppedCaller, stopConnections)
		for i := range callers {
			conn, reader := r.connect(t, "")
			callers[i] = &stoppedCaller{conn: conn, reader: reader, answered: make(map[string]bool)}
		}
		var running sync.WaitGroup
		for i, caller := range callers {
			running.Go(func() { caller.run(r, i) })
		}
		time.Sleep(rand.N(longestUntilStop))
		r.server.DisableKeepAlives()
		time.Sleep(rand.N(longestUntilStop))
		r.Expect(r.server.Shutdown(context.Background())).To(Succeed())
		running.Wait()
		for path := range started.paths {
			var connection, i int
			_, err := fmt.Sscanf(path, "/%d/%d", &connection, &i)
			r.Expect(err).NotTo(HaveOccurred())
			r.Expect(callers[connection].answered[path]).To(BeTrue(), "%s was started", path)
		}
	}
}

// starvedListener accepts connections whose reads notice nothing that arrives until their deadline has been moved to the past once.
type starvedListener struct{ net.Listener }

func (l starvedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &starvedConn{Conn: conn, expired: make(chan struct{})}, err
}

type starvedConn struct {
	net.Conn
	once    sync.Once
	expired chan struct{}
	resumed bool // used only by the reader
}

func (c *starvedConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		c.once.Do(func() { close(c.expired) })
	}
	return c.Conn.SetReadDeadline(deadline)
}

func (c *starvedConn) Read(p []byte) (int, error) {
	<-c.expired
	if !c.resumed {
		c.resumed = true
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// Guards against a whole request that gets no response because its server stops before it has noticed or read all of it.
func TestRequestThatArrivesBeforeTheStopIsAnswered(t *testing.T) {
	for name, starved := range map[string]bool{"unnoticed": true, "header incomplete": false} {
		t.Run(name, func(t *testing.T) {
			r := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }, func(s *Server) {
				if starved {
					s.Listener = starvedListener{s.Listener}
				}
			})
			request := get("/")
			sent := len(request)
			if !starved {
				sent -= 2
			}
			conn, reader := r.connect(t, request[:sent])
			time.Sleep(50 * time.Millisecond)
			stopped := make(chan error, 1)
			go func() { stopped <- r.server.Shutdown(context.Background()) }()
			time.Sleep(50 * time.Millisecond)
			_, err := io.WriteString(conn, request[sent:])
			r.Expect(err).NotTo(HaveOccurred())
			r.Expect(r.readResponse(reader)).To(Equal("200 served last"))
			r.Expect(<-stopped).To(Succeed())
		})
	}
}
