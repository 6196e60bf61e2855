package proto

import (
	"math"
	"slices"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

const maxVersion = math.MaxUint32

// frameSizeHint is the capacity that is reserved for a frame in addition to its body. It is an estimate of the size of a head
// without its body and header.
const frameSizeHint = 512

func appendHead(buf []byte, m *Head) ([]byte, error) {
	if len(m.Body) > MaxPiece {
		return nil, tooLarge("first body part of a request", len(m.Body), MaxPiece)
	}
	if err := checkHeadLengths(m); err != nil {
		return nil, err
	}
	buf = slices.Grow(buf, frameSizeHint+len(m.Body))
	buf = putNested(buf, 1, m.ID, appendAttempt)
	buf = putText(buf, 2, m.Service)
	buf = putText(buf, 3, m.Method)
	buf = putText(buf, 4, m.Target)
	buf = putText(buf, 5, m.Host)
	buf, err := putHeader(buf, 6, m.Header)
	if err != nil {
		return nil, err
	}
	buf = putLength(buf, 7, m.ContentLength)
	buf = putInt(buf, 8, int64(m.Remaining))
	buf = putInt(buf, 9, int64(m.SentAt))
	buf = putUint(buf, 10, uint64(m.Class))
	buf = putBool(buf, 11, m.Idempotent)
	buf = putUint(buf, 12, uint64(m.Depth))
	buf = putUint(buf, 13, m.Revision)
	buf = putBool(buf, 14, m.End)
	buf = putInt(buf, 16, int64(m.PeerLatency))
	buf = putInt(buf, 17, int64(m.Objective))
	buf = putUint(buf, 18, uint64(m.Priority))
	buf = putText(buf, 19, m.Organisation)
	buf = putBool(buf, 20, m.Dependent)
	return putBytes(buf, 15, m.Body), nil
}

func checkHeadLengths(m *Head) error {
	if len(m.Service) > maxName || len(m.Organisation) > maxName || len(m.Method) > maxMethod || len(m.Host) > maxHost {
		return code.Unknownf(code.HeaderTooLarge, "service, organisation, method or host exceeds its length limit")
	}
	if len(m.Target) > MaxTarget {
		return code.Unknownf(code.HeaderTooLarge, "target of %d bytes exceeds the limit of %d", len(m.Target), MaxTarget)
	}
	return nil
}

func readHead(r *reader, m *Head) {
	switch r.number {
	case 1:
		readNested(r, &m.ID, readAttempt)
	case 2:
		m.Service = r.text(maxName)
	case 3:
		m.Method = r.text(maxMethod)
	case 4:
		m.Target = r.text(MaxTarget)
	case 5:
		m.Host = r.text(maxHost)
	case 6:
		m.Header = r.header()
	default:
		readHeadRemainder(r, m)
	}
}

func readHeadRemainder(r *reader, m *Head) {
	switch r.number {
	case 7:
		m.ContentLength = r.length()
	case 8:
		m.Remaining = r.duration()
	case 9:
		m.SentAt = r.duration()
	case 10:
		m.Class = ident.Class(r.uint(uint64(ident.Upload)))
	case 11:
		m.Idempotent = r.boolean()
	case 12:
		m.Depth = r.count()
	case 13:
		m.Revision = r.unsigned()
	case 14:
		m.End = r.boolean()
	case 15:
		m.Body = r.bytes(MaxPiece)
	case 16:
		m.PeerLatency = r.duration()
	case 17:
		m.Objective = r.duration()
	case 18:
		m.Priority = r.count()
	case 19:
		m.Organisation = r.text(maxName)
	case 20:
		m.Dependent = r.boolean()
	}
}

// putLength encodes a content length plus 1, so that an absent field means that the length is unknown.
func putLength(buf []byte, number fieldNumber, length int64) []byte {
	return putUint(buf, number, uint64(length+1))
}

func (r *reader) length() int64 {
	return int64(r.uint(math.MaxInt64)) - 1
}

func appendAttempt(buf []byte, m ident.AttemptID) []byte {
	buf = putUint(buf, 1, uint64(m.Request.Router))
	buf = putUint(buf, 2, m.Request.Seq)
	return putUint(buf, 3, uint64(m.Attempt))
}

func readAttempt(r *reader, m *ident.AttemptID) {
	switch r.number {
	case 1:
		m.Request.Router = ident.Incarnation(r.unsigned())
	case 2:
		m.Request.Seq = r.unsigned()
	case 3:
		m.Attempt = uint32(r.uint(math.MaxUint32))
	}
}

func appendPiece(buf []byte, m *Piece) ([]byte, error) {
	if len(m.Data) > MaxPiece {
		return nil, tooLarge("body piece", len(m.Data), MaxPiece)
	}
	buf = slices.Grow(buf, frameSizeHint+len(m.Data))
	buf = putBool(buf, 1, m.End)
	buf, err := putHeader(buf, 2, m.Trailer)
	if err != nil {
		return nil, err
	}
	return putBytes(buf, 3, m.Data), nil
}

func readPiece(r *reader, m *Piece) {
	switch r.number {
	case 1:
		m.End = r.boolean()
	case 2:
		m.Trailer = r.header()
	case 3:
		m.Data = r.bytes(MaxPiece)
	}
}

func appendAck(buf []byte, m *Ack) []byte {
	buf = putUint(buf, 1, uint64(m.Verdict))
	buf = putUint(buf, 2, uint64(m.Code))
	buf = putText(buf, 3, truncateDetail(m.Detail))
	buf = putInt(buf, 4, int64(m.RetryAfter))
	return putNested(buf, 5, &m.Report, appendReport)
}

func readAck(r *reader, m *Ack) {
	switch r.number {
	case 1:
		m.Verdict = Verdict(r.uint(uint64(Refused)))
	case 2:
		m.Code = r.code()
	case 3:
		m.Detail = r.text(maxDetail)
	case 4:
		m.RetryAfter = r.duration()
	case 5:
		readNested(r, &m.Report, readReport)
	}
}

// truncateDetail shortens an explanatory text to maxDetail bytes, because a long one must not make the message fail.
func truncateDetail(text string) string {
	return text[:min(len(text), maxDetail)]
}

func appendAnswer(buf []byte, m *Answer) ([]byte, error) {
	buf = slices.Grow(buf, frameSizeHint+len(m.Body))
	buf = putUint(buf, 1, uint64(m.Status))
	buf, err := putHeader(buf, 2, m.Header)
	if err != nil {
		return nil, err
	}
	buf = putLength(buf, 3, m.ContentLength)
	buf = putNested(buf, 4, &m.Report, appendReport)
	buf = putBool(buf, 5, m.End)
	return putBytes(buf, 6, m.Body), nil
}

func readFrameAnswer(r *reader, m *Answer) {
	readAnswer(r, m, MaxPiece)
}

func readHeldAnswer(r *reader, m *Answer) {
	readAnswer(r, m, MaxHeld)
}

func readAnswer(r *reader, m *Answer, limit int) {
	switch r.number {
	case 1:
		m.Status = r.count()
	case 2:
		m.Header = r.header()
	case 3:
		m.ContentLength = r.length()
	case 4:
		readNested(r, &m.Report, readReport)
	case 5:
		m.End = r.boolean()
	case 6:
		m.Body = r.bytes(limit)
	}
}

func appendFailure(buf []byte, m *Failure) []byte {
	buf = putUint(buf, 1, uint64(m.Code))
	buf = putUint(buf, 2, uint64(m.Outcome))
	buf = putText(buf, 3, truncateDetail(m.Detail))
	buf = putNested(buf, 4, &m.Report, appendReport)
	return putInt(buf, 5, int64(m.RetryAfter))
}

func readFailure(r *reader, m *Failure) {
	switch r.number {
	case 1:
		m.Code = r.code()
	case 2:
		m.Outcome = code.Outcome(r.uint(uint64(code.NotRun)))
	case 3:
		m.Detail = r.text(maxDetail)
	case 4:
		readNested(r, &m.Report, readReport)
	case 5:
		m.RetryAfter = r.duration()
	}
}
