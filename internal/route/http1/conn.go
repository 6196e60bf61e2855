package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// maxDiscardBytes is the maximum number of bytes to discard of a body that the handler has not read, or after the last request. After
// a longer body, the connection closes.
const maxDiscardBytes = 256 << 10

// lingerTimeout is how long a connection is still read after its last response. Closing at once would make bytes that the
// caller is still sending reset the connection, before the caller has received the response.
const lingerTimeout = 500 * time.Millisecond

// arrivedTimeout is how long a connection whose idle time is over is read once more. A process that got no processor time has not noticed
// yet what has arrived before.
const arrivedTimeout = 20 * time.Millisecond

// headerSlack is added to the header limit, as in net/http.
const headerSlack = 4 << 10

var errHeaderTooLarge = errors.New("request header exceeds the size limit")

// conn is a caller's connection. Its reader goroutine starts a goroutine for each request.
type conn struct {
	server       *Server
	net          net.Conn
	headerReader headerReader
	reader       *bufio.Reader
	writer       *bufio.Writer // used only by the oldest unfinished exchange: see exchange.prevDone
	ctx          context.Context
	cancel       context.CancelFunc
	lastDone     chan struct{} // closed when the exchange of the last request read so far is done
	inFlight     chan struct{} // semaphore of maxPipelined places; one is taken before a request is read
	exchanges    sync.WaitGroup
	bodyUnread   bool // the body of the last request was not read to its end; used only by the reader goroutine

	mu       sync.Mutex
	pending  int           // requests in service
	waiting  bool          // the reader is waiting for the first byte of a request
	stopped  bool          // no further request is awaited
	closing  bool          // a response that closes the connection has been started: it is the last one, and nothing follows it
	lastRead *exchange     // exchange of the last request read
	exposed  chan struct{} // closed when the last exchange is done whose response was begun though it can break off; nil before

	broken atomic.Bool // nothing more may be written
}

// headerReader limits the bytes that are read for a request header.
type headerReader struct {
	src       io.Reader
	remaining int // no limit when negative
}

// Read implements io.Reader.
func (r *headerReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if r.remaining > 0 && len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.src.Read(p)
	if r.remaining > 0 {
		r.remaining -= n
	}
	return n, err
}

func newConn(s *Server, netConn net.Conn) *conn {
	c := &conn{server: s, net: netConn, lastDone: make(chan struct{}), inFlight: make(chan struct{}, maxPipelined)}
	close(c.lastDone)
	c.headerReader = headerReader{src: netConn, remaining: -1}
	c.reader = bufio.NewReader(&c.headerReader)
	c.writer = bufio.NewWriter(netConn)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) run() {
	defer c.server.removeConn(c)
	callerGone := c.read()
	if callerGone {
		c.cancel() // nobody is left to receive the responses
	}
	c.awaitExchanges()
	c.cancel()
	c.closeGracefully()
}

// awaitExchanges waits for the requests in service after the last one has been read, and cancels them if the caller disconnects. After an
// unread body there are none, and a handler may still be reading that body.
func (c *conn) awaitExchanges() {
	if c.bodyUnread {
		c.exchanges.Wait()
		return
	}
	_ = c.net.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.exchanges.Wait()
		_ = c.net.SetReadDeadline(time.Unix(1, 0)) // ends the read below
	}()
	_, err := io.CopyN(io.Discard, c.reader, maxDiscardBytes) // bytes after the last request are not parsed as a request
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
	<-ended
}

// closeGracefully closes the connection after its last response, and lingers so that the caller receives it.
func (c *conn) closeGracefully() {
	if halfCloser, ok := c.net.(interface{ CloseWrite() error }); ok && !c.broken.Load() && halfCloser.CloseWrite() == nil {
		_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
		c.headerReader.remaining = -1
		_, _ = io.CopyN(io.Discard, c.reader, maxDiscardBytes) // bytes after the last request are not parsed as a request
	}
	_ = c.net.Close()
}

// read reads and starts requests until the connection takes no more. It reports whether the caller has disconnected.
func (c *conn) read() (callerGone bool) {
	for {
		limits := c.server.Limits()
		if !c.waitForRequest(limits) {
			return false
		}
		err := c.awaitFirstByte()
		if !c.beginHeader(limits) || errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if err != nil {
			return true
		}
		c.headerReader.remaining = max(0, limits.HeaderBytes+headerSlack-c.reader.Buffered())
		request, err := http.ReadRequest(c.reader)
		c.headerReader.remaining = -1
		if err == nil {
			err = hdrs.CheckFields(request.Header)
		}
		if err != nil {
			return c.rejectMalformed(err)
		}
		_ = c.net.SetReadDeadline(time.Time{})
		if c.startExchange(request) {
			return false
		}
	}
}

// waitForRequest waits until fewer than maxPipelined requests are in service, and starts the idle timeout if there are none.
// It reports false when no further request may be read.
func (c *conn) waitForRequest(limits Limits) bool {
	c.inFlight <- struct{}{}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.waiting = true
	if c.pending == 0 && c.reader.Buffered() == 0 {
		_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	}
	return true
}

// awaitFirstByte waits for a request until the read deadline. On an idle connection it returns os.ErrDeadlineExceeded only if nothing has
// arrived. Behind other requests, one that is not read is sent again by its caller.
func (c *conn) awaitFirstByte() error {
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isIdle() {
		_ = c.net.SetReadDeadline(time.Now().Add(arrivedTimeout))
		_, err = c.reader.Peek(1)
	}
	return err
}

// beginHeader starts the timeout for a request's header. It reports false when no further request may be read: a request behind the
// response that closes the connection counts as not read.
func (c *conn) beginHeader(limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.closing {
		return false
	}
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	return true
}

func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.waiting {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// closesAfter reports whether the connection closes after the response of x; if so, no further request is started. A request behind
// a response that closes counts as not read, and its caller sends it again. Hence only the last request read may ask for it, and with
// keep-alives disabled only its response closes the connection.
func (c *conn) closesAfter(x *exchange, requested bool) bool {
	keepAlivesOff := c.server.keepAlivesDisabled()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !requested && (!keepAlivesOff || c.lastRead != x) {
		return false
	}
	c.stopped, c.closing = true, true
	return true
}

// exchangeDone is called when an exchange has ended. It starts the idle timeout after the last one.
func (c *conn) exchangeDone() {
	<-c.inFlight
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && c.waiting && !c.stopped {
		_ = c.net.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout))
	}
}

// rejectMalformed responds to a request header that is invalid, too large or late. It reports whether the caller has
// disconnected instead.
func (c *conn) rejectMalformed(err error) bool {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return true
	}
	var netErr net.Error
	if status == http.StatusBadRequest && errors.As(err, &netErr) {
		return true
	}
	c.server.Log.Info("request-malformed", "peer", c.net.RemoteAddr(), "status", status, "cause", safeCause(err))
	<-c.lastDone
	if !c.broken.Load() && !c.isClosing() {
		_, _ = fmt.Fprintf(c.net, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	}
	return false
}

// safeCause returns the text of a parse error without the part of the request that it quotes, which may contain a caller's key.
func safeCause(err error) string {
	text := err.Error()
	if end := strings.IndexAny(text, ":\""); end >= 0 {
		text = text[:end]
	}
	return strings.TrimSpace(text)
}

// newExchange returns the exchange of a request behind those read so far. Responses of HTTP/1.0 end their connections.
func (c *conn) newExchange(request *http.Request) *exchange {
	ctx, cancel := context.WithCancel(c.ctx)
	request.RemoteAddr = c.net.RemoteAddr().String()
	x := &exchange{conn: c, prevDone: c.lastDone, done: make(chan struct{}), cancel: cancel}
	x.close = request.Close || !request.ProtoAtLeast(1, 1)
	x.request, x.body = request.WithContext(ctx), newBody(x, request)
	if request.Body != http.NoBody && request.ContentLength != 0 {
		x.request.Body = x.body
	}
	return x
}

// startExchange starts a request and returns when the next one may be read: its body has been read, or it has ended. It
// reports whether no further request can be read.
func (c *conn) startExchange(request *http.Request) (last bool) {
	x := c.newExchange(request)
	closes := x.close // x belongs to its own goroutine from here on
	if !c.register(x) {
		x.cancel()
		return true
	}
	go x.run()
	select {
	case <-x.body.ended:
	case <-x.done:
		select {
		case <-x.body.ended:
		default:
			c.bodyUnread = true
			return true // the unread body precedes the next request
		}
	}
	return closes || x.body.isAborted()
}

// register makes x the exchange of the last request read. It reports false when no further request may be started. A request that had
// begun to arrive when the connection was stopped is the last one.
func (c *conn) register(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	x.exposed = c.exposed
	c.lastRead, c.lastDone = x, x.done
	c.exchanges.Add(1)
	return true
}
