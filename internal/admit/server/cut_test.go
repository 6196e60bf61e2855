package server

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

const cutStart = headStart + "X-Stamp: 3e1b.07\r\n"

// cutAnswers are valid answers to the request with the id 1.
var cutAnswers = map[string]struct{ method, raw string }{
	"length": {http.MethodPost, cutStart + "Content-Length: 12\r\n\r\n0123456789ab"},
	"chunks": {http.MethodPost, cutStart + "Transfer-Encoding: chunked\r\n\r\n12\r\n0123456789abcdefgh\r\n1;x\r\n!\r\n0\r\n\r\n"},
	"trailer": {
		http.MethodPost, cutStart + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n1\r\n!\r\n0\r\nX-Sum: 12\r\nX-More: 3\r\n\r\n",
	},
	"no length":   {http.MethodPost, cutStart + "\r\n0123456789ab"},
	"old version": {http.MethodPost, strings.Replace(cutStart, "1.1", "1.0", 1) + "Content-Length: 2\r\n\r\nok"},
	"no content":  {http.MethodPost, strings.Replace(cutStart, "200 OK", "204 No Content", 1) + "\r\n"},
	"head only":   {http.MethodHead, cutStart + "Content-Length: 12\r\n\r\n"},
	"interim before": {
		http.MethodPost,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + cutStart + "Content-Length: 2\r\n\r\nok",
	},
	"folded, repeated": {
		http.MethodPost, cutStart + "X-Note: a\r\n \t b\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
	},
	"bare line feeds": {http.MethodPost, strings.ReplaceAll(cutStart+"Content-Length: 2\r\n\r\nok", "\r", "")},
}

// headLength returns the length of an answer up to the end of its last head, which has a stamp.
func headLength(raw string) int {
	stamp := strings.Index(raw, "X-Stamp")
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if length := strings.Index(raw[stamp:], end); length >= 0 {
			return stamp + length + len(end)
		}
	}
	return len(raw)
}

// resetConn reports the end of the server's bytes as a reset.
type resetConn struct {
	net.Conn
}

func (c resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// exchangeCut sends a request to a server that answers with raw and then closes or resets the connection, or is silent.
func exchangeCut(t *testing.T, method, raw, ending string) (string, *code.Error) {
	c := &Client{Address: netip.MustParseAddrPort("127.0.0.1:80"), Dialect: testDialect, Log: logr.Discard()}
	c.Dial = func(context.Context) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go func() {
			defer func() { _ = serverEnd.Close() }()
			reader := bufio.NewReader(serverEnd)
			_, err := http.ReadRequest(reader)
			if _, writeErr := io.WriteString(serverEnd, raw); err == nil && writeErr == nil && ending == "silence" {
				_, _ = io.Copy(io.Discard, reader)
			}
		}()
		if ending == "reset" {
			return resetConn{clientEnd}, nil
		}
		return clientEnd, nil
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	body := "body"
	if method == http.MethodHead {
		body = ""
	}
	answer, failed := do(c, &Attempt{Request: request(t, method, "/run", body).WithContext(ctx), ID: "1"})
	synctest.Wait() // until the connection is closed or idle
	return answer, failed
}

// Guards against an answer that was cut at any byte of its head, chunks, trailer or body and passes for a complete one or for a proof
// that the request was not run.
func TestCutAnswersNeverLookComplete(t *testing.T) {
	for name, answer := range cutAnswers {
		head := headLength(answer.raw)
		for _, ending := range []string{"close", "reset", "silence"} {
			t.Run(name+", "+ending, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					for cut := range answer.raw {
						body, failed := exchangeCut(t, answer.method, answer.raw[:cut], ending)
						if name == "no length" && ending == "close" && cut >= head {
							g.Expect(body).To(Equal(answer.raw[head:cut]), "such a body ends where the connection does")
							continue
						}
						g.Expect(failed).NotTo(BeNil(), "%q passed with %q", answer.raw[:cut], body)
						g.Expect(failed.Outcome).To(Equal(code.Unknown), answer.raw[:cut])
					}
					_, failed := exchangeCut(t, answer.method, answer.raw, ending)
					g.Expect(failed == nil).To(Equal(name != "no length" || ending == "close"), "the whole answer")
				})
			})
		}
	}
}

// Guards against taking a late answer to another request, which follows a head that broke off, for the rest of that head.
func TestLateAnswerIsNotTheRestOfACutHead(t *testing.T) {
	for name, answer := range cutAnswers {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			for cut := range headLength(answer.raw) {
				body, failed := exchangeCut(t, answer.method, answer.raw[:cut]+reply("0", "late"), "close")
				g.Expect(failed).NotTo(BeNil(), "%s: %q passed with %q", name, answer.raw[:cut], body)
				g.Expect(failed.Outcome).To(Equal(code.Unknown), name)
			}
		})
	}
}
