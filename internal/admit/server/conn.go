package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// idleMargin is how long before the server's own bound an idle connection is no longer used.
	idleMargin = time.Second
	// maxStray bounds the bytes that are read of responses that belong to no request.
	maxStray = 1 << 20
	// lateBody is how long the rest of a request may take after its response.
	lateBody = time.Second
	// writeBuffer holds a usual request, so that it leaves in one segment.
	writeBuffer = 4 << 10
)

var (
	errNoHeader = errors.New("the server's response header is too long")
	errStrayEnd = errors.New("the server sent too much that belongs to no request")
)

// conn is a connection to the server. It carries one request at a time.
type conn struct {
	client *Client
	net    net.Conn
	reader *bufio.Reader
	header headerLimit
	idleAt time.Time     // when it became free
	bound  time.Duration // how long it may be idle

	wrote  atomic.Bool // a byte of the present request may have left
	closed atomic.Bool
}

// headerLimit bounds what is read of a connection until it is lifted.
type headerLimit struct {
	from io.Reader
	left int64 // negative: no bound
}

// Read implements io.Reader.
func (l *headerLimit) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errNoHeader
	}
	if l.left > 0 && int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.from.Read(p)
	if l.left > 0 {
		l.left -= int64(n)
	}
	return n, err
}

// take returns a connection for one request: the free one used last, else a new one, else the next that becomes free.
func (c *Client) take(ctx context.Context) (*conn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		free, open, wait := c.reserve()
		switch {
		case free != nil && free.usable():
			return free, nil
		case free != nil:
			free.close()
		case open:
			return c.open(ctx)
		default:
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-wait:
			}
		}
	}
}

// reserve takes a free connection out of the list, or the right to open one, or returns a channel to wait on.
func (c *Client) reserve() (free *conn, open bool, wait chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		free = c.idle[n-1]
		c.idle = c.idle[:n-1]
		return free, false, nil
	}
	if c.opened < c.MaxConns {
		c.opened++
		return nil, true, nil
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return nil, false, c.changed
}

func (c *Client) open(ctx context.Context) (*conn, error) {
	if err := c.pace.Wait(ctx); err != nil {
		c.forget()
		return nil, err
	}
	c.dials.Add(1)
	dialed, err := c.Dial(ctx)
	if err != nil {
		c.forget()
		return nil, err
	}
	c.conns.Add(1)
	opened := &conn{client: c, net: dialed, bound: c.IdleTimeout}
	opened.header = headerLimit{from: dialed, left: -1}
	opened.reader = bufio.NewReader(&opened.header)
	return opened, nil
}

// forget gives back the right to a connection.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened--
	c.signal()
}

func (c *Client) signal() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// usable reports whether a free connection may carry a request. Bytes that have arrived on it belong to none.
func (k *conn) usable() bool {
	return time.Since(k.idleAt) < k.bound && k.reader.Buffered() == 0 && quiet(k.net)
}

func (k *conn) close() {
	if !k.closed.CompareAndSwap(false, true) {
		return
	}
	_ = k.net.Close() // nothing of it is used any more
	k.client.conns.Add(-1)
	k.client.forget()
}

// release makes the connection free for the next request.
func (k *conn) release() {
	if k.reader.Buffered() > 0 || k.closed.Load() {
		k.close()
		return
	}
	k.idleAt = time.Now()
	k.client.mu.Lock()
	defer k.client.mu.Unlock()
	k.client.idle = append(k.client.idle, k)
	k.client.signal()
}

// exchange sends the request and reads the response header. The request's context ends the connection.
func (k *conn) exchange(a *Attempt) (*http.Response, error) {
	k.wrote.Store(false)
	sent := make(chan error, 1)
	stop := context.AfterFunc(a.Request.Context(), k.close)
	if a.Request.Body == nil {
		sent <- k.write(a)
	} else {
		// A server may answer before it has read the whole body.
		go func() { sent <- k.write(a) }()
	}
	response, err := k.receive(a)
	if err != nil {
		stop()
		k.close()
		select {
		case failed := <-sent:
			err = errors.CombineErrors(failed, err) // the end of the sending is the cause
		default:
		}
		return nil, err
	}
	k.keepAlive(response.Header)
	response.Body = &responseBody{ReadCloser: response.Body, conn: k, sent: sent, stop: stop, last: response.Close}
	return response, nil
}

// counting notes that a byte may have left.
type counting struct {
	conn *conn
}

// Write implements io.Writer.
func (w counting) Write(p []byte) (int, error) {
	w.conn.wrote.Store(true)
	return w.conn.net.Write(p)
}

func (k *conn) write(a *Attempt) error {
	buffered := bufio.NewWriterSize(counting{k}, writeBuffer)
	if a.Request.Body != nil {
		a.Request.Body = &flushingBody{ReadCloser: a.Request.Body, writer: buffered}
	}
	err := a.Request.Write(plainWriter{buffered})
	if err == nil {
		err = buffered.Flush()
	}
	if err != nil {
		if a.Request.Body != nil {
			k.close() // the server must not take a part of the body for all of it
		}
		return err
	}
	if a.Written != nil {
		a.Written()
	}
	return nil
}

// plainWriter hides that a bufio.Writer reads from a body by itself, into the buffer that flushingBody empties meanwhile.
type plainWriter struct {
	to *bufio.Writer
}

// Write implements io.Writer.
func (w plainWriter) Write(p []byte) (int, error) {
	return w.to.Write(p)
}

// WriteByte implements io.ByteWriter, by which net/http adds no buffer of its own.
func (w plainWriter) WriteByte(c byte) error {
	return w.to.WriteByte(c)
}

// flushingBody sends what has been written before it waits for a further piece. The first piece is there already.
type flushingBody struct {
	io.ReadCloser
	writer *bufio.Writer
	later  bool
}

// Read implements io.Reader.
func (b *flushingBody) Read(p []byte) (int, error) {
	if b.later {
		if err := b.writer.Flush(); err != nil {
			return 0, err
		}
	}
	b.later = true
	return b.ReadCloser.Read(p)
}

// receive reads the response of the attempt. Responses to earlier requests can still arrive; the id tells them apart.
func (k *conn) receive(a *Attempt) (*http.Response, error) {
	stray := int64(0)
	for {
		k.header.left = maxHeader
		response, err := http.ReadResponse(k.reader, a.Request)
		k.header.left = -1
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the server switches to another protocol")
		case response.StatusCode < http.StatusOK:
			continue
		case a.ID == "" || response.Header.Get(k.client.Dialect.RequestID) == a.ID:
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStray))
		stray += n
		if err != nil {
			return nil, err
		}
		if stray >= maxStray || response.Close {
			return nil, errStrayEnd
		}
		k.client.Log.Info("server-response-stray", "request", a.ID, "status", response.StatusCode,
			"of", response.Header.Get(k.client.Dialect.RequestID))
	}
}

// keepAlive follows the bound that the server states in whole seconds.
func (k *conn) keepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			k.bound = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}

// responseBody frees its connection at the end of a complete response whose request was sent completely.
type responseBody struct {
	io.ReadCloser
	conn *conn
	sent chan error
	stop func() bool // ends the watch of the request's context
	last bool        // the server closes the connection
	done atomic.Bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer. A response that has no rest is complete.
func (b *responseBody) Close() error {
	if !b.done.Load() {
		n, err := b.ReadCloser.Read(make([]byte, 1))
		b.end(n == 0 && errors.Is(err, io.EOF))
	}
	return b.ReadCloser.Close()
}

func (b *responseBody) end(complete bool) {
	if !b.done.CompareAndSwap(false, true) {
		return
	}
	if !b.stop() || !complete || b.last {
		b.conn.close()
		return
	}
	select {
	case err := <-b.sent:
		b.settle(err)
	default:
		go b.awaitSent()
	}
}

// awaitSent waits for the end of a request whose response was complete before it. The server may still read the body.
func (b *responseBody) awaitSent() {
	timer := time.NewTimer(lateBody)
	defer timer.Stop()
	select {
	case err := <-b.sent:
		b.settle(err)
	case <-timer.C:
		b.conn.close()
	}
}

func (b *responseBody) settle(sent error) {
	if sent != nil {
		b.conn.close()
		return
	}
	b.conn.release()
}
