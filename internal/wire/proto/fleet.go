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
		m.Incarnation = ident.Incarnation(r.unsigned())
	case 7:
		m.State = member.State(r.uint(uint64(member.Gone)))
	case 8:
		m.Version = r.unsigned()
	}
}

func appendStatus(buf []byte, m *Status) []byte {
	buf = putNested(buf, 1, &m.From, appendRecord)
	buf = putUint(buf, 2, m.InForce)
	return putUint(buf, 3, m.Serial)
}

func readStatus(r *reader, m *Status) {
	switch r.number {
	case 1:
		readNested(r, &m.From, readRecord)
	case 2:
		m.InForce = r.unsigned()
	case 3:
		m.Serial = r.unsigned()
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
		m.Revision = r.unsigned()
	case 2:
		m.ID = r.text(maxName)
	case 3:
		m.Operator = r.text(maxName)
	case 4:
		m.At = r.time()
	case 5:
		m.Put = readElement(r, m.Put, maxFiles, readFile)
	case 6:
		if r.checkCount(len(m.Remove), maxFiles) {
			m.Remove = append(m.Remove, r.text(maxName))
		}
	}
}

func appendSet(buf []byte, m *files.Set) []byte {
	buf = putUint(buf, 1, m.Revision)
	for i := range m.Files {
		buf = putNested(buf, 2, &m.Files[i], appendFile)
	}
	return putUint(buf, 3, m.Serial)
}

func readSet(r *reader, m *files.Set) {
	switch r.number {
	case 1:
		m.Revision = r.unsigned()
	case 2:
		m.Files = readElement(r, m.Files, maxFiles, readFile)
	case 3:
		m.Serial = r.unsigned()
	}
}

func appendPart(buf []byte, m *FolderPart) []byte {
	buf = putUint(buf, 1, m.Revision)
	buf = putDigests(buf, 2, m.Digests)
	for i := range m.Files {
		buf = putNested(buf, 3, &m.Files[i], appendPackedFile)
	}
	return putUint(buf, 4, m.Serial)
}

func readPart(r *reader, m *FolderPart) {
	switch r.number {
	case 1:
		m.Revision = r.unsigned()
	case 2:
		m.Digests = r.digests(files.MaxFiles)
	case 3:
		m.Files = readElement(r, m.Files, maxFiles, readPackedFile)
	case 4:
		m.Serial = r.unsigned()
	}
}

func appendPackedFile(buf []byte, m *PackedFile) []byte {
	buf = putText(buf, 1, m.Name)
	return putBytes(buf, 2, m.Content)
}

func readPackedFile(r *reader, m *PackedFile) {
	switch r.number {
	case 1:
		m.Name = r.text(maxName)
	case 2:
		m.Content = r.bytes(MaxFrame)
	}
}

func appendSeen(buf []byte, m *HeadSeen) []byte {
	buf = putUint(buf, 1, m.Revision)
	return putInt(buf, 2, int64(m.Age))
}

func readSeen(r *reader, m *HeadSeen) {
	switch r.number {
	case 1:
		m.Revision = r.unsigned()
	case 2:
		m.Age = r.duration()
	}
}

func appendExchange(buf []byte, m *Exchange) ([]byte, error) {
	if len(m.Digests) > maxDigests || len(m.Members) > maxMembers || len(m.Changes) > maxChanges || len(m.Held) > maxHeldDigests ||
		len(m.Departures) > MaxDepartures {
		return nil, code.Unknownf(code.BodyTooLarge, "exchange with %d digests, %d members, %d changes, %d files held and %d departures",
			len(m.Digests), len(m.Members), len(m.Changes), len(m.Held), len(m.Departures))
	}
	buf = putNested(buf, 1, &m.From, appendRecord)
	buf = putNested(buf, 2, &m.Seen, appendSeen)
	buf = putUint(buf, 3, m.InForce)
	buf = putDigests(buf, 4, m.Digests)
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
	buf = putBool(buf, 10, m.More)
	if m.Part != nil {
		buf = putNested(buf, 11, m.Part, appendPart)
	}
	buf = putBool(buf, 12, m.AcceptsParts)
	buf = putDigests(buf, 13, m.Held)
	buf = putAddress(buf, 14, m.IndirectTarget)
	buf = putBool(buf, 15, m.TargetReached)
	buf = putUint(buf, 16, uint64(m.TargetIncarnation))
	return appendDepartures(buf, m), nil
}

func readExchange(r *reader, m *Exchange) {
	switch r.number {
	case 1:
		readNested(r, &m.From, readRecord)
	case 2:
		readNested(r, &m.Seen, readSeen)
	case 3:
		m.InForce = r.unsigned()
	case 4:
		m.Digests = r.digests(maxDigests)
	case 5:
		m.Members = readMember(r, m.Members)
	case 6:
		m.Changes = readElement(r, m.Changes, maxChanges, readChange)
	case 7:
		m.Snapshot = new(files.Set)
		readNested(r, m.Snapshot, readSet)
	case 8:
		m.Since = r.unsigned()
	case 9:
		m.WantSince = r.boolean()
	case 10:
		m.More = r.boolean()
	case 11:
		m.Part = new(FolderPart)
		readNested(r, m.Part, readPart)
	case 12:
		m.AcceptsParts = r.boolean()
	case 13:
		m.Held = r.digests(maxHeldDigests)
	case 14, 15, 16:
		readIndirect(r, m)
	default:
		readDepartures(r, m)
	}
}

// readIndirect decodes the fields of an indirect attempt.
func readIndirect(r *reader, m *Exchange) {
	switch r.number {
	case 14:
		m.IndirectTarget = r.address()
	case 15:
		m.TargetReached = r.boolean()
	case 16:
		m.TargetIncarnation = ident.Incarnation(r.unsigned())
	}
}

// readMember decodes a record and appends it to the list. A malformed one is left out: the other daemon may have it from elsewhere, and
// must still be able to pass on the rest.
func readMember(r *reader, list []member.Record) []member.Record {
	if !r.checkCount(len(list), maxMembers) {
		return list
	}
	inner := reader{rest: r.rawBytes(MaxFrame)}
	var element member.Record
	for inner.next() {
		readRecord(&inner, &element)
	}
	if r.err != nil || inner.err != nil {
		return list
	}
	return append(list, element)
}

func putDigests(buf []byte, number fieldNumber, digests []uint64) []byte {
	if len(digests) == 0 {
		return buf
	}
	return putNested(buf, number, digests, appendDigests)
}

// appendDigests encodes digests with a fixed size: they are uniformly distributed, so varints would be longer.
func appendDigests(buf []byte, digests []uint64) []byte {
	for _, digest := range digests {
		buf = protowire.AppendFixed64(buf, digest)
	}
	return buf
}

func (r *reader) digests(most int) []uint64 {
	const size = 8
	buf := r.rawBytes(MaxFrame)
	if len(buf)%size != 0 || len(buf) > most*size {
		r.err = malformed("list of digests has an invalid size of %d bytes", len(buf))
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
