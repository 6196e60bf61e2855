package http1

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// exchange is a request with its response. It is the handler's http.ResponseWriter.
type exchange struct {
	conn     *conn
	request  *http.Request
	body     *body
	prevDone chan struct{} // closed when the previous exchange on the connection is done; nothing is written before
	exposed  chan struct{} // closed when an earlier exchange is done whose response can break off; the request does not run before
	done     chan struct{} // closed when this exchange is done
	cancel   context.CancelFunc
	close    bool // the connection closes after the response

	header        http.Header
	wroteHeader   bool           // WriteHeader was called; it may still be waiting for prevDone
	contentLength int64          // of the response; -1 when unknown
	written       int64          // bytes of the response body
	finished      bool           // the response is complete
	chunkWriter   io.WriteCloser // nil unless the response body is chunked
}

func (x *exchange) run() {
	c := x.conn
	defer c.exchanges.Done()
	defer c.exchangeDone()
	defer close(x.done)
	defer x.cancel()
	defer func() {
		panicValue := recover()
		if panicValue == nil {
			return
		}
		<-x.prevDone
		x.abort()
		if err, ok := panicValue.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			c.server.Log.Error(nil, "handler-panic", "cause", fmt.Sprint(panicValue))
		}
	}()
	if !x.awaitExposed() {
		return
	}
	c.server.Handler.ServeHTTP(x, x.request)
	x.discardBody()
	x.finish()
}

// discardBody reads the rest of a request body that the handler has not read, since the next request follows it.
func (x *exchange) discardBody() {
	select {
	case <-x.body.ended:
		return
	default:
	}
	if x.body.isAborted() {
		x.close = true // the rest of the body cannot be read
		return
	}
	_ = x.FlushError() // the caller may wait for the response before it sends the rest of the body
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

// Turn returns a channel that is closed when the earlier responses of the connection have been written.
func (x *exchange) Turn() <-chan struct{} {
	return x.prevDone
}

// Expose reports whether the response may begin though it can still break off and close the connection: no request behind it is in service,
// whose response would be lost. Requests that are read from then on run when this exchange is done.
func (x *exchange) Expose() bool {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRead != x {
		return false
	}
	c.exposed = x.done
	return true
}

// maxExposedWait bounds the wait for an earlier response that can break off. It is short against the deadlines of callers, which it does
// not reduce.
const maxExposedWait = 200 * time.Millisecond

// awaitExposed waits for an earlier response that can break off. It reports whether the request may run: on a connection that has closed it
// counts as not read.
func (x *exchange) awaitExposed() bool {
	if x.exposed == nil {
		return true
	}
	timer := time.NewTimer(maxExposedWait)
	defer timer.Stop()
	select {
	case <-x.exposed:
	case <-timer.C:
	case <-x.request.Context().Done():
	}
	return !x.conn.broken.Load() && x.request.Context().Err() == nil
}

// WriteHeader implements http.ResponseWriter. It waits until the earlier responses of the connection have been written.
func (x *exchange) WriteHeader(status int) {
	if x.wroteHeader {
		return
	}
	x.wroteHeader = true
	<-x.prevDone
	header := x.Header()
	x.contentLength = -1
	if length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64); err == nil {
		x.contentLength = length
	}
	bodiless := x.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	chunked := x.contentLength < 0 && !bodiless && x.request.ProtoAtLeast(1, 1)
	if bodiless {
		x.contentLength = 0
	}
	x.close = x.conn.closesAfter(x, x.close || x.contentLength < 0 && !chunked || x.body.isAborted())
	w := x.conn.writer
	text := http.StatusText(status)
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, text) // errors are returned by the writer's next flush
	for name, values := range header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			continue
		}
		x.conn.writeField(name, values)
	}
	if x.close {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	if chunked {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
		x.chunkWriter = httputil.NewChunkedWriter(w)
	}
	_, _ = w.WriteString("\r\n")
}

// writeField writes the lines of a field, as net/http does without those that would not be valid.
func (c *conn) writeField(name string, values []string) {
	for _, value := range values {
		if httpguts.ValidHeaderFieldName(name) && httpguts.ValidHeaderFieldValue(value) {
			_, _ = c.writer.WriteString(name + ": " + value + "\r\n") // errors are returned by the writer's next flush
		}
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(p []byte) (int, error) {
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if x.conn.broken.Load() {
		return 0, io.ErrClosedPipe
	}
	x.written += int64(len(p))
	switch {
	case x.chunkWriter != nil:
		return x.chunkWriter.Write(p)
	case x.contentLength >= 0 && x.written > x.contentLength:
		return 0, http.ErrContentLength
	default:
		return x.conn.writer.Write(p)
	}
}

// FlushError implements what http.ResponseController asks for.
func (x *exchange) FlushError() error {
	if !x.wroteHeader {
		return nil
	}
	err := x.conn.writer.Flush()
	if err != nil {
		x.abort()
	}
	return err
}

// EnableFullDuplex implements what http.ResponseController asks for. Exchanges are always full duplex.
func (x *exchange) EnableFullDuplex() error {
	return nil
}

// SetReadDeadline aborts the reading of the request body, unless its end has been read. The connection then closes after the response,
// and no request that follows the body is read.
func (x *exchange) SetReadDeadline(deadline time.Time) error {
	return x.body.abort(deadline)
}

// finish completes the response, and with it the exchange.
func (x *exchange) finish() {
	if x.FinishResponse() == nil && x.close {
		x.conn.stopReading()
	}
}

// FinishResponse completes the response while the handler goes on, so that a body that is still being read does not delay it. A response
// shorter than its Content-Length aborts the connection.
func (x *exchange) FinishResponse() error {
	if x.finished {
		return nil
	}
	x.finished = true
	if !x.wroteHeader {
		x.WriteHeader(http.StatusOK)
	}
	if x.contentLength > 0 && x.written < x.contentLength && x.request.Method != http.MethodHead {
		x.abort()
		return io.ErrUnexpectedEOF
	}
	if x.chunkWriter != nil {
		_ = x.chunkWriter.Close() // errors are returned by the flush below
		for name, values := range x.header {
			if trailer, found := strings.CutPrefix(name, http.TrailerPrefix); found {
				x.conn.writeField(trailer, values)
			}
		}
		_, _ = x.conn.writer.WriteString("\r\n")
	}
	return x.FlushError()
}

// abort closes the connection, so that an incomplete response does not look complete.
func (x *exchange) abort() {
	c := x.conn
	c.broken.Store(true)
	if tcp, ok := c.net.(interface{ SetLinger(seconds int) error }); ok && x.wroteHeader && x.chunkWriter == nil && x.contentLength < 0 {
		_ = tcp.SetLinger(0) // without length and chunks, only a reset shows that the response is incomplete
	}
	c.cancel()
	_ = c.net.Close()
}

// sendContinue sends 100 Continue, unless a response has been started.
func (x *exchange) sendContinue() {
	<-x.prevDone
	if x.wroteHeader || x.conn.broken.Load() {
		return
	}
	_, _ = x.conn.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
	_ = x.conn.writer.Flush() // an error shows in the read that follows
}
