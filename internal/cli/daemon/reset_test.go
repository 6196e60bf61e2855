package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	resetFolder   = "[service front]\n[service stock]\nslots = 64\nqueue = 64\nidempotent = POST /idempotent/**\n"
	resetUpload   = 16 << 20 // more than all buffers on the path hold, so that the upload is under way when the response ends
	resetTries    = 6
	resetHead     = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart"
	resetSlowness = 150 * time.Millisecond // beyond the time after which a hedge is sent
)

// invalidAnswers are the responses to requests for /invalid/N. The connection stays open after them.
var invalidAnswers = []string{
	"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 700 Late\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1.1 999 Last\r\n\r\nno",
	"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Other : x\r\n\r\nno",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
}

// resetServer is a server on TCP that answers most requests completely. It answers requests for /WORD or /idempotent/WORD with a part of
// a response without length, before it has read their bodies, and ends the connection as WORD says.
type resetServer struct {
	*net.TCPListener
	runs atomic.Int64 // requests that it ended that way
}

func startResetServer(t *testing.T) *resetServer {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := &resetServer{TCPListener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *resetServer) address() netip.AddrPort {
	return s.Addr().(*net.TCPAddr).AddrPort()
}

func (s *resetServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		word := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		if word == "slow" {
			s.runs.Add(1)
			time.Sleep(resetSlowness)
			word = "reset"
		}
		if n, found := strings.CutPrefix(r.URL.Path, "/invalid/"); found {
			s.runs.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			index, _ := strconv.Atoi(n)
			_, _ = io.WriteString(conn, invalidAnswers[index])
			continue
		}
		if !slices.Contains([]string{"reset", "unread", "end-reset", "part-read"}, word) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		s.runs.Add(1)
		if word == "part-read" {
			_, _ = io.CopyN(io.Discard, r.Body, 1<<20)
		}
		_, _ = io.WriteString(conn, resetHead)
		time.Sleep(20 * time.Millisecond) // until the upload has filled the buffers of the path
		switch word {
		case "reset", "part-read":
			_ = conn.SetLinger(0)
		case "end-reset":
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		}
		return // with unread bytes, closing resets the connection as well
	}
}

// trickle is a body that is sent slowly, so that the daemons wait for the caller when the response ends.
type trickle struct{ left int }

func (b *trickle) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	time.Sleep(20 * time.Millisecond)
	return copy(p, "0123456789"), nil
}

// exchange sends a request with the body and returns the response as far as it arrived, and whether it looked complete.
func (p *twoDaemons) exchange(method, path string, body io.Reader) (status int, text string, complete bool) {
	request, err := http.NewRequestWithContext(p.b.Context(), method, strings.Replace(p.through, "/jars/1", path, 1), body)
	if err != nil {
		p.b.Fatal(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil
}

// awaitServer waits until the server answers through both daemons.
func (p *twoDaemons) awaitServer(g *WithT) {
	g.Eventually(func() string {
		_, text, _ := p.exchange(http.MethodGet, "/jars/1", nil)
		return text
	}).WithTimeout(20 * time.Second).WithPolling(50 * time.Millisecond).Should(Equal("ok"))
}

// Guards against a part of a response without length that reaches the caller as a complete one, because the server resets the connection
// while the upload is still being written or awaited from the caller; over TCP, through the daemons of the caller and of the server.
func TestResetDuringUploadReachesTheCaller(t *testing.T) {
	g := NewWithT(t)
	server := startResetServer(t)
	p := &twoDaemons{b: t}
	p.run(resetFolder, server.address())
	p.awaitServer(g)
	bodies := map[string]func() io.Reader{
		"large":   func() io.Reader { return io.LimitReader(zeros{}, resetUpload) },
		"trickle": func() io.Reader { return &trickle{left: 100} },
		"none":    func() io.Reader { return http.NoBody },
	}
	reached := 0 // the caller
	for _, prefix := range []string{"/", "/idempotent/"} {
		for _, ending := range []string{"reset", "unread", "end-reset", "part-read"} {
			for name, body := range bodies {
				if name == "none" && ending != "reset" || name == "trickle" && ending == "part-read" {
					continue // such a response ends regularly, or such a body is never read that far
				}
				for range resetTries {
					before := server.runs.Load()
					status, text, complete := p.exchange(http.MethodPost, prefix+ending, body())
					if status == http.StatusOK {
						reached++
						g.Expect(complete).To(BeFalse(), "%s%s with body %s: %q passed for a complete response", prefix, ending, name, text)
					}
					if prefix == "/" {
						g.Expect(server.runs.Load()-before).To(BeNumerically("<=", 1), "runs of a request that must run once")
					}
				}
			}
		}
	}
	g.Expect(reached).To(BeNumerically(">", 0), "parts of responses that reached the caller")
}

// Guards against a response with an invalid status, or an interim one with a body, that reaches the caller, keeps the request waiting until
// its deadline, makes it run twice, or counts as proof that it did not run; over TCP and two daemons.
func TestInvalidAnswersFailAtOnce(t *testing.T) {
	g := NewWithT(t)
	server := startResetServer(t)
	p := &twoDaemons{b: t}
	p.run(strings.Replace(resetFolder, "stock]", "stock]\ntimeout = 30s", 1), server.address())
	p.awaitServer(g)
	for n := range invalidAnswers {
		began, before := time.Now(), server.runs.Load()
		status, text, _ := p.exchange(http.MethodPost, "/invalid/"+strconv.Itoa(n), strings.NewReader("order"))
		g.Expect(status).To(Equal(http.StatusBadGateway), "%q: %s", invalidAnswers[n], text)
		g.Expect(text).To(ContainSubstring(`"outcome":"unknown"`))
		g.Expect(server.runs.Load()-before).To(BeEquivalentTo(1), invalidAnswers[n])
		g.Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second), invalidAnswers[n])
	}
}

// Guards against a part of a response without length that passes for a complete one when the request was hedged and both servers reset
// their connections.
func TestResetOfAHedgedRequestReachesTheCaller(t *testing.T) {
	g := NewWithT(t)
	servers := []*resetServer{startResetServer(t), startResetServer(t)}
	p := &twoDaemons{b: t}
	p.run(resetFolder, servers[0].address(), servers[1].address())
	answered := 0
	g.Eventually(func() int { // a hedge needs the latencies of some hundred answers, and a budget
		if _, text, _ := p.exchange(http.MethodGet, "/jars/1", nil); text == "ok" {
			answered++
		}
		return answered
	}).WithTimeout(20 * time.Second).WithPolling(time.Millisecond).Should(BeNumerically(">=", 300))
	for range resetTries {
		status, text, complete := p.exchange(http.MethodGet, "/slow", nil)
		if status == http.StatusOK {
			g.Expect(complete).To(BeFalse(), "%q passed for a complete response", text)
		}
	}
	g.Expect(servers[0].runs.Load()+servers[1].runs.Load()).To(BeNumerically(">", resetTries), "runs, with hedges")
}
