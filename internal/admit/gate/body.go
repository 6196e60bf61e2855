package gate

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// body is a request body read from the stream. Unless it is buffered by readAll, it is read at the pace of the server, so that
// at most one piece is in memory. It cannot be rewound. It is read by one goroutine at a time: first that of readAll, if any, then
// that of the HTTP transport.
type body struct {
	stream   proto.Stream
	piece    []byte        // received and not yet read; after readAll the whole body
	end      bool          // piece is the last one
	complete atomic.Bool   // the last piece was received
	arrived  chan struct{} // closed with complete; nil when the head had the whole body
	received atomic.Int64  // bytes

	receiving sync.Mutex // held while a piece is received
}

func (b *body) begin(stream proto.Stream, head *proto.Head) {
	b.stream = stream
	b.piece = head.Body
	b.end = head.End
	b.complete.Store(head.End)
	b.received.Store(int64(len(head.Body)))
	if !head.End {
		b.arrived = make(chan struct{})
	}
}

// Read implements io.Reader. If the stream ends before the last piece, Read returns an error, so that the transport aborts the
// request instead of sending a truncated body as complete.
func (b *body) Read(into []byte) (int, error) {
	for len(b.piece) == 0 {
		if b.end {
			return 0, io.EOF
		}
		if err := b.next(); err != nil {
			return 0, err
		}
	}
	n := copy(into, b.piece)
	b.piece = b.piece[n:]
	if len(b.piece) == 0 && b.end {
		return n, io.EOF
	}
	return n, nil
}

// readAll reads the whole body into memory; its size must be length. An error has the outcome NotRun, since the server has not
// received the request.
func (b *body) readAll(length int64) *code.Error {
	data := append(make([]byte, 0, length), b.piece...)
	for !b.end && int64(len(data)) <= length {
		if err := b.next(); err != nil {
			return code.NotRunf(code.Cancelled, "receiving the request body failed").WithCause(err)
		}
		data = append(data, b.piece...)
	}
	if int64(len(data)) != length {
		return code.NotRunf(code.BadRequest, "received %d bytes of a request body with content length %d", len(data), length)
	}
	b.piece = data
	return nil
}

// Close implements io.Closer. It does nothing, since a pending Read returns when the stream ends.
func (b *body) Close() error {
	return nil
}

func (b *body) next() error {
	b.receiving.Lock()
	defer b.receiving.Unlock()
	frame, err := b.stream.Recv()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	piece, isPiece := frame.(*proto.Piece)
	if !isPiece {
		return errors.Newf("received frame %T, want a body piece", frame)
	}
	b.piece = piece.Data
	b.received.Add(int64(len(piece.Data)))
	b.end = piece.End
	if piece.End && b.complete.CompareAndSwap(false, true) {
		close(b.arrived)
	}
	return nil
}
