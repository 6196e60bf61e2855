package server

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
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

// Guards against bytes of a server that end the process, hold a request, or pass for a complete answer of another request or length.
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
		if failed != nil {
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
		for _, id := range response.Header.Values("X-Id") {
			g.Expect(id).To(Equal("1"))
		}
		g.Expect(response.Header.Values("X-Id")).NotTo(BeEmpty())
		g.Expect(bytes.Contains(raw, body) || len(response.TransferEncoding) > 0).To(BeTrue(), "bytes that the server did not send")
		if response.ContentLength > 0 {
			g.Expect(body).To(HaveLen(int(response.ContentLength)))
		}
	})
}
