package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// idleMargin is subtracted from the idle timeout that the server states, so that no request is sent on a connection that
	// the server is about to close.
	idleMargin = time.Second
	// maxStray bounds the bytes that are read and discarded of responses to earlier requests.
	maxStray = 1 << 20
	// maxSkipped bounds the interim responses and the responses to earlier requests that are skipped while a response is awaited.
	maxSkipped = 16
	// maxRefusals bounds the refusals of a connection. After that many it carries no other request.
	maxRefusals = 64
	// lateUploadTimeout bounds the time to send the rest of a request after its response is complete.
	lateUploadTimeout = time.Second
	// writeBuffer is large enough for a typical request, so that it is sent in one segment.
	writeBuffer = 4 << 10
)

var (
	errHeaderTooLong  = errors.New("the server's response header exceeds 256 KiB")
	errStrayResponses = errors.New("the server sent responses to other requests, none to this request")
	errManyResponses  = errors.New("the server sent too many interim responses or responses to other requests")
	errLateUpload     = errors.New("the request was not sent completely within the time allowed after its response")
)

// conn is a connection to the server. It carries one request at a time.
type conn struct {
	client      *Client
	net         net.Conn
	reader      *bufio.Reader
	header      headerLimit
	idleSince   time.Time     // when it became idle
	idleTimeout time.Duration // an idle connection is not used after it
	// refused has the hash of the request id in each refusal that was received, also of the empty id. The server may send such a
	// refusal again, so no request that would believe it is sent on the connection.
	refused []uint64

	wroteAny atomic.Bool // a byte of the present request may have been sent
	closed   atomic.Bool
}

// headerLimit bounds the bytes that are read from a connection while a response header is read.
type headerLimit struct {
	reader    io.Reader
	remaining int64 // negative: unlimited
}

// Read implements io.Reader.
func (l *headerLimit) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLong
	}
	if l.remaining > 0 && int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.reader.Read(p)
	if l.remaining > 0 {
		l.remaining -= int64(n)
	}
	return n, err
}

// acquire returns a connection for one attempt: the most recently used idle one, else a new one, or, with MaxConns in use, the
// next one that becomes idle or can be opened.
func (c *Client) acquire(ctx context.Context, a *Attempt) (*conn, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		free, open, wait := c.reserve()
		switch {
		case free != nil && free.usable() && free.mayCarry(a):
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

// reserve removes an idle connection from the list, or reserves one to be opened, or returns a channel that is closed when
// either may have become possible.
func (c *Client) reserve() (free *conn, open bool, wait chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		free = c.idle[n-1]
		c.idle = c.idle[:n-1]
		return free, false, nil
	}
	if c.reserved < c.MaxConns {
		c.reserved++
		return nil, true, nil
	}
	if c.released == nil {
		c.released = make(chan struct{})
	}
	return nil, false, c.released
}

func (c *Client) open(ctx context.Context) (*conn, error) {
	if err := c.dialLimiter.Wait(ctx); err != nil {
		c.releaseSlot()
		return nil, err
	}
	c.dials.Add(1)
	dialed, err := c.Dial(ctx)
	if err != nil {
		c.releaseSlot()
		return nil, err
	}
	c.conns.Add(1)
	opened := &conn{client: c, net: dialed, idleTimeout: c.IdleTimeout}
	opened.header = headerLimit{reader: dialed, remaining: -1}
	opened.reader = bufio.NewReader(&opened.header)
	return opened, nil
}

// releaseSlot makes room for another connection after one has been closed or could not be opened.
func (c *Client) releaseSlot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved--
	c.notifyWaiters()
}

func (c *Client) notifyWaiters() {
	if c.released != nil {
		close(c.released)
		c.released = nil
	}
}

// usable reports whether an idle connection may carry a request: it has not reached its timeout, is open and has no unread
// bytes, which would belong to no request.
func (k *conn) usable() bool {
	return time.Since(k.idleSince) < k.idleTimeout && k.reader.Buffered() == 0 && openAndEmpty(k.net)
}

// mayCarry reports whether a refusal that arrives on the connection proves that the attempt was not run.
func (k *conn) mayCarry(a *Attempt) bool {
	dialect := k.client.Dialect
	if !a.ShedsBeforeRun && dialect.NotRun == "" && dialect.Expect == "" {
		return true // takes no response for a refusal
	}
	return !slices.Contains(k.refused, xxhash.Sum64String(a.ID))
}

// noteRefusal records the request id of a response that some attempt could take for a refusal.
func (k *conn) noteRefusal(response *http.Response) {
	dialect := k.client.Dialect
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(codeHeader) == "":
	case response.StatusCode == http.StatusMisdirectedRequest:
	case dialect.NotRun != "" && response.Header.Get(dialect.NotRun) != "":
	default:
		return
	}
	k.refused = append(k.refused, xxhash.Sum64String(response.Header.Get(dialect.RequestID)))
}

func (k *conn) close() {
	if !k.closed.CompareAndSwap(false, true) {
		return
	}
	_ = k.net.Close() // the connection is no longer used
	k.client.conns.Add(-1)
	k.client.releaseSlot()
}

// release returns the connection to the idle list, or closes it when it has unread bytes or has carried maxRefusals.
func (k *conn) release() {
	if k.reader.Buffered() > 0 || len(k.refused) >= maxRefusals || k.closed.Load() {
		k.close()
		return
	}
	k.idleSince = time.Now()
	k.client.mu.Lock()
	defer k.client.mu.Unlock()
	k.client.idle = append(k.client.idle, k)
	k.client.notifyWaiters()
}

// exchange sends the request and reads the response header. The connection is closed when the request's context ends.
func (k *conn) exchange(a *Attempt) (*http.Response, error) {
	k.wroteAny.Store(false)
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
			err = errors.CombineErrors(failed, err) // when sending failed, that is the cause
		default:
		}
		return nil, err
	}
	k.keepAlive(response.Header)
	response.Body = &responseBody{
		ReadCloser: response.Body, conn: k, sent: sent, stop: stop, closes: response.Close, endsWithConn: endsWithConn(response),
	}
	return response, nil
}

// endsWithConn reports whether only the end of the connection shows the end of the response.
func endsWithConn(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// writeTracker records that a byte of the request may have been sent.
type writeTracker struct {
	conn *conn
}

// Write implements io.Writer.
func (w writeTracker) Write(p []byte) (int, error) {
	w.conn.wroteAny.Store(true)
	return w.conn.net.Write(p)
}

func (k *conn) write(a *Attempt) error {
	buffered := bufio.NewWriterSize(writeTracker{k}, writeBuffer)
	if a.Request.Body != nil {
		a.Request.Body = &flushingBody{ReadCloser: a.Request.Body, writer: buffered}
	}
	err := a.Request.Write(plainWriter{buffered})
	if err == nil {
		err = buffered.Flush()
	}
	if err != nil {
		if a.Request.Body != nil {
			k.close() // the server must not take a partial body for the whole one
		}
		return err
	}
	if a.Written != nil {
		a.Written()
	}
	return nil
}

// plainWriter hides the ReadFrom method of a bufio.Writer, which would read from the body into the same buffer that
// flushingBody flushes during the read.
type plainWriter struct {
	writer *bufio.Writer
}

// Write implements io.Writer.
func (w plainWriter) Write(p []byte) (int, error) {
	return w.writer.Write(p)
}

// WriteByte implements io.ByteWriter, so that net/http does not add a buffer of its own.
func (w plainWriter) WriteByte(c byte) error {
	return w.writer.WriteByte(c)
}

// flushingBody flushes the buffered writer before each read but the first, so that a body that arrives in pieces is not held
// back. The first piece is available already.
type flushingBody struct {
	io.ReadCloser
	writer  *bufio.Writer
	started bool
}

// Read implements io.Reader.
func (b *flushingBody) Read(p []byte) (int, error) {
	if b.started {
		if err := b.writer.Flush(); err != nil {
			return 0, err
		}
	}
	b.started = true
	return b.ReadCloser.Read(p)
}

// receive reads the response to the attempt. Responses to earlier requests on the connection may still arrive; they are
// recognized by their request id and discarded; the response to a poll has none. That a refusal belongs to the attempt follows from
// mayCarry, as another attempt of the same request has the same id.
func (k *conn) receive(a *Attempt) (*http.Response, error) {
	discarded := int64(0)
	for range maxSkipped {
		k.header.remaining = maxHeader
		response, err := http.ReadResponse(k.reader, a.Request)
		k.header.remaining = -1
		if err != nil {
			return nil, err
		}
		k.noteRefusal(response)
		switch {
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the server switched to another protocol (status 101)")
		case response.StatusCode < http.StatusOK:
			continue
		case k.answers(response, a):
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStray))
		discarded += n
		if err != nil {
			return nil, err
		}
		if discarded >= maxStray || response.Close {
			return nil, errStrayResponses
		}
		k.client.Log.Info("server-response-stray", "request", a.ID, "status", response.StatusCode,
			"of", response.Header.Get(k.client.Dialect.RequestID))
	}
	return nil, errManyResponses
}

// answers reports whether the response has the attempt's id and no other. Two ids belong to two heads, the first of which broke off.
func (k *conn) answers(response *http.Response, a *Attempt) bool {
	ids := response.Header.Values(k.client.Dialect.RequestID)
	for _, id := range ids {
		if id != a.ID {
			return false
		}
	}
	return len(ids) > 0 || a.ID == ""
}

// keepAlive sets the idle timeout from the timeout in seconds of the response's Keep-Alive header.
func (k *conn) keepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			k.idleTimeout = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}

// responseBody releases its connection once the response has been read and the request sent completely; otherwise it closes
// the connection.
type responseBody struct {
	io.ReadCloser
	conn         *conn
	sent         chan error
	stop         func() bool // unregisters the close on the end of the request's context
	closes       bool        // the server closes the connection after the response
	endsWithConn bool        // implies closes
	ended        atomic.Bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.endsWithConn && errors.Is(err, io.EOF) {
		err = b.connEnd()
	}
	if err != nil {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// connEnd returns io.EOF if the end of the connection is that of a complete response. A reset is reported only once: when the sending of
// the request gets it, reading the response sees a regular end. The response is therefore complete only if the request was sent.
func (b *responseBody) connEnd() error {
	if err := b.awaitUpload(); err != nil {
		return errors.Wrap(err, "the response without length may be incomplete")
	}
	return io.EOF
}

// Close implements io.Closer. A response with nothing left to read counts as complete.
func (b *responseBody) Close() error {
	if !b.ended.Load() {
		n, err := b.ReadCloser.Read(make([]byte, 1))
		b.end(n == 0 && errors.Is(err, io.EOF))
	}
	return b.ReadCloser.Close()
}

func (b *responseBody) end(complete bool) {
	if !b.ended.CompareAndSwap(false, true) {
		return
	}
	if !b.stop() || !complete || b.closes {
		b.conn.close()
		return
	}
	select {
	case err := <-b.sent:
		b.releaseAfter(err)
	default:
		go func() { b.releaseAfter(b.awaitUpload()) }()
	}
}

// awaitUpload waits until the request is sent whose response has already ended, as the server may still read the body.
func (b *responseBody) awaitUpload() error {
	timer := time.NewTimer(lateUploadTimeout)
	defer timer.Stop()
	select {
	case err := <-b.sent:
		b.sent <- err // for the next call
		return err
	case <-timer.C:
		return errLateUpload
	}
}

func (b *responseBody) releaseAfter(sent error) {
	if sent != nil {
		b.conn.close()
		return
	}
	b.conn.release()
}
