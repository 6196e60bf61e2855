// Package epoch orders what a store tells when it may come back from an older copy. Each copy begins an era, in which the store gives out
// versions again.
package epoch

import "marigoldwinch.example/marigoldwinch/internal/base/code"

// versionBits is the number of bits of a revision below the era. Up to era 8,191, revisions are exact as JSON numbers and in metrics.
const versionBits = 40

// MaxEra is the highest era that a revision can hold.
const MaxEra = 1<<(64-versionBits) - 1

// Revision returns the revision of a version in an era. Revisions compare by era and then by version. In era 0, which stands for a store
// without eras, the revision is the version.
func Revision(era, version uint64) uint64 {
	return era<<versionBits + version
}

// Era returns the era of a revision.
func Era(revision uint64) uint64 {
	return revision >> versionBits
}

// Place is the place in a store's history up to which a reader knows the store, or as of which an answer was given.
type Place struct {
	Era     uint64
	Version uint64
}

// Revision returns the revision of the place.
func (p Place) Revision() uint64 {
	return Revision(p.Era, p.Version)
}

// Restored reports whether an answer tells that the store has come back from an older copy since it was read up to p. A store that tells no
// era shows it by a lower version only. An answer of an earlier era than p was given before p was read, and is an error.
func (p Place) Restored(answer Place) (bool, error) {
	if answer.Era < p.Era {
		return false, code.NotRunf(code.PlatformUnavailable, "late answer of era %d of the store in era %d", answer.Era, p.Era)
	}
	return p.Version > 0 && (answer.Era > p.Era || answer.Version < p.Version), nil
}
