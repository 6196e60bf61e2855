package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxDiscardBytes bounds what is read of a body that no handler has read; the connection closes behind a longer one.
const maxDiscardBytes = 256 << 10

// lingerTimeout is how long a connection is still read after its last response, so that bytes on their way do not reset it
// before the caller has the response.
const lingerTimeout = 500 * time.Millisecond

// headerSlack is added to the bound of a header, as net/http does.
const headerSlack = 4 << 10

var errHeaderTooLarge = errors.New("header above its bound")

// conn is one connection. Its reader goroutine starts a goroutine for each request.
type conn struct {
	server    *Server
	net       net.Conn
	header    headerReader
	reader    *bufio.Reader
	writer    *bufio.Writer // of whose turn it is
	ctx       context.Context
	cancel    context.CancelFunc
	lastDone  chan struct{} // closed when the present last exchange has been answered
	inService chan struct{}
	served    sync.WaitGroup

	mu      sync.Mutex
	pending int  // requests in service
	waiting bool // the reader waits for the first byte of a request
	stopped bool // the reader reads no further request
	latest  *exchange

	broken atomic.Bool // no further response may be written
}

// headerReader bounds the bytes of a header.
type headerReader struct {
	src       io.Reader
	remaining int // below 0: no bound
}

// Read implements io.Reader.
func (l *headerReader) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.src.Read(p)
	if l.remaining > 0 {
		l.remaining -= n
	}
	return n, err
}

func newConn(s *Server, netConn net.Conn) *conn {
	c := &conn{server: s, net: netConn, lastDone: make(chan struct{}), inService: make(chan struct{}, maxPipelined)}
	close(c.lastDone)
	c.header = headerReader{src: netConn, remaining: -1}
	c.reader = bufio.NewReader(&c.header)
	c.writer = bufio.NewWriter(netConn)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) run() {
	defer c.server.removeConn(c)
	callerGone := c.read()
	if callerGone {
		c.cancel() // the caller has left; nobody takes the responses
	}
	c.served.Wait()
	c.cancel()
	c.closeGracefully()
}

// closeGracefully closes the connection after its last response.
func (c *conn) closeGracefully() {
	if halfCloser, ok := c.net.(interface{ CloseWrite() error }); ok && !c.broken.Load() && halfCloser.CloseWrite() == nil {
		_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
		c.header.remaining = -1
		_, _ = io.CopyN(io.Discard, c.reader, maxDiscardBytes) // what a caller sent behind the last request is not read as one
	}
	_ = c.net.Close()
}

// read starts the requests of the connection. It reports whether the caller has gone.
func (c *conn) read() (callerGone bool) {
	for {
		limits := c.server.Limits()
		if !c.waitForRequest(limits) {
			return false
		}
		_, err := c.reader.Peek(1)
		if !c.beginHeader(limits) || errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if err != nil {
			return true
		}
		c.header.remaining = max(0, limits.HeaderBytes+headerSlack-c.reader.Buffered())
		request, err := http.ReadRequest(c.reader)
		c.header.remaining = -1
		if err != nil {
			return c.rejectMalformed(err)
		}
		_ = c.net.SetReadDeadline(time.Time{})
		if c.isStopped() || c.startExchange(request) {
			return false
		}
	}
}

// waitForRequest waits for the right to read another request. The idle timeout begins when no request is in service.
func (c *conn) waitForRequest(limits Limits) bool {
	c.inService <- struct{}{}
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

// beginHeader begins the time for a header. It reports false when the reader must stop.
func (c *conn) beginHeader(limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.stopped {
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

func (c *conn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// closesAfter decides whether the response of x says that the connection closes. When the server wants to close, that
// waits for the last request that has been read: the ones behind a closing response would go unanswered.
func (c *conn) closesAfter(x *exchange, requested bool) bool {
	keepAlivesOff := c.server.keepAlivesDisabled()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !requested && (!keepAlivesOff || c.latest != x) {
		return false
	}
	c.stopped = true
	return true
}

// exchangeDone notes that a request has been answered.
func (c *conn) exchangeDone() {
	<-c.inService
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && c.waiting && !c.stopped {
		_ = c.net.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout))
	}
}

// rejectMalformed answers what is no request. It reports whether the caller has gone.
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
	c.server.Log.Info("request-malformed", "peer", c.net.RemoteAddr(), "status", status, "cause", err.Error())
	<-c.lastDone
	if !c.broken.Load() {
		_, _ = fmt.Fprintf(c.net, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	}
	return false
}

// startExchange runs a request and returns when the next one may be read. It reports whether no other one follows.
func (c *conn) startExchange(request *http.Request) (last bool) {
	ctx, cancel := context.WithCancel(c.ctx)
	request.RemoteAddr = c.net.RemoteAddr().String()
	x := &exchange{conn: c, prevDone: c.lastDone, done: make(chan struct{}), cancel: cancel, closeConn: request.Close}
	c.lastDone = x.done
	x.request = request.WithContext(ctx)
	x.body = &body{ReadCloser: request.Body, exchange: x, readLock: make(chan struct{}, 1), eof: make(chan struct{})}
	x.body.expectContinue = request.Header.Get("Expect") != ""
	if request.Body == http.NoBody || request.ContentLength == 0 {
		close(x.body.eof)
	} else {
		x.request.Body = x.body
	}
	c.mu.Lock()
	c.pending++
	c.latest = x
	c.mu.Unlock()
	c.served.Add(1)
	go x.run()
	select {
	case <-x.body.eof:
	case <-x.done:
		select {
		case <-x.body.eof:
		default:
			return true // its body lies before the next request
		}
	}
	return request.Close || x.bodyAborted.Load()
}

// body notes when a request's body has been read, and asks a caller for one that it holds back. A handler may leave a reader
// of it behind, from which the connection takes it over.
type body struct {
	io.ReadCloser
	exchange       *exchange
	expectContinue bool          // the caller waits to be asked for the body; changes under turn
	readLock       chan struct{} // held by a read in progress
	detached       atomic.Bool   // by the connection
	eofOnce        sync.Once
	eof            chan struct{} // closed when the body has been read to its end
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.readLock <- struct{}{}
	defer func() { <-b.readLock }()
	if b.detached.Load() {
		return 0, io.ErrClosedPipe
	}
	if b.expectContinue {
		b.expectContinue = false
		b.exchange.sendContinue()
	}
	return b.read(p)
}

func (b *body) read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.eofOnce.Do(func() { close(b.eof) })
	}
	return n, err
}

// discard reads the rest, and reports whether it has been read to its end.
func (b *body) discard() bool {
	b.detached.Store(true)
	b.readLock <- struct{}{}
	defer func() { <-b.readLock }()
	if b.expectContinue {
		return false // the caller sends no body
	}
	buf := make([]byte, maxDiscardBytes/8)
	for read := 0; read < maxDiscardBytes; {
		n, err := b.read(buf)
		read += n
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
	return false
}
