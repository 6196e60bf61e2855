// Package phase defines the phases of a roll-out.
package phase

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Phase -linecomment -output=names.go

// Phase says how far a roll-out has advanced. It is only ever replaced by a later one. Completed and RolledBack are final.
type Phase int

// The phases in the order in which they may follow each other.
const (
	Trial      Phase = iota // trial
	Switching               // switching
	Completed               // completed
	RolledBack              // rolled-back
)

// Final reports whether no other phase follows.
func (p Phase) Final() bool {
	return p == Completed || p == RolledBack
}

// Parse returns the phase with this name.
func Parse(name string) (Phase, bool) {
	for p := Trial; p <= RolledBack; p++ {
		if p.String() == name {
			return p, true
		}
	}
	return 0, false
}
