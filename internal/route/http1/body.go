package http1

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// body is a request's body. It records when it has been read to its end, and sends 100 Continue before the first read if the
// caller expects it. A goroutine of the handler may still be reading it after the handler has returned; discard then takes it
// over.
type body struct {
	io.ReadCloser
	exchange       *exchange
	expectContinue bool          // the caller waits for 100 Continue; guarded by readLock
	readLock       chan struct{} // held during a read
	detached       atomic.Bool   // taken over by discard; the handler may not read any more
	ended          chan struct{} // closed when the body has been read to its end

	mu      sync.Mutex
	isEnded bool // ended is closed
	aborted bool // reading was ended early, so that nothing that follows the body can be read; only set before isEnded
}

func newBody(x *exchange, source *http.Request) *body {
	b := &body{ReadCloser: source.Body, exchange: x, readLock: make(chan struct{}, 1), ended: make(chan struct{})}
	b.expectContinue = source.Header.Get("Expect") != ""
	if source.Body == http.NoBody || source.ContentLength == 0 {
		b.end()
	}
	return b
}

func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isEnded {
		b.isEnded = true
		close(b.ended)
	}
}

// abort ends the reading of the body by a read deadline of its connection. After the end of the body it does nothing: the connection is
// then reading the next request.
func (b *body) abort(deadline time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isEnded {
		return nil
	}
	b.aborted = true
	return b.exchange.conn.net.SetReadDeadline(deadline)
}

func (b *body) isAborted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.aborted
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
		b.end()
	}
	return n, err
}

// discard reads the rest of the body, and reports whether it has reached its end.
func (b *body) discard() bool {
	b.detached.Store(true)
	b.readLock <- struct{}{}
	defer func() { <-b.readLock }()
	if b.expectContinue {
		return false // without 100 Continue, the caller has not sent the body
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
