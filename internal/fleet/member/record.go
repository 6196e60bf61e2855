// Package member holds the membership table: one record for each daemon and the server beside it.
package member

import (
	"net/netip"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=State -linecomment -output=names.go

// State is the state of a member.
type State int

// The member states. A member announces the first three itself; other daemons mark it as Suspect and Gone.
const (
	Joining State = iota // joining
	Serving              // serving
	Leaving              // leaving
	Suspect              // suspect
	Gone                 // gone
)

// Record describes one daemon and its server. Records are values and never changed in place.
type Record struct {
	Address     netip.AddrPort // where other daemons connect; identifies the member
	Front       netip.AddrPort // where callers connect to the daemon
	Service     string
	Zone        string
	Region      string
	Incarnation ident.Incarnation
	State       State
	Version     uint64 // rises within an incarnation; the member itself raises it to refute a suspicion
}

// Bounds of an accepted record.
const (
	maxName = 128 // bytes of the service, zone and region
	// maxIncarnation is that of a start in the year 2109.
	maxIncarnation ident.Incarnation = 1 << 62
	maxVersion                       = 1 << 62 // a member can still raise its version to refute a suspicion
)

// Valid reports whether r can be the record of a daemon. Others are neither kept nor passed on: no later record would replace one with
// too large a number, and its daemon could not refute it.
func (r Record) Valid() bool {
	switch {
	case !isHost(r.Address), r.Front.Addr().Zone() != "": // callers may be listened for on all addresses
		return false
	case r.State < Joining, r.State > Gone, r.Incarnation > maxIncarnation, r.Version > maxVersion:
		return false
	}
	return len(r.Service) <= maxName && len(r.Zone) <= maxName && len(r.Region) <= maxName
}

// isHost reports whether a daemon on another host can be reached at the address. An address with a zone has a meaning on one host only.
func isHost(address netip.AddrPort) bool {
	ip := address.Addr()
	return address.IsValid() && address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
}

// Newer reports whether r replaces other: the higher incarnation wins, then the higher version, then the state that comes later in
// the list of constants.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return r.State > other.State
}
