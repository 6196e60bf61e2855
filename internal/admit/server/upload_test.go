package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

const (
	uploadSize   = 16 << 20 // more than the buffers of a connection hold, so that the upload is under way when the answer ends
	uploadResets = 50
)

// sendDuringUpload sends an upload to a server that answers without a length before it has read the body, and then calls end.
func sendDuringUpload(t *testing.T, end func(conn *net.TCPConn, unread io.Reader)) (string, *code.Error) {
	g := NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = accepted.Close() }()
		received, err := http.ReadRequest(bufio.NewReader(accepted))
		if err != nil {
			return
		}
		_, _ = io.WriteString(accepted, headStart+"\r\npart")
		time.Sleep(5 * time.Millisecond) // until the upload has filled the buffers of the connection
		end(accepted.(*net.TCPConn), received.Body)
	}()
	c := &Client{Address: netip.MustParseAddrPort(listener.Addr().String()), Dialect: testDialect, Log: logr.Discard()}
	defer c.Close()
	r := request(t, http.MethodPost, "/run", "x")
	r.Body, r.ContentLength = io.NopCloser(io.LimitReader(zeros{}, uploadSize)), uploadSize
	return do(c, &Attempt{Request: r, ID: "1"})
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a reset that only the sender of the request body sees, while the reader of an answer without length sees a regular end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	whole := 0
	for range uploadResets {
		_, failed := sendDuringUpload(t, func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) })
		if failed == nil {
			whole++
			continue
		}
		g.Expect(failed.Outcome).To(Equal(code.Unknown))
	}
	g.Expect(whole).To(BeZero(), "reset answers that passed for whole")
}

// Guards against giving up an answer without length because it ends before the server has read the whole upload.
func TestAnswerBeforeTheEndOfTheUpload(t *testing.T) {
	g := NewWithT(t)
	g.Expect(sendDuringUpload(t, func(conn *net.TCPConn, unread io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, unread)
	})).To(Equal("part"))
}
