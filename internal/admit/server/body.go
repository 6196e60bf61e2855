package server

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// endsWithConn reports whether only the end of the connection shows the end of the response.
func endsWithConn(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// responseBody releases its connection once the response has been read and the request sent completely; otherwise it closes
// the connection.
type responseBody struct {
	io.ReadCloser
	conn         *conn
	sent         chan error
	stop         func() bool  // unregisters the close on the end of the request's context
	failed       func() error // the error of the request's context
	closes       bool         // the server closes the connection after the response
	endsWithConn bool         // implies closes
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
// the request gets it, reading the response sees a regular end. The response is therefore complete only if the request was sent. The end
// of the request's context closes the connection, which must not pass for its regular end either.
func (b *responseBody) connEnd() error {
	if err := b.failed(); err != nil {
		return errors.Wrap(err, "the response without length was not read to its end")
	}
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
