package gate

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// body is a request body read from the stream. One that is not collected is read as the server takes it, so that at most one piece
// is held. It cannot be rewound. Only one goroutine reads it: that of collect, and then the transport's.
type body struct {
	stream   proto.Stream
	piece    []byte      // not yet read; the rest of a collected body
	end      bool        // no piece follows the present one
	complete atomic.Bool // the last piece has been received
}

func (b *body) begin(stream proto.Stream, head *proto.Head) {
	b.stream = stream
	b.piece = head.Body
	b.end = head.End
	b.complete.Store(head.End)
}

// Read implements io.Reader. A stream that ends early is an error, so that the transport aborts the request instead of
// ending it.
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

// readAll reads the rest of the body, which must have so many bytes. Its failures are those of a request that has not run.
func (b *body) readAll(length int64) *code.Error {
	data := append(make([]byte, 0, length), b.piece...)
	for !b.end && int64(len(data)) <= length {
		if err := b.next(); err != nil {
			return code.NotRunf(code.Cancelled, "the body did not arrive").WithCause(err)
		}
		data = append(data, b.piece...)
	}
	if int64(len(data)) != length {
		return code.NotRunf(code.BadRequest, "a body of %d bytes was announced with %d", len(data), length)
	}
	b.piece = data
	return nil
}

// Close implements io.Closer. The end of the stream ends a pending Read.
func (b *body) Close() error {
	return nil
}

func (b *body) next() error {
	frame, err := b.stream.Recv()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	piece, isPiece := frame.(*proto.Piece)
	if !isPiece {
		return errors.Newf("a %T came instead of a body piece", frame)
	}
	b.piece = piece.Data
	b.end = piece.End
	if piece.End {
		b.complete.Store(true)
	}
	return nil
}
