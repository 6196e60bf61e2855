package server

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// endsWithConn reports whether only the end of the connection shows the end of the response.
func endsWithConn(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// responseBody releases its connection once the response has been read and the request sent completely; otherwise it closes
// the connection. The end of the request's context closes the connection until then.
type responseBody struct {
	io.ReadCloser
	response     *http.Response // its trailer is complete at the end of the body
	conn         *conn
	attempt      *Attempt
	stop         func() bool // unregisters the close on the end of the request's context
	closes       bool        // the server closes the connection after the response
	failed       bool        // by its status, the response is not one of success
	endsWithConn bool        // implies closes
	ended        atomic.Bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.endsWithConn && errors.Is(err, io.EOF) {
		err = b.connEnd()
	}
	if errors.Is(err, io.EOF) {
		err = b.checkTrailer()
	}
	if err != nil {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// checkTrailer returns io.EOF if the body may end with the trailer that was received.
func (b *responseBody) checkTrailer() error {
	if err := hdrs.CheckFields(b.response.Trailer); err != nil {
		return errors.Wrap(err, "trailer of the server's response")
	}
	return io.EOF
}

// connEnd returns io.EOF if the end of the connection is that of a complete response. A reset is reported only once: when the sending of
// the request gets it, reading the response sees a regular end. The response is therefore complete only if the request was sent. The end
// of the request's context closes the connection, which must not pass for its regular end either.
func (b *responseBody) connEnd() error {
	if err := b.attempt.Request.Context().Err(); err != nil {
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
		b.end(n == 0 && errors.Is(err, io.EOF) && hdrs.CheckFields(b.response.Trailer) == nil)
	}
	return b.ReadCloser.Close()
}

// end ends the use of the connection. A server may read on after its response, also when it closes the connection later; only a failed
// response that closes the connection tells that it does not.
func (b *responseBody) end(complete bool) {
	if !b.ended.CompareAndSwap(false, true) {
		return
	}
	if !complete || b.closes && b.failed {
		b.stop()
		b.conn.close()
		return
	}
	b.attempt.sending.after(b.release)
}

// awaitUpload waits until the request is sent whose response has already ended, as the server may still read the body.
func (b *responseBody) awaitUpload() error {
	var timeout <-chan time.Time
	if b.failed {
		timer := time.NewTimer(lateUploadTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-b.attempt.Sent():
		return b.attempt.SendError()
	case <-b.attempt.Request.Context().Done():
		return b.attempt.Request.Context().Err()
	case <-timeout:
		return errLateUpload
	}
}

// release returns the connection of a request that is sent to the idle list, or closes it.
func (b *responseBody) release() {
	if !b.stop() || b.closes || b.attempt.SendError() != nil {
		b.conn.close()
		return
	}
	b.conn.release()
}
