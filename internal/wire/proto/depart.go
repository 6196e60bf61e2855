package proto

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

// appendDepartures encodes the fields of an exchange that concern departures.
func appendDepartures(buf []byte, m *Exchange) []byte {
	for i := range m.Departures {
		buf = putNested(buf, 17, &m.Departures[i], appendDeparture)
	}
	buf = putBool(buf, 18, m.WantDepartures)
	buf = putBool(buf, 19, m.KeptDepartures)
	return putBool(buf, 20, m.AllDepartures)
}

func readDepartures(r *reader, m *Exchange) {
	switch r.number {
	case 17:
		m.Departures = readDeparture(r, m.Departures)
	case 18:
		m.WantDepartures = r.boolean()
	case 19:
		m.KeptDepartures = r.boolean()
	case 20:
		m.AllDepartures = r.boolean()
	}
}

func appendDeparture(buf []byte, m *member.Departure) []byte {
	buf = putAddress(buf, 1, m.Daemon)
	buf = putText(buf, 2, m.Server)
	if !m.Born.IsZero() {
		buf = putInt(buf, 3, m.Born.UnixMilli())
	}
	return putInt(buf, 4, int64(m.Age))
}

// readDeparture decodes a departure and appends it to the list. Like a member, a malformed one is left out.
func readDeparture(r *reader, list []member.Departure) []member.Departure {
	if !r.checkCount(len(list), MaxDepartures) {
		return list
	}
	inner := reader{rest: r.rawBytes(MaxFrame)}
	var element member.Departure
	for inner.next() {
		switch inner.number {
		case 1:
			element.Daemon = inner.address()
		case 2:
			element.Server = inner.text(maxName)
		case 3:
			element.Born = time.UnixMilli(inner.signed())
		case 4:
			element.Age = inner.duration()
		}
	}
	if r.err != nil || inner.err != nil {
		return list
	}
	return append(list, element)
}
