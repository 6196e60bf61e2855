package proto

import (
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// fieldNumber is the number of a field within its message. Numbers never change, and those of removed fields are not reused.
type fieldNumber = protowire.Number

func putUint(buf []byte, number fieldNumber, value uint64) []byte {
	if value == 0 {
		return buf
	}
	buf = protowire.AppendTag(buf, number, protowire.VarintType)
	return protowire.AppendVarint(buf, value)
}

func putInt(buf []byte, number fieldNumber, value int64) []byte {
	return putUint(buf, number, protowire.EncodeZigZag(value))
}

func putBool(buf []byte, number fieldNumber, value bool) []byte {
	return putUint(buf, number, protowire.EncodeBool(value))
}

func putText(buf []byte, number fieldNumber, value string) []byte {
	if value == "" {
		return buf
	}
	return putElement(buf, number, value)
}

// putElement encodes an element of a list. Unlike putText it does not omit an empty value.
func putElement(buf []byte, number fieldNumber, value string) []byte {
	buf = protowire.AppendTag(buf, number, protowire.BytesType)
	return protowire.AppendString(buf, value)
}

func putBytes(buf []byte, number fieldNumber, value []byte) []byte {
	if len(value) == 0 {
		return buf
	}
	buf = protowire.AppendTag(buf, number, protowire.BytesType)
	return protowire.AppendBytes(buf, value)
}

func putAddress(buf []byte, number fieldNumber, value netip.AddrPort) []byte {
	if !value.IsValid() {
		return buf
	}
	return putNested(buf, number, value, appendAddress)
}

func appendAddress(buf []byte, value netip.AddrPort) []byte {
	// AppendBinary of an AddrPort always returns a nil error.
	buf, _ = value.AppendBinary(buf)
	return buf
}

func putTime(buf []byte, number fieldNumber, value time.Time) []byte {
	return putNested(buf, number, value, appendTime)
}

func appendTime(buf []byte, value time.Time) []byte {
	buf = putInt(buf, 1, value.Unix())
	return putUint(buf, 2, uint64(value.Nanosecond()))
}

// putNested encodes a message within a message. It encodes the content first and then moves it to make room for the length
// prefix, which is cheaper than computing the size beforehand.
func putNested[T any](buf []byte, number fieldNumber, value T, put func([]byte, T) []byte) []byte {
	buf = protowire.AppendTag(buf, number, protowire.BytesType)
	start := len(buf)
	buf = put(buf, value)
	size := len(buf) - start
	prefix := protowire.SizeVarint(uint64(size))
	for range prefix {
		buf = append(buf, 0)
	}
	copy(buf[start+prefix:], buf[start:start+size])
	protowire.AppendVarint(buf[:start], uint64(size))
	return buf
}

func malformed(format string, args ...any) error {
	return code.Unknownf(code.BadRequest, "malformed message: "+format, args...)
}

// reader iterates over the fields of a message. After an error it returns no more fields.
type reader struct {
	rest   []byte
	number fieldNumber
	kind   protowire.Type
	value  uint64 // of a varint field
	data   []byte // of a bytes field; aliases the receive buffer
	err    error
}

// next advances to the next varint or bytes field. Fields of other types are skipped, because no message uses them.
func (r *reader) next() bool {
	for r.err == nil && len(r.rest) > 0 {
		number, kind, size := protowire.ConsumeTag(r.rest)
		if size < 0 {
			r.fail(protowire.ParseError(size))
			return false
		}
		r.number, r.kind, r.rest = number, kind, r.rest[size:]
		switch kind {
		case protowire.VarintType:
			r.value, size = protowire.ConsumeVarint(r.rest)
		case protowire.BytesType:
			r.data, size = protowire.ConsumeBytes(r.rest)
		default:
			size = protowire.ConsumeFieldValue(number, kind, r.rest)
		}
		if size < 0 {
			r.fail(protowire.ParseError(size))
			return false
		}
		r.rest = r.rest[size:]
		if kind == protowire.VarintType || kind == protowire.BytesType {
			return true
		}
	}
	return false
}

func (r *reader) fail(cause error) {
	if r.err == nil {
		r.err = malformed("field %d: %v", r.number, cause)
	}
}

func (r *reader) expect(kind protowire.Type) bool {
	if r.err == nil && r.kind != kind {
		r.err = malformed("field %d has unexpected wire type %d", r.number, r.kind)
	}
	return r.err == nil
}

func (r *reader) uint(limit uint64) uint64 {
	if !r.expect(protowire.VarintType) {
		return 0
	}
	if r.value > limit {
		r.err = malformed("field %d has value %d, which exceeds the limit of %d", r.number, r.value, limit)
		return 0
	}
	return r.value
}

func (r *reader) unsigned() uint64 {
	return r.uint(math.MaxUint64)
}

// count reads a number that fits into an int on every platform.
func (r *reader) count() int {
	return int(r.uint(math.MaxInt32))
}

func (r *reader) signed() int64 {
	return protowire.DecodeZigZag(r.unsigned())
}

func (r *reader) duration() time.Duration {
	return time.Duration(r.signed())
}

func (r *reader) boolean() bool {
	return r.uint(1) == 1
}

func (r *reader) code() code.Code {
	return code.Code(r.uint(math.MaxUint16))
}

// rawBytes returns the bytes of the field. They alias the receive buffer, so the caller must copy them to retain them.
func (r *reader) rawBytes(limit int) []byte {
	if !r.expect(protowire.BytesType) {
		return nil
	}
	if len(r.data) > limit {
		r.err = code.Unknownf(code.BodyTooLarge, "field %d of %d bytes exceeds the limit of %d", r.number, len(r.data), limit)
		return nil
	}
	return r.data
}

func (r *reader) text(limit int) string {
	return string(r.rawBytes(limit))
}

// bytes returns a copy, because drpc reuses its receive buffer for the next packet.
func (r *reader) bytes(limit int) []byte {
	data := r.rawBytes(limit)
	if len(data) == 0 {
		return nil
	}
	return append(make([]byte, 0, len(data)), data...)
}

func (r *reader) address() netip.AddrPort {
	var address netip.AddrPort
	data := r.rawBytes(maxAddress)
	if r.err != nil {
		return address
	}
	if err := address.UnmarshalBinary(data); err != nil {
		r.fail(err)
		return netip.AddrPort{}
	}
	if !address.IsValid() {
		r.err = malformed("field %d holds an invalid address", r.number)
		return netip.AddrPort{}
	}
	return address
}

func (r *reader) time() time.Time {
	var m unixTime
	readNested(r, &m, readTime)
	return time.Unix(m.seconds, m.nanoseconds).UTC()
}

type unixTime struct {
	seconds     int64
	nanoseconds int64
}

func readTime(r *reader, m *unixTime) {
	switch r.number {
	case 1:
		m.seconds = r.signed()
	case 2:
		m.nanoseconds = int64(r.uint(uint64(time.Second) - 1))
	}
}

// decode calls read for each field of a message.
func decode[T any](buf []byte, m *T, read func(*reader, *T)) error {
	r := reader{rest: buf}
	for r.next() {
		read(&r, m)
	}
	return r.err
}

// readNested decodes a message within a message.
func readNested[T any](r *reader, into *T, read func(*reader, *T)) {
	inner := r.rawBytes(MaxFrame)
	outer := r.rest
	r.rest = inner
	for r.next() {
		read(r, into)
	}
	r.rest = outer
}

// checkCount reports whether a list with count elements may take one more. The limit is needed because an element of few
// encoded bytes can decode to a large struct.
func (r *reader) checkCount(count, limit int) bool {
	if count >= limit {
		r.err = malformed("field %d is repeated more than %d times", r.number, limit)
	}
	return r.err == nil
}

// readElement decodes an element and appends it to the list.
func readElement[T any](r *reader, list []T, limit int, read func(*reader, *T)) []T {
	if !r.checkCount(len(list), limit) {
		return list
	}
	var element T
	readNested(r, &element, read)
	return append(list, element)
}
