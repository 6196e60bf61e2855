package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	earlyFolder = "[service front]\n[service stock]\nidempotent = POST /idempotent/**\n"
	earlyPiece  = 30_000
	earlyPieces = 30
	manyPieces  = 220 // more than the buffers between two processes hold, less than those on the whole path
)

// answerEarly answers an upload once it has its first byte, and reads on to its end, of which it tells received; of /cut it reads no more,
// and of /paused after more time than an ack may take.
func answerEarly(received chan<- string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		control, first := http.NewResponseController(w), make([]byte, 1)
		_ = control.EnableFullDuplex()
		_, _ = io.ReadFull(r.Body, first)
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "ok")
		_ = control.Flush()
		if r.Method == http.MethodGet {
			return
		}
		if r.URL.Path == "/cut" {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/paused" {
			time.Sleep(time.Second)
		}
		rest, err := io.ReadAll(r.Body)
		received <- fmt.Sprint(string(first)+string(rest), err)
	}
}

// upload sends the head and the first piece of an upload in pieces of a letter each, reads the response, and then sends the other pieces
// and another request.
func (p *twoDaemons) upload(g *WithT, path, framing string, pieces int) (conn net.Conn, reader *bufio.Reader, sent string) {
	address, _, _ := strings.Cut(strings.TrimPrefix(p.through, "http://"), "/")
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	p.b.Cleanup(func() { _ = conn.Close() })
	g.Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, _ = fmt.Fprintf(conn, "POST /stock%s HTTP/1.1\r\nHost: h\r\nRequest-Timeout: 2s\r\n%s\r\n\r\n", path, framing)
	reader = bufio.NewReader(conn)
	for n := range pieces {
		piece := strings.Repeat(string(rune('a'+n%26)), earlyPiece)
		sent += piece
		if strings.Contains(framing, "chunked") {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return conn, reader, "broken"
		}
		if n == 0 {
			g.Expect(readOK(reader)).To(Equal("ok"), "response to a caller that awaits it before it sends on")
		}
	}
	return conn, reader, sent
}

func readOK(reader *bufio.Reader) string {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err.Error()
	}
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// Guards against an upload of which the server gets a part only, because it answers before it has read the rest; over two daemons.
func TestEarlyAnswerKeepsTheUpload(t *testing.T) {
	g := NewWithT(t)
	received := make(chan string, 1)
	p := &twoDaemons{b: t}
	p.run(earlyFolder, p.serve(answerEarly(received)))
	p.awaitServer(g)
	length := fmt.Sprintf("Content-Length: %d", earlyPieces*earlyPiece)
	for _, path := range []string{"/stored", "/idempotent/stored"} {
		for _, framing := range []string{"Transfer-Encoding: chunked", length} {
			conn, reader, sent := p.upload(g, path, framing, earlyPieces)
			if framing != length {
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}
			g.Eventually(received, 10*time.Second).Should(Receive(Equal(sent+"<nil>")), path+" "+framing)
			_, _ = io.WriteString(conn, "GET /stock/jars/1 HTTP/1.1\r\nHost: h\r\n\r\n")
			g.Expect(readOK(reader)).To(Equal("ok"), "next request of the connection")

			conn, _, _ = p.upload(g, path, framing, 2)
			_ = conn.Close()
			g.Eventually(received, time.Second).Should(Receive(HaveSuffix("EOF")), "a caller that leaves")
			p.upload(g, path, framing, 2)
			g.Eventually(received, 10*time.Second).Should(Receive(HaveSuffix("EOF")), "a caller that stops, at the deadline")

			_, reader, _ = p.upload(g, "/cut", framing, 2)
			g.Expect(readOK(reader)).To(Or(ContainSubstring("EOF"), ContainSubstring("reset")), "connection of a rest that broke off")
		}
	}
}

// Guards against a call on the connection of an upload that the server's daemon has not received to its end: its ack is late, and the
// connection is closed.
func TestNoCallWaitsBehindAnUpload(t *testing.T) {
	g := NewWithT(t)
	received := make(chan string, 1)
	p := &twoDaemons{b: t}
	p.run(earlyFolder, p.serve(answerEarly(received)))
	p.awaitServer(g)
	_, _, sent := p.upload(g, "/paused", fmt.Sprintf("Content-Length: %d", manyPieces*earlyPiece), manyPieces)
	for range 20 {
		_, text, _ := p.exchange(http.MethodGet, "/jars/1", nil)
		g.Expect(text).To(Equal("ok"))
	}
	g.Eventually(received, 10*time.Second).Should(Receive(Equal(sent + "<nil>")))
}
