package proto

import (
	"google.golang.org/protobuf/encoding/protowire"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
)

func appendRecord(buf []byte, m *member.Record) []byte {
	buf = putAddress(buf, 1, m.Address)
	buf = putAddress(buf, 2, m.Front)
	buf = putText(buf, 3, m.Service)
	buf = putText(buf, 4, m.Zone)
	buf = putText(buf, 5, m.Region)
	buf = putUint(buf, 6, uint64(m.Incarnation))
	buf = putUint(buf, 7, uint64(m.State))
	return putUint(buf, 8, m.Version)
}

func readRecord(r *reader, m *member.Record) {
	switch r.number {
	case 1:
		m.Address = r.address()
	case 2:
		m.Front = r.address()
	case 3:
		m.Service = r.text(maxName)
	case 4:
		m.Zone = r.text(maxName)
	case 5:
		m.Region = r.text(maxName)
	case 6:
		m.Incarnation = ident.Incarnation(r.number64())
	case 7:
		m.State = member.State(r.uint(uint64(member.Gone)))
	case 8:
		m.Version = r.number64()
	}
}

func appendStatus(buf []byte, m *Status) []byte {
	buf = putNested(buf, 1, &m.From, appendRecord)
	return putUint(buf, 2, m.InForce)
}

func readStatus(r *reader, m *Status) {
	switch r.number {
	case 1:
		readNested(r, &m.From, readRecord)
	case 2:
		m.InForce = r.number64()
	}
}

func appendFile(buf []byte, m *files.File) []byte {
	buf = putText(buf, 1, m.Name)
	return putText(buf, 2, m.Content)
}

func readFile(r *reader, m *files.File) {
	switch r.number {
	case 1:
		m.Name = r.text(maxName)
	case 2:
		m.Content = r.text(MaxFrame)
	}
}

func appendChange(buf []byte, m *files.Change) []byte {
	buf = putUint(buf, 1, m.Revision)
	buf = putText(buf, 2, m.ID)
	buf = putText(buf, 3, m.Operator)
	buf = putTime(buf, 4, m.At)
	for i := range m.Put {
		buf = putNested(buf, 5, &m.Put[i], appendFile)
	}
	for _, name := range m.Remove {
		buf = putElement(buf, 6, name)
	}
	return buf
}

func readChange(r *reader, m *files.Change) {
	switch r.number {
	case 1:
		m.Revision = r.number64()
	case 2:
		m.ID = r.text(maxName)
	case 3:
		m.Operator = r.text(maxName)
	case 4:
		m.At = r.time()
	case 5:
		m.Put = readElement(r, m.Put, maxFiles, readFile)
	case 6:
		if r.room(len(m.Remove), maxFiles) {
			m.Remove = append(m.Remove, r.text(maxName))
		}
	}
}

func appendSet(buf []byte, m *files.Set) []byte {
	buf = putUint(buf, 1, m.Revision)
	for i := range m.Files {
		buf = putNested(buf, 2, &m.Files[i], appendFile)
	}
	return buf
}

func readSet(r *reader, m *files.Set) {
	switch r.number {
	case 1:
		m.Revision = r.number64()
	case 2:
		m.Files = readElement(r, m.Files, maxFiles, readFile)
	}
}

func appendSeen(buf []byte, m *HeadSeen) []byte {
	buf = putUint(buf, 1, m.Revision)
	return putInt(buf, 2, int64(m.Age))
}

func readSeen(r *reader, m *HeadSeen) {
	switch r.number {
	case 1:
		m.Revision = r.number64()
	case 2:
		m.Age = r.duration()
	}
}

func appendExchange(buf []byte, m *Exchange) ([]byte, error) {
	if len(m.Digests) > maxDigests || len(m.Members) > maxMembers || len(m.Changes) > maxChanges {
		return nil, code.Unknownf(code.BodyTooLarge, "exchange with %d digests, %d members and %d changes",
			len(m.Digests), len(m.Members), len(m.Changes))
	}
	buf = putNested(buf, 1, &m.From, appendRecord)
	buf = putNested(buf, 2, &m.Seen, appendSeen)
	buf = putUint(buf, 3, m.InForce)
	if len(m.Digests) > 0 {
		buf = putNested(buf, 4, m.Digests, appendDigests)
	}
	for i := range m.Members {
		buf = putNested(buf, 5, &m.Members[i], appendRecord)
	}
	for i := range m.Changes {
		buf = putNested(buf, 6, &m.Changes[i], appendChange)
	}
	if m.Snapshot != nil {
		buf = putNested(buf, 7, m.Snapshot, appendSet)
	}
	buf = putUint(buf, 8, m.Since)
	buf = putBool(buf, 9, m.WantSince)
	return putBool(buf, 10, m.More), nil
}

func readExchange(r *reader, m *Exchange) {
	switch r.number {
	case 1:
		readNested(r, &m.From, readRecord)
	case 2:
		readNested(r, &m.Seen, readSeen)
	case 3:
		m.InForce = r.number64()
	case 4:
		m.Digests = r.digests()
	case 5:
		m.Members = readElement(r, m.Members, maxMembers, readRecord)
	case 6:
		m.Changes = readElement(r, m.Changes, maxChanges, readChange)
	case 7:
		m.Snapshot = new(files.Set)
		readNested(r, m.Snapshot, readSet)
	case 8:
		m.Since = r.number64()
	case 9:
		m.WantSince = r.boolean()
	case 10:
		m.More = r.boolean()
	}
}

// appendDigests writes fixed-size numbers, because digests are evenly distributed and longer as varints.
func appendDigests(buf []byte, digests []uint64) []byte {
	for _, digest := range digests {
		buf = protowire.AppendFixed64(buf, digest)
	}
	return buf
}

func (r *reader) digests() []uint64 {
	const size = 8
	buf := r.section(MaxFrame)
	if len(buf)%size != 0 || len(buf) > maxDigests*size {
		r.err = malformed("digests of %d bytes", len(buf))
		return nil
	}
	if len(buf) == 0 {
		return nil
	}
	digests := make([]uint64, 0, len(buf)/size)
	for len(buf) > 0 {
		digest, _ := protowire.ConsumeFixed64(buf)
		digests = append(digests, digest)
		buf = buf[size:]
	}
	return digests
}
