package http1

import (
	"io"
	"sync"
	"sync/atomic"

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
