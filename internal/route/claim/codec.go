package claim

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Protobuf field numbers of a row.
const (
	fieldRouter      = 1
	fieldSeq         = 2
	fieldFingerprint = 3
	fieldExpires     = 4 // milliseconds since the epoch
	fieldStatus      = 5 // present when the request has finished
	fieldName        = 6 // of a header field; its values follow
	fieldValue       = 7
	fieldBody        = 8
)

func encode(r record) []byte {
	var b []byte
	number := func(field protowire.Number, value uint64) {
		b = protowire.AppendTag(b, field, protowire.VarintType)
		b = protowire.AppendVarint(b, value)
	}
	number(fieldRouter, uint64(r.id.Router))
	number(fieldSeq, r.id.Seq)
	number(fieldFingerprint, r.print)
	number(fieldExpires, uint64(r.expires.UnixMilli()))
	if r.result == nil {
		return b
	}
	number(fieldStatus, uint64(r.result.Status))
	text := func(field protowire.Number, value string) {
		b = protowire.AppendTag(b, field, protowire.BytesType)
		b = protowire.AppendString(b, value)
	}
	for name, values := range r.result.Header {
		text(fieldName, name)
		for _, value := range values {
			text(fieldValue, value)
		}
	}
	text(fieldBody, string(r.result.Body))
	return b
}

func decode(b []byte) (record, error) {
	var r record
	var name string // of the header field whose values follow
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return r, errors.Wrap(protowire.ParseError(n), "decode claim")
		}
		b = b[n:]
		switch kind {
		case protowire.VarintType:
			value, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return r, errors.Wrap(protowire.ParseError(n), "decode claim")
			}
			b = b[n:]
			r.setNumber(field, value)
		case protowire.BytesType:
			value, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return r, errors.Wrap(protowire.ParseError(n), "decode claim")
			}
			b = b[n:]
			name = r.setBytes(field, name, value)
		default:
			return r, errors.Newf("decode claim: field %d has an unexpected wire type", field)
		}
	}
	if r.id == (ident.RequestID{}) || r.expires.IsZero() {
		return r, errors.New("decode claim: request ID or expiry is missing")
	}
	return r, nil
}

func (r *record) setNumber(field protowire.Number, value uint64) {
	switch field {
	case fieldRouter:
		r.id.Router = ident.Incarnation(value)
	case fieldSeq:
		r.id.Seq = value
	case fieldFingerprint:
		r.print = value
	case fieldExpires:
		r.expires = time.UnixMilli(int64(value))
	case fieldStatus:
		r.result = &Result{Status: int(value), Header: http.Header{}}
	}
}

func (r *record) setBytes(field protowire.Number, name string, value []byte) string {
	if r.result == nil {
		return name
	}
	switch field {
	case fieldName:
		return string(value)
	case fieldValue:
		r.result.Header[name] = append(r.result.Header[name], string(value))
	case fieldBody:
		r.result.Body = append([]byte(nil), value...)
	}
	return name
}
