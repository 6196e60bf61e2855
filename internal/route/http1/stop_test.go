package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
