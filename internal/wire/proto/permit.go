package proto

import "math"

// rateUnits is the number of units per request in which rates are encoded.
const rateUnits = 1000

// maxRate keeps the encoded form of a rate within the integers that a float64 represents exactly.
const maxRate = 1 << 40

func appendPermitRequest(buf []byte, m *PermitRequest) []byte {
	buf = putText(buf, 1, m.Organisation)
	buf = putUint(buf, 2, uint64(m.Wanted))
	buf = putUint(buf, 3, uint64(m.Returned))
	buf = putUint(buf, 4, m.Revision)
	buf = putUint(buf, 5, uint64(math.Round(min(max(m.Rate, 0), maxRate)*rateUnits)))
	return putUint(buf, 6, uint64(m.Burst))
}

func readPermitRequest(r *reader, m *PermitRequest) {
	switch r.number {
	case 1:
		m.Organisation = r.text(maxName)
	case 2:
		m.Wanted = r.count()
	case 3:
		m.Returned = r.count()
	case 4:
		m.Revision = r.unsigned()
	case 5:
		m.Rate = float64(r.uint(maxRate*rateUnits)) / rateUnits
	case 6:
		m.Burst = r.count()
	}
}

func appendPermitReply(buf []byte, m *PermitReply) []byte {
	buf = putUint(buf, 1, uint64(m.Granted))
	buf = putInt(buf, 2, int64(m.Next))
	return putAddress(buf, 3, m.Owner)
}

func readPermitReply(r *reader, m *PermitReply) {
	switch r.number {
	case 1:
		m.Granted = r.count()
	case 2:
		m.Next = r.duration()
	case 3:
		m.Owner = r.address()
	}
}
