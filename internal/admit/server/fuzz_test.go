package server

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// answeringClient returns a client of a server that answers a request with the bytes and closes the connection.
func answeringClient(answer []byte) *Client {
	c := &Client{Address: netip.MustParseAddrPort("127.0.0.1:80"), Dialect: testDialect, Log: logr.Discard()}
	c.Dial = func(context.Context) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go func() {
			defer func() { _ = serverEnd.Close() }()
			if request, err := http.ReadRequest(bufio.NewReader(serverEnd)); err != nil || request.Body.Close() != nil {
				return
			}
			_, _ = serverEnd.Write(answer)
		}()
		return clientEnd, nil
	}
	return c
}

// statusLine matches the status of the first response.
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] +([^ \r\n]*)`)

func invalidStatus(status []byte) bool {
	number, err := strconv.Atoi(string(status))
	return err != nil || len(status) != 3 || number < 100 || number > 599
}

// Guards against bytes of a server that end the process, hold a request, or pass for a complete answer of another request or length, and
// against a response with an invalid status or one behind it.
func FuzzAnswer(f *testing.F) {
	for _, pieces := range endlessHeads {
		f.Add([]byte(pieces[0] + pieces[1] + pieces[1]))
	}
	for _, pieces := range endlessBodies {
		f.Add([]byte(pieces[0] + pieces[1] + pieces[1]))
	}
	for _, answer := range cutAnswers {
		f.Add([]byte(answer.raw))
	}
	for _, status := range []string{"000", "099", "100", "599", "600", "999", "+20"} {
		start := strings.Replace(headStart, "200", status, 1) + "Content-Length: 2\r\n\r\n"
		f.Add([]byte(start + "ok"))
		f.Add([]byte(start + reply("1", "ok")))
		f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\n" + start + "ok"))
	}
	f.Add([]byte(reply("1", "ok", "X-A : z")))
	f.Add([]byte(headStart + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX T: z\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		g := NewWithT(t)
		c := answeringClient(raw)
		defer c.Close()
		ctx, cancel := context.WithTimeout(t.Context(), endlessDeadline)
		defer cancel()
		r := request(t, http.MethodPost, "/run", "").WithContext(ctx)
		r.Header.Set("X-Id", "1")
		began := time.Now()
		response, failed := c.Do(&Attempt{Request: r, ID: "1"})
		g.Expect(time.Since(began)).To(BeNumerically("<", endlessDeadline))
		if firstStatus := statusLine.FindSubmatch(raw); firstStatus != nil && invalidStatus(firstStatus[1]) {
			g.Expect(failed).NotTo(BeNil(), "a response behind one with an invalid status")
			g.Expect(failed.Outcome).To(Equal(code.Unknown))
		}
		if failed != nil {
			return
		}
		g.Expect(response.StatusCode).To(And(BeNumerically(">=", 200), BeNumerically("<", 600)))
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
		for _, id := range response.Header.Values("X-Id") {
			g.Expect(id).To(Equal("1"))
		}
		g.Expect(response.Header.Values("X-Id")).NotTo(BeEmpty())
		for name := range response.Header {
			g.Expect(name).NotTo(ContainSubstring(" "))
		}
		for name := range response.Trailer {
			g.Expect(name).NotTo(ContainSubstring(" "))
		}
		g.Expect(bytes.Contains(raw, body) || len(response.TransferEncoding) > 0).To(BeTrue(), "bytes that the server did not send")
		if response.ContentLength > 0 {
			g.Expect(body).To(HaveLen(int(response.ContentLength)))
		}
	})
}
