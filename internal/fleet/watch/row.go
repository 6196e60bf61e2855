package watch

import (
	"math"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// rowPrefix precedes the address in the key of an announcement.
const rowPrefix = "member/"

// Field numbers of an announcement.
const (
	fieldAddress protowire.Number = iota + 1
	fieldFront
	fieldService
	fieldZone
	fieldRegion
	fieldIncarnation
	fieldState
	fieldVersion
	fieldAt
	fieldDeparted
	fieldDepartedBorn
	fieldServer
	fieldEra
)

// announcement is the value of a daemon's row in the table.
type announcement struct {
	Record    member.Record
	At        time.Time // wall clock of the daemon that wrote it, in milliseconds
	Departure Departure // zero unless this daemon's server is leaving
	Server    string    // id of the last server known to run the service of Record; empty if none is
	Era       uint64    // of the store, up to which no departure is missing; 0 in the rows of earlier versions
}

// Departure identifies the run of a server whose departure its daemon has acknowledged.
type Departure struct {
	Server string
	Born   time.Time // start of the run, in milliseconds; zero when unknown
}

// same reports whether both are of one run. A row holds the start in milliseconds.
func (d Departure) same(other Departure) bool {
	return d.Server == other.Server && d.Born.Equal(other.Born)
}

func rowKey(address netip.AddrPort) string {
	return rowPrefix + address.String()
}

func (a announcement) encode() []byte {
	r := a.Record
	var b []byte
	b = appendText(b, fieldAddress, r.Address.String())
	if r.Front.IsValid() {
		b = appendText(b, fieldFront, r.Front.String())
	}
	b = appendText(b, fieldService, r.Service)
	b = appendText(b, fieldZone, r.Zone)
	b = appendText(b, fieldRegion, r.Region)
	b = appendNumber(b, fieldIncarnation, uint64(r.Incarnation))
	b = appendNumber(b, fieldState, uint64(r.State))
	b = appendNumber(b, fieldVersion, r.Version)
	b = appendNumber(b, fieldAt, uint64(a.At.UnixMilli()))
	if a.Era > 0 {
		b = appendNumber(b, fieldEra, a.Era)
	}
	if a.Server != "" {
		b = appendText(b, fieldServer, a.Server)
	}
	if a.Departure.Server == "" {
		return b
	}
	b = appendText(b, fieldDeparted, a.Departure.Server)
	if a.Departure.Born.IsZero() {
		return b
	}
	return appendNumber(b, fieldDepartedBorn, uint64(a.Departure.Born.UnixMilli()))
}

func appendText(b []byte, field protowire.Number, text string) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendString(b, text)
}

func appendNumber(b []byte, field protowire.Number, number uint64) []byte {
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, number)
}

// maxBorn is the latest start of a server that an announcement may tell, in the year 2248. A server's clock may be fast, and a departure
// must not be lost for that.
var maxBorn = ident.Incarnation(math.MaxInt64).Start()

// readAnnouncement returns the announcement in a row of the table. Another writer may have left anything there, so one that does not
// belong to its key or cannot be true is an error.
func readAnnouncement(row table.Row) (announcement, error) {
	a, err := decodeAnnouncement(row.Value)
	if err != nil {
		return a, err
	}
	switch {
	case rowKey(a.Record.Address) != row.Key:
		return a, errors.Newf("announcement of %s in the row %s", a.Record.Address, row.Key)
	case !a.Record.Valid():
		return a, errors.New("announcement with an invalid record")
	case a.Departure.Born.After(maxBorn):
		return a, errors.Newf("announcement of the departure of a server that started at %s", a.Departure.Born)
	}
	return a, nil
}

// decodeAnnouncement skips unknown fields, so that older daemons read the rows of newer ones.
func decodeAnnouncement(b []byte) (announcement, error) {
	var a announcement
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return a, errors.Wrap(protowire.ParseError(n), "malformed announcement")
		}
		b = b[n:]
		n, err := a.field(field, kind, b)
		if err != nil {
			return a, errors.Wrapf(err, "announcement field %d", field)
		}
		b = b[n:]
	}
	if !a.Record.Address.IsValid() {
		return a, errors.New("announcement without an address")
	}
	return a, nil
}

// field reads the value of one field and returns its length.
func (a *announcement) field(field protowire.Number, kind protowire.Type, b []byte) (int, error) {
	switch {
	case kind == protowire.BytesType && (field <= fieldRegion || field == fieldDeparted || field == fieldServer):
		text, n := protowire.ConsumeString(b)
		if n < 0 {
			return 0, protowire.ParseError(n)
		}
		return n, a.text(field, text)
	case kind == protowire.VarintType && (field >= fieldIncarnation && field <= fieldAt || field == fieldDepartedBorn || field == fieldEra):
		number, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return 0, protowire.ParseError(n)
		}
		a.number(field, number)
		return n, nil
	default:
		n := protowire.ConsumeFieldValue(field, kind, b)
		if n < 0 {
			return 0, protowire.ParseError(n)
		}
		return n, nil
	}
}

func (a *announcement) text(field protowire.Number, text string) error {
	var err error
	switch field {
	case fieldAddress:
		a.Record.Address, err = netip.ParseAddrPort(text)
	case fieldFront:
		a.Record.Front, err = netip.ParseAddrPort(text)
	case fieldService:
		a.Record.Service = text
	case fieldZone:
		a.Record.Zone = text
	case fieldRegion:
		a.Record.Region = text
	case fieldDeparted:
		a.Departure.Server = text
	case fieldServer:
		a.Server = text
	}
	return err
}

func (a *announcement) number(field protowire.Number, number uint64) {
	switch field {
	case fieldIncarnation:
		a.Record.Incarnation = ident.Incarnation(number)
	case fieldState:
		a.Record.State = member.State(number)
	case fieldVersion:
		a.Record.Version = number
	case fieldAt:
		a.At = time.UnixMilli(int64(number))
	case fieldDepartedBorn:
		a.Departure.Born = time.UnixMilli(int64(number))
	case fieldEra:
		a.Era = number
	}
}
