package daemon_test

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const cutAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n0123456789ab"

// cutServers answer /cut/N with the first N bytes of cutAnswer and close the connection, and other paths with the path.
type cutServers struct {
	mu   sync.Mutex
	runs map[string]int // by method and path
}

func (c *cutServers) wrap(*system, *node, http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.runs[r.Method+" "+r.URL.Path]++
		c.mu.Unlock()
		text, found := strings.CutPrefix(r.URL.Path, "/cut/")
		if !found {
			_, _ = io.WriteString(w, r.URL.Path)
			return
		}
		length, _ := strconv.Atoi(text)
		conn, _, _ := http.NewResponseController(w).Hijack()
		_, _ = io.WriteString(conn, cutAnswer[:length])
		_ = conn.Close()
	})
}

func (c *cutServers) count(run string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[run]
}

// pipeline sends requests for the paths on one connection and returns the status and body of each response, in order.
func (s *system) pipeline(n *node, paths ...string) (answers []string) {
	conn, err := s.fabric.Process("callers").Dial(s.t.Context(), n.settings.Callers)
	s.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	for _, path := range paths {
		_, err := io.WriteString(conn, "GET /stock"+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		s.Expect(err).NotTo(HaveOccurred())
	}
	reader := bufio.NewReader(conn)
	for range paths {
		response, err := http.ReadResponse(reader, nil)
		s.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		s.Expect(err).NotTo(HaveOccurred())
		answers = append(answers, strconv.Itoa(response.StatusCode)+" "+string(body))
	}
	return answers
}

// Guards against a server's answer that was cut at any byte and reaches its caller as a success or in the place of another one, and against
// a request that runs twice or is reported as not run because of it.
func TestCutAnswersFailInTheirPlace(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		servers := &cutServers{runs: map[string]int{}}
		s := layout{folder: folder, services: []string{"stock", "orders"}, perService: 3, wrap: servers.wrap}.start(t)
		time.Sleep(10 * time.Second)
		client := s.client("callers")
		for length := range cutAnswer {
			time.Sleep(100 * time.Millisecond)
			path, n := "/cut/"+strconv.Itoa(length), s.nodes[length%len(s.nodes)]
			answers := s.pipeline(n, "/before", path, "/after")
			s.Expect(answers[0]).To(Equal("200 /before"), path)
			s.Expect(answers[1]).To(HavePrefix("502 "), path)
			s.Expect(answers[2]).To(Equal("200 /after"), path)
			order := s.send(client, n, s.request(http.MethodPost, "/orders"+path, path, strings.NewReader("order")))
			s.Expect([]any{order.status, order.outcome}).To(Equal([]any{http.StatusBadGateway, "unknown"}), path)
			s.Expect(servers.count("POST "+path)).To(Equal(1), path)
		}
	})
}
