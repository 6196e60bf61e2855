package proto

import (
	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Datagram is a message in a datagram: LoadQuery or Report.
type Datagram interface{ isDatagram() }

// LoadQuery asks a daemon for the load of its server. The reply is a Report.
type LoadQuery struct{}

func (LoadQuery) isDatagram() {}
func (Report) isDatagram()    {}

// datagramVersion and datagramQuery are the numbers of fields that only datagrams have: the protocol version, and the mark of a query.
const (
	datagramVersion fieldNumber = 100
	datagramQuery   fieldNumber = 101
)

// EncodeDatagram encodes a message as the payload of a datagram.
func EncodeDatagram(message Datagram) []byte {
	buf := putUint(nil, datagramVersion, Version)
	switch m := message.(type) {
	case Report:
		return appendReport(buf, &m)
	default: // LoadQuery
		return putBool(buf, datagramQuery, true)
	}
}

// datagramFields holds the fields of either message before its kind is known.
type datagramFields struct {
	version uint64
	query   bool
	report  Report
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
	default:
		readReport(r, &m.report)
	}
}
