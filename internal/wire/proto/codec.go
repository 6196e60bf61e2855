package proto

import (
	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// Limits of single fields in bytes, and of lists in elements. They keep the memory of a decoded message within a small
// multiple of MaxFrame.
const (
	MaxHeld        = 64 << 10 // body of the response in a Resolution
	MaxHeader      = 64 << 10 // a header or trailer section
	MaxHeaderCount = 256      // values in a header or trailer
	MaxTarget      = 16 << 10 // Head.Target
	maxName        = 256
	maxMethod      = 64
	maxHost        = 1 << 10
	maxDetail      = 1 << 10
	maxAddress     = 64
	maxMembers     = 4096
	maxDigests     = 1024
	maxHeldDigests = 2 * files.MaxFiles // of the files of a folder, and of those received of the next one
	maxChanges     = 4096
	maxFiles       = 4096
	MaxDepartures  = 256 // Exchange.Departures
)

// Ping checks a connection; the reply has the same type.
type Ping struct{}

// Envelope is the target for decoding a Frame whose kind is not known in advance.
type Envelope struct {
	Frame Frame
}

// Codec encodes and decodes messages. Decoded messages share no memory with the buffer.
type Codec struct{}

var _ drpc.Encoding = Codec{}

// Kinds of frames. An encoded Frame begins with its kind as a varint.
const (
	kindHead uint64 = iota + 1
	kindPiece
	kindAck
	kindAnswer
	kindFailure
)

// Marshal implements drpc.Encoding.
func (c Codec) Marshal(message drpc.Message) ([]byte, error) {
	return c.MarshalAppend(nil, message)
}

// MarshalAppend appends the encoded form of message to buf.
func (c Codec) MarshalAppend(buf []byte, message drpc.Message) ([]byte, error) {
	start := len(buf)
	buf, err := appendMessage(buf, message)
	if err != nil {
		return nil, err
	}
	if len(buf)-start > MaxFrame {
		return nil, code.Unknownf(code.BodyTooLarge, "%T of %d bytes exceeds the limit of %d", message, len(buf)-start, MaxFrame)
	}
	return buf, nil
}

func appendMessage(buf []byte, message drpc.Message) ([]byte, error) {
	switch m := message.(type) {
	case Frame:
		return appendFrame(buf, m)
	case *Ping:
		return buf, nil
	case *Hello:
		return appendHello(buf, m), nil
	case *Welcome:
		return appendWelcome(buf, m), nil
	case *Resolve:
		return appendResolve(buf, m), nil
	case *Resolution:
		return appendResolution(buf, m)
	case *Probe:
		return putText(buf, 1, m.Service), nil
	case *ProbeReply:
		return appendProbeReply(buf, m), nil
	case *Exchange:
		return appendExchange(buf, m)
	case *Status:
		return appendStatus(buf, m), nil
	case *RolloutRound:
		return appendRolloutRound(buf, m), nil
	case *RolloutEvidence:
		return appendRolloutEvidence(buf, m), nil
	case *PermitRequest:
		return appendPermitRequest(buf, m), nil
	case *PermitReply:
		return appendPermitReply(buf, m), nil
	default:
		return nil, code.Unknownf(code.Internal, "cannot encode a message of type %T", message)
	}
}

func appendFrame(buf []byte, frame Frame) ([]byte, error) {
	switch m := frame.(type) {
	case *Head:
		return appendHead(protowire.AppendVarint(buf, kindHead), m)
	case *Piece:
		return appendPiece(protowire.AppendVarint(buf, kindPiece), m)
	case *Ack:
		return appendAck(protowire.AppendVarint(buf, kindAck), m), nil
	case *Answer:
		if len(m.Body) > MaxPiece {
			return nil, tooLarge("first body part of an answer", len(m.Body), MaxPiece)
		}
		return appendAnswer(protowire.AppendVarint(buf, kindAnswer), m)
	case *Failure:
		return appendFailure(protowire.AppendVarint(buf, kindFailure), m), nil
	default:
		return nil, code.Unknownf(code.Internal, "cannot encode a frame of type %T", frame)
	}
}

func tooLarge(what string, size, limit int) error {
	return code.Unknownf(code.BodyTooLarge, "%s of %d bytes exceeds the limit of %d", what, size, limit)
}

// Unmarshal implements drpc.Encoding. The message must have its zero value.
func (c Codec) Unmarshal(buf []byte, message drpc.Message) error {
	if len(buf) > MaxFrame {
		return code.Unknownf(code.BodyTooLarge, "message of %d bytes exceeds the limit of %d", len(buf), MaxFrame)
	}
	switch m := message.(type) {
	case *Envelope:
		return readFrame(buf, m)
	case *Ping:
		return nil
	case *Hello:
		return decode(buf, m, readHello)
	case *Welcome:
		return decode(buf, m, readWelcome)
	case *Resolve:
		return decode(buf, m, readResolve)
	case *Resolution:
		return decode(buf, m, readResolution)
	case *Probe:
		return decode(buf, m, readProbe)
	case *ProbeReply:
		return decode(buf, m, readProbeReply)
	default:
		return decodeFleetMessage(buf, message)
	}
}

// decodeFleetMessage decodes the messages that daemons exchange about other things than requests.
func decodeFleetMessage(buf []byte, message drpc.Message) error {
	switch m := message.(type) {
	case *Exchange:
		return decode(buf, m, readExchange)
	case *Status:
		return decode(buf, m, readStatus)
	case *RolloutRound:
		return decode(buf, m, readRolloutRound)
	case *RolloutEvidence:
		return decode(buf, m, readRolloutEvidence)
	case *PermitRequest:
		return decode(buf, m, readPermitRequest)
	case *PermitReply:
		return decode(buf, m, readPermitReply)
	default:
		return code.Unknownf(code.Internal, "cannot decode a message of type %T", message)
	}
}

func readFrame(buf []byte, into *Envelope) error {
	kind, size := protowire.ConsumeVarint(buf)
	if size < 0 {
		return malformed("frame kind: %v", protowire.ParseError(size))
	}
	buf = buf[size:]
	switch kind {
	case kindHead:
		return readInto(buf, into, &Head{ContentLength: -1}, readHead)
	case kindPiece:
		return readInto(buf, into, &Piece{}, readPiece)
	case kindAck:
		return readInto(buf, into, &Ack{}, readAck)
	case kindAnswer:
		return readInto(buf, into, &Answer{ContentLength: -1}, readFrameAnswer)
	case kindFailure:
		return readInto(buf, into, &Failure{}, readFailure)
	default:
		return malformed("unknown frame kind %d", kind)
	}
}

// framePointer constrains a type to be *T and a Frame.
type framePointer[T any] interface {
	*T
	Frame
}

func readInto[T any, P framePointer[T]](buf []byte, into *Envelope, frame *T, read func(*reader, *T)) error {
	if err := decode(buf, frame, read); err != nil {
		return err
	}
	into.Frame = P(frame)
	return nil
}

func appendHello(buf []byte, m *Hello) []byte {
	buf = putUint(buf, 1, uint64(m.Version))
	buf = putUint(buf, 2, uint64(m.Incarnation))
	buf = putAddress(buf, 3, m.Address)
	return putUint(buf, 4, m.Conn)
}

func readHello(r *reader, m *Hello) {
	switch r.number {
	case 1:
		m.Version = uint32(r.uint(maxVersion))
	case 2:
		m.Incarnation = ident.Incarnation(r.unsigned())
	case 3:
		m.Address = r.address()
	case 4:
		m.Conn = r.unsigned()
	}
}

func appendWelcome(buf []byte, m *Welcome) []byte {
	buf = putUint(buf, 1, uint64(m.Version))
	buf = putUint(buf, 2, uint64(m.Incarnation))
	return putUint(buf, 3, uint64(m.Code))
}

func readWelcome(r *reader, m *Welcome) {
	switch r.number {
	case 1:
		m.Version = uint32(r.uint(maxVersion))
	case 2:
		m.Incarnation = ident.Incarnation(r.unsigned())
	case 3:
		m.Code = r.code()
	}
}
