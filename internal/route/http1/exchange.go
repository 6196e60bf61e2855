package http1

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// exchange is one request and its response. It is the http.ResponseWriter of its handler.
type exchange struct {
	conn    *conn
	request *http.Request
	body    *body
	before  chan struct{} // closed when the request before has been answered
	done    chan struct{} // closed when this one has
	cancel  context.CancelFunc
	close   bool // the connection closes behind the response

	header  http.Header
	begun   bool           // the header has been written
	fixed   int64          // length of the body; -1 when unknown
	written int64          // bytes of the body
	chunks  io.WriteCloser // nil for a body that is not chunked
	aborted atomic.Bool    // the reading of the body has been ended
}

func (x *exchange) run() {
	c := x.conn
	defer c.served.Done()
	defer c.ended()
	defer close(x.done)
	defer x.cancel()
	defer func() {
		failure := recover()
		if failure == nil {
			return
		}
		<-x.before
		x.breakOff()
		if err, ok := failure.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			c.server.Log.Error(nil, "handler-panic", "cause", fmt.Sprint(failure))
		}
	}()
	c.server.Handler.ServeHTTP(x, x.request)
	x.discard()
	x.finish()
}

// discard reads the rest of a body that the handler has left.
func (x *exchange) discard() {
	select {
	case <-x.body.ended:
		return
	default:
	}
	if x.aborted.Load() {
		x.close = true // no more can be read
		return
	}
	_ = x.FlushError() // the caller may wait for the response before it sends the rest
	_ = x.conn.net.SetReadDeadline(time.Now().Add(x.conn.server.Limits().HeaderTimeout))
	if !x.body.discard() {
		x.close = true
	}
	_ = x.conn.net.SetReadDeadline(time.Time{})
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header {
	if x.header == nil {
		x.header = make(http.Header)
	}
	return x.header
}

// WriteHeader implements http.ResponseWriter. It waits until the earlier responses of the connection have left.
func (x *exchange) WriteHeader(status int) {
	if x.begun {
		return
	}
	x.begun = true
	<-x.before
	header := x.Header()
	x.fixed = -1
	if length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64); err == nil {
		x.fixed = length
	}
	bodiless := x.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	chunked := x.fixed < 0 && !bodiless && x.request.ProtoAtLeast(1, 1)
	if bodiless {
		x.fixed = 0
	}
	x.close = x.conn.closesBehind(x, x.close || x.fixed < 0 && !chunked || x.aborted.Load())
	w := x.conn.writer
	text := http.StatusText(status)
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, text) // errors of the writer stay until its flush
	for name, values := range header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			continue
		}
		for _, value := range values {
			_, _ = w.WriteString(name + ": " + value + "\r\n")
		}
	}
	if x.close {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if chunked {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
		x.chunks = httputil.NewChunkedWriter(w)
	}
	_, _ = w.WriteString("\r\n")
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.begun {
		x.WriteHeader(http.StatusOK)
	}
	if x.conn.broken.Load() {
		return 0, io.ErrClosedPipe
	}
	x.written += int64(len(p))
	switch {
	case x.chunks != nil:
		return x.chunks.Write(p)
	case x.fixed >= 0 && x.written > x.fixed:
		return 0, http.ErrContentLength
	default:
		return x.conn.writer.Write(p)
	}
}

// FlushError sends what has been written.
func (x *exchange) FlushError() error {
	if !x.begun {
		return nil
	}
	err := x.conn.writer.Flush()
	if err != nil {
		x.breakOff()
	}
	return err
}

// EnableFullDuplex implements what http.ResponseController asks for. Exchanges always are.
func (x *exchange) EnableFullDuplex() error {
	return nil
}

// SetReadDeadline ends a read of the body; the connection closes behind the response.
func (x *exchange) SetReadDeadline(deadline time.Time) error {
	x.aborted.Store(true)
	return x.conn.net.SetReadDeadline(deadline)
}

// finish completes the response.
func (x *exchange) finish() {
	if !x.begun {
		x.WriteHeader(http.StatusOK)
	}
	if x.fixed > 0 && x.written < x.fixed && x.request.Method != http.MethodHead {
		x.breakOff()
		return
	}
	if x.chunks != nil {
		_ = x.chunks.Close() // an error of the writer shows in its flush
		for name, values := range x.header {
			trailer, found := strings.CutPrefix(name, http.TrailerPrefix)
			for _, value := range values {
				if found {
					_, _ = x.conn.writer.WriteString(trailer + ": " + value + "\r\n")
				}
			}
		}
		_, _ = x.conn.writer.WriteString("\r\n")
	}
	if x.FlushError() == nil && x.close {
		x.conn.stopReading()
	}
}

// breakOff closes the connection, so that a response that is not complete does not look so.
func (x *exchange) breakOff() {
	c := x.conn
	c.broken.Store(true)
	if tcp, ok := c.net.(interface{ SetLinger(seconds int) error }); ok && x.begun && x.chunks == nil && x.fixed < 0 {
		_ = tcp.SetLinger(0) // only a reset tells that a response without a length is not complete
	}
	c.cancel()
	_ = c.net.Close()
}

// sendContinue asks the caller for its body.
func (x *exchange) sendContinue() {
	<-x.before
	if x.begun || x.conn.broken.Load() {
		return
	}
	_, _ = x.conn.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	_ = x.conn.writer.Flush() // a failure shows in the read that follows
}
