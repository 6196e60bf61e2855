package server

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// exchange sends the request and reads the response header. The connection is closed when the request's context ends.
func (k *conn) exchange(a *Attempt) (*http.Response, error) {
	k.wroteAny.Store(false)
	a.sending.done = make(chan struct{})
	stop := context.AfterFunc(a.Request.Context(), k.close)
	if a.Request.Body == nil {
		k.send(a)
	} else {
		// A server may answer before it has read the whole body.
		go k.send(a)
	}
	response, err := k.receive(a)
	if err != nil {
		stop()
		k.close()
		if a.IsSent() {
			err = errors.CombineErrors(a.SendError(), err) // when sending failed, that is the cause
		}
		return nil, err
	}
	k.keepAlive(response.Header)
	response.Body = &responseBody{
		ReadCloser: response.Body, response: response, conn: k, attempt: a, stop: stop, closes: response.Close,
		failed: response.StatusCode >= http.StatusBadRequest, endsWithConn: endsWithConn(response),
	}
	return response, nil
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
		k.header.begin(k.reader)
		response, err := http.ReadResponse(k.reader, a.Request)
		k.header.remaining = -1
		if err != nil {
			return nil, err
		}
		if response.StatusCode < minStatus || response.StatusCode > maxStatus {
			return nil, errors.Newf("invalid status %03d of the server's response", response.StatusCode)
		}
		if err := k.checkHeader(response.Header); err != nil {
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

// checkHeader returns an error for a header with a line that is no field.
func (k *conn) checkHeader(header http.Header) error {
	if k.header.scan.malformed {
		return errHeaderLine
	}
	return errors.Wrap(hdrs.CheckFields(header), "header of the server's response")
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
