// Package member keeps the records of the daemons and the servers beside them.
package member

import (
	"net/netip"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=State -linecomment -output=names.go

// State is the state of a member.
type State int

// The member states.
const (
	Joining State = iota // joining
	Serving              // serving
	Leaving              // leaving
	Suspect              // suspect
	Gone                 // gone
)

// Record describes one daemon and its server. Records are values and never changed in place.
type Record struct {
	Address     netip.AddrPort // inner protocol; identifies the member
	Front       netip.AddrPort // where callers reach the daemon
	Service     string
	Zone        string
	Region      string
	Incarnation ident.Incarnation
	State       State
	Version     uint64 // rises within an incarnation; the member itself raises it to refute a suspicion
}

// Newer reports whether r replaces other: the higher incarnation wins, then the higher version, then the later state.
func (r Record) Newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return r.State > other.State
}
