package proto

import (
	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Datagram is a message in a datagram: LoadQuery, Report, NumberedPermitRequest or NumberedPermitReply.
type Datagram interface{ isDatagram() }

// LoadQuery asks a daemon for the load of its server. The reply is a Report.
type LoadQuery struct{}

// NumberedPermitRequest is a PermitRequest with a number that is repeated in the reply.
type NumberedPermitRequest struct {
	Number  uint64
	Request PermitRequest
}

// NumberedPermitReply is the reply to the NumberedPermitRequest with the same number.
type NumberedPermitReply struct {
	Number uint64
	Reply  PermitReply
}

func (LoadQuery) isDatagram()             {}
func (Report) isDatagram()                {}
func (NumberedPermitRequest) isDatagram() {}
func (NumberedPermitReply) isDatagram()   {}

// Numbers of fields that only datagrams have: the protocol version, the mark of a query, and the parts of messages about permits.
const (
	datagramVersion       fieldNumber = 100
	datagramQuery         fieldNumber = 101
	datagramNumber        fieldNumber = 102
	datagramPermitRequest fieldNumber = 103
	datagramPermitReply   fieldNumber = 104
)

// EncodeDatagram encodes a message as the payload of a datagram.
func EncodeDatagram(message Datagram) []byte {
	buf := putUint(nil, datagramVersion, Version)
	switch m := message.(type) {
	case Report:
		return appendReport(buf, &m)
	case NumberedPermitRequest:
		buf = putUint(buf, datagramNumber, m.Number)
		return putNested(buf, datagramPermitRequest, &m.Request, appendPermitRequest)
	case NumberedPermitReply:
		buf = putUint(buf, datagramNumber, m.Number)
		return putNested(buf, datagramPermitReply, &m.Reply, appendPermitReply)
	default: // LoadQuery
		return putBool(buf, datagramQuery, true)
	}
}

// datagramFields holds the fields of any message before its kind is known.
type datagramFields struct {
	version uint64
	query   bool
	report  Report
	number  uint64
	request *PermitRequest
	reply   *PermitReply
}

// DecodeDatagram decodes the payload of a datagram.
func DecodeDatagram(buf []byte) (Datagram, error) {
	var m datagramFields
	if err := decode(buf, &m, readDatagram); err != nil {
		return nil, err
	}
	switch {
	case m.version != Version:
		return nil, code.NotRunf(code.VersionMismatch, "datagram has protocol version %d, want %d", m.version, Version)
	case m.query:
		return LoadQuery{}, nil
	case m.request != nil:
		return NumberedPermitRequest{Number: m.number, Request: *m.request}, nil
	case m.reply != nil:
		return NumberedPermitReply{Number: m.number, Reply: *m.reply}, nil
	case !m.report.Server.IsValid():
		return nil, malformed("report without a server address")
	}
	return m.report, nil
}

func readDatagram(r *reader, m *datagramFields) {
	switch r.number {
	case datagramVersion:
		m.version = r.unsigned()
	case datagramQuery:
		m.query = r.boolean()
	case datagramNumber:
		m.number = r.unsigned()
	case datagramPermitRequest:
		m.request = new(PermitRequest)
		readNested(r, m.request, readPermitRequest)
	case datagramPermitReply:
		m.reply = new(PermitReply)
		readNested(r, m.reply, readPermitReply)
	default:
		readReport(r, &m.report)
	}
}
