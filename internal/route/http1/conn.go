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

// maxDiscard bounds what is read of a body that no handler has read; the connection closes behind a longer one.
const maxDiscard = 256 << 10

// lingerTime is how long a connection is still read after its last response, so that bytes on their way do not reset it
// before the caller has the response.
const lingerTime = 500 * time.Millisecond

// slack is added to the bound of a header, as net/http does.
const slack = 4 << 10

var errHeader = errors.New("header above its bound")

// conn is one connection. Its reader goroutine starts a goroutine for each request.
type conn struct {
	server *Server
	net    net.Conn
	limit  limited
	reader *bufio.Reader
	writer *bufio.Writer // of whose turn it is
	ctx    context.Context
	cancel context.CancelFunc
	turn   chan struct{} // closed when the present last exchange has been answered
	slots  chan struct{}
	served sync.WaitGroup

	mu       sync.Mutex
	pending  int  // requests in service
	awaiting bool // the reader waits for the first byte of a request
	stopped  bool // the reader reads no further request
	latest   *exchange

	broken atomic.Bool // no further response may be written
}

// limited bounds the bytes of a header.
type limited struct {
	from io.Reader
	left int // below 0: no bound
}

// Read implements io.Reader.
func (l *limited) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeader
	}
	if l.left > 0 && len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.from.Read(p)
	if l.left > 0 {
		l.left -= n
	}
	return n, err
}

func newConn(s *Server, accepted net.Conn) *conn {
	c := &conn{server: s, net: accepted, turn: make(chan struct{}), slots: make(chan struct{}, maxAhead)}
	close(c.turn)
	c.limit = limited{from: accepted, left: -1}
	c.reader = bufio.NewReader(&c.limit)
	c.writer = bufio.NewWriter(accepted)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) run() {
	defer c.server.remove(c)
	gone := c.read()
	if gone {
		c.cancel() // the caller has left; nobody takes the responses
	}
	c.served.Wait()
	c.cancel()
	c.finish()
}

// finish closes the connection after its last response.
func (c *conn) finish() {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok && !c.broken.Load() && half.CloseWrite() == nil {
		_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
		c.limit.left = -1
		_, _ = io.CopyN(io.Discard, c.reader, maxDiscard) // what a caller sent behind the last request is not read as one
	}
	_ = c.net.Close()
}

// read starts the requests of the connection. It reports whether the caller has gone.
func (c *conn) read() (gone bool) {
	for {
		bounds := c.server.Limits()
		if !c.await(bounds) {
			return false
		}
		_, err := c.reader.Peek(1)
		if !c.arrived(bounds) || errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		if err != nil {
			return true
		}
		c.limit.left = max(0, bounds.HeaderBytes+slack-c.reader.Buffered())
		request, err := http.ReadRequest(c.reader)
		c.limit.left = -1
		if err != nil {
			return c.malformed(err)
		}
		_ = c.net.SetReadDeadline(time.Time{})
		if c.isStopped() || c.start(request) {
			return false
		}
	}
}

// await waits for the right to read another request. The idle timeout begins when no request is in service.
func (c *conn) await(bounds Limits) bool {
	c.slots <- struct{}{}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.awaiting = true
	if c.pending == 0 && c.reader.Buffered() == 0 {
		_ = c.net.SetReadDeadline(time.Now().Add(bounds.IdleTimeout))
	}
	return true
}

// arrived begins the time for a header. It reports false when the reader must stop.
func (c *conn) arrived(bounds Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = false
	if c.stopped {
		return false
	}
	_ = c.net.SetReadDeadline(time.Now().Add(bounds.HeaderTimeout))
	return true
}

func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.awaiting {
		_ = c.net.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// closesBehind decides whether the response of x says that the connection closes. When the server wants to close, that
// waits for the last request that has been read: the ones behind a closing response would go unanswered.
func (c *conn) closesBehind(x *exchange, must bool) bool {
	last := c.server.isLast()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !must && (!last || c.latest != x) {
		return false
	}
	c.stopped = true
	return true
}

// ended notes that a request has been answered.
func (c *conn) ended() {
	<-c.slots
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && c.awaiting && !c.stopped {
		_ = c.net.SetReadDeadline(time.Now().Add(c.server.Limits().IdleTimeout))
	}
}

// malformed answers what is no request. It reports whether the caller has gone.
func (c *conn) malformed(err error) bool {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeader):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return true
	}
	var failed net.Error
	if status == http.StatusBadRequest && errors.As(err, &failed) {
		return true
	}
	c.server.Log.Info("request-malformed", "peer", c.net.RemoteAddr(), "status", status, "cause", err.Error())
	<-c.turn
	if !c.broken.Load() {
		_, _ = fmt.Fprintf(c.net, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	}
	return false
}

// start runs a request and returns when the next one may be read. It reports whether no other one follows.
func (c *conn) start(request *http.Request) (last bool) {
	ctx, cancel := context.WithCancel(c.ctx)
	request.RemoteAddr = c.net.RemoteAddr().String()
	x := &exchange{conn: c, before: c.turn, done: make(chan struct{}), cancel: cancel, close: request.Close}
	c.turn = x.done
	x.request = request.WithContext(ctx)
	x.body = &body{ReadCloser: request.Body, exchange: x, turn: make(chan struct{}, 1), ended: make(chan struct{})}
	x.body.expect = request.Header.Get("Expect") != ""
	if request.Body == http.NoBody || request.ContentLength == 0 {
		close(x.body.ended)
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
	case <-x.body.ended:
	case <-x.done:
		select {
		case <-x.body.ended:
		default:
			return true // its body lies before the next request
		}
	}
	return request.Close || x.aborted.Load()
}

// body notes when a request's body has been read, and asks a caller for one that it holds back. A handler may leave a reader
// of it behind, from which the connection takes it over.
type body struct {
	io.ReadCloser
	exchange *exchange
	expect   bool          // the caller waits to be asked for the body; changes under turn
	turn     chan struct{} // held by a read in progress
	taken    atomic.Bool   // by the connection
	once     sync.Once
	ended    chan struct{} // closed when the body has been read to its end
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	if b.taken.Load() {
		return 0, io.ErrClosedPipe
	}
	if b.expect {
		b.expect = false
		b.exchange.sendContinue()
	}
	return b.read(p)
}

func (b *body) read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(func() { close(b.ended) })
	}
	return n, err
}

// discard reads the rest, and reports whether it has been read to its end.
func (b *body) discard() bool {
	b.taken.Store(true)
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	if b.expect {
		return false // the caller sends no body
	}
	rest := make([]byte, maxDiscard/8)
	for read := 0; read < maxDiscard; {
		n, err := b.read(rest)
		read += n
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
	return false
}
