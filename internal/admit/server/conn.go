package server

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
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
	// lateUploadTimeout bounds the time to send the rest of a request after a failed response that ends with its connection.
	lateUploadTimeout = time.Second
	// minStatus and maxStatus bound the statuses of responses, including interim ones (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
	// writeBuffer is large enough for a typical request, so that it is sent in one segment.
	writeBuffer = 4 << 10
)

var (
	errHeaderTooLong  = errors.New("the server's response header exceeds 64 KiB or some 500 lines")
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

// headerLimit bounds what is read from a connection while a response header is read: its bytes and its lines, of which each takes memory
// of its own. The last read may take in a part of the body, which does no harm, because no further one follows for the header.
type headerLimit struct {
	reader    io.Reader
	remaining int // bytes; unlimited when negative
	scan      headScan
}

// Read implements io.Reader.
func (l *headerLimit) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLong
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.reader.Read(p)
	if l.remaining >= 0 {
		l.scan.add(p[:n])
	}
	if l.remaining > 0 {
		l.remaining = max(0, l.remaining-n-headerLineCost*bytes.Count(p[:n], []byte{'\n'}))
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
