package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// bufferPool holds encoding buffers. A buffer can be reused as soon as the send returns, because drpc copies it.
var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

// maxPooledBuffer prevents the buffers of rare large messages from staying in memory.
const maxPooledBuffer = 2 * proto.MaxPiece

// stream implements proto.Stream for both sides.
type stream struct {
	raw *drpcstream.Stream
	tr  *transport
	// accepts reports whether this side may receive the frame.
	accepts  func(proto.Frame) bool
	envelope proto.Envelope
	// recvDone is set when the peer's last frame has arrived.
	recvDone atomic.Bool
	// sendDone is set when this side has sent its last frame or called CloseSend.
	sendDone atomic.Bool
}

// Context implements proto.Stream.
func (s *stream) Context() context.Context {
	return s.raw.Context()
}

// Send implements proto.Stream. The last frame is sent in the same write as the half-close.
func (s *stream) Send(frame proto.Frame) error {
	last := isLast(frame)
	err := send(s.raw, frame, last)
	if err != nil {
		return sendError(err)
	}
	if last {
		s.sendDone.Store(true)
	}
	return nil
}

// Recv implements proto.Stream. If the peer ends its direction without a last frame, Recv returns an error other than
// io.EOF.
func (s *stream) Recv() (proto.Frame, error) {
	s.envelope.Frame = nil
	err := s.raw.MsgRecv(&s.envelope, proto.Codec{})
	if errors.Is(err, io.EOF) {
		if s.recvDone.Load() {
			return nil, io.EOF
		}
		return nil, code.Unknownf(code.ResponseTruncated, "the peer ended the stream before its last frame")
	}
	if err != nil {
		return nil, fromWire(err)
	}
	frame := s.envelope.Frame
	if s.recvDone.Load() || !s.accepts(frame) {
		return nil, code.Unknownf(code.BadRequest, "unexpected %T", frame)
	}
	if isLast(frame) {
		s.recvDone.Store(true)
	}
	return frame, nil
}

// CloseSend implements proto.Stream.
func (s *stream) CloseSend() error {
	if err := s.raw.CloseSend(); err != nil {
		return sendError(err)
	}
	s.sendDone.Store(true)
	return nil
}

// Close implements proto.Stream. It does not wait for a blocked send, but closes the whole connection in that case.
func (s *stream) Close() error {
	busy, err := s.raw.SendCancel(context.Canceled)
	if busy || err != nil {
		return s.tr.Close()
	}
	return nil
}

// Cancelled implements proto.Stream. drpc reports a cancellation and a closed connection alike.
func (s *stream) Cancelled() bool {
	return s.raw.Context().Err() != nil && !s.tr.lost.Load() && !s.complete()
}

// complete reports whether both directions have ended with their last frames.
func (s *stream) complete() bool {
	return s.recvDone.Load() && s.sendDone.Load()
}

// isLast reports whether no frame follows in the same direction.
func isLast(frame proto.Frame) bool {
	switch f := frame.(type) {
	case *proto.Head:
		return f.End
	case *proto.Piece:
		return f.End
	case *proto.Ack:
		return f.Verdict == proto.Refused
	case *proto.Answer:
		return f.End
	case *proto.Failure:
		return true
	default:
		return false
	}
}

func isRouterFrame(frame proto.Frame) bool {
	_, ok := frame.(*proto.Piece)
	return ok
}

func isAdmissionFrame(frame proto.Frame) bool {
	_, isHead := frame.(*proto.Head)
	return !isHead
}

// send writes a message to the connection, together with the half-close if last is set, in one write. MsgSend would need
// two writes, or its manual flush mode, in which a receive waits for a blocked send.
func send(raw *drpcstream.Stream, message drpc.Message, last bool) error {
	buf := bufferPool.Get().(*[]byte)
	defer putBuffer(buf)
	data, err := proto.Codec{}.MarshalAppend((*buf)[:0], message)
	if err != nil {
		return err
	}
	*buf = data
	if err := raw.RawWrite(drpcwire.KindMessage, data); err != nil {
		return err
	}
	if last {
		return raw.CloseSend()
	}
	return raw.RawFlush()
}

func putBuffer(buf *[]byte) {
	if cap(*buf) <= maxPooledBuffer {
		bufferPool.Put(buf)
	}
}

func sendError(err error) error {
	if errors.Is(err, io.EOF) {
		return code.Unknownf(code.Cancelled, "the peer ended the stream").WithCause(err)
	}
	return fromWire(err)
}
