// Package judge compares the responses of the target release of a roll-out with those of the old release.
package judge

import (
	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Verdict,Measure -linecomment -output=names.go

// Verdict is the result of a comparison.
type Verdict int

// The verdicts.
const (
	Unsure Verdict = iota // unsure
	Good                  // good
	Bad                   // bad
)

// Measure is what was compared.
type Measure int

// The measures.
const (
	Failures  Measure = iota // failures
	Durations                // durations
)

// Finding is a verdict with the figures that determined it: those of the comparison that deviates most.
type Finding struct {
	Verdict   Verdict
	Responses uint64 // of the target release, all routes
	Measure   Measure
	Route     string  // empty: all routes together
	Of        uint64  // responses of the target release in this comparison
	Count     uint64  // those among them that failed or exceeded the threshold
	Expected  float64 // upper estimate of Count if the target release is like the old one
	Chance    float64 // probability of at least Count under that estimate
}

// Compare compares the two releases over the same period. Either tally may be nil.
func Compare(old, target *tally.Tally) Finding {
	_, finding := old, Finding{Chance: 1}
	if target != nil {
		finding.Responses, _ = target.Total()
	}
	return finding
}
