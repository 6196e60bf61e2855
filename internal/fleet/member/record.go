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
