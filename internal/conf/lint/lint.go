// Package lint finds entries of a valid configuration that are probably mistakes: those that can never match or have no effect, and limits
// that contradict each other.
package lint

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Kind -linecomment -output=names.go

// Kind is the type of a finding.
type Kind int

// The kinds of findings.
const (
	NeverMatches  Kind = iota // never-matches
	NoEffect                  // no-effect
	Unused                    // unused
	Contradiction             // contradiction
	RankGap                   // rank-gap
)

// Finding is an entry that is probably a mistake.
type Finding struct {
	Kind Kind
	files.Problem
}

// maxRankGap is the largest difference between two successive ranks that counts as meant.
const maxRankGap = 10

// Check returns the findings of a valid configuration, sorted by file and line.
func Check(merged *files.Merged) []Finding {
	c := &checker{merged: merged, conf: merged.Config, ranks: map[int][]files.ID{}}
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	c.checkRanks()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return c.findings
}

type checker struct {
	merged   *files.Merged
	conf     *config.Config
	ranks    map[int][]files.ID // keys that set a priority, by its value
	findings []Finding
}

// add records a finding at the entry of a key or, if no file sets it, at the first entry of its section.
func (c *checker) add(kind Kind, id files.ID, format string, args ...any) {
	entry, found := c.merged.Keys[id]
	if !found {
		entry = c.firstOf(id)
	}
	c.findings = append(c.findings, Finding{Kind: kind, Problem: files.Problem{
		File: entry.File, Line: entry.Line, Key: id.String(), Detail: fmt.Sprintf(format, args...),
	}})
}

// firstOf returns the first entry of the section of a key.
func (c *checker) firstOf(id files.ID) files.Entry {
	for _, entry := range c.merged.Entries() {
		if entry.ID.Section == id.Section && entry.ID.Name == id.Name {
			return entry
		}
	}
	return files.Entry{}
}

// isSet reports whether a file sets the key. Defaults are no mistakes.
func (c *checker) isSet(id files.ID) bool {
	_, found := c.merged.Keys[id]
	return found
}

// addRank records a rank that a file sets.
func (c *checker) addRank(priority int, id files.ID) {
	if c.isSet(id) {
		c.ranks[priority] = append(c.ranks[priority], id)
	}
}

// checkRanks finds ranks that are far behind all others, such as 100 for 10.
func (c *checker) checkRanks() {
	ranks := slices.Sorted(maps.Keys(c.ranks))
	for i := 1; i < len(ranks); i++ {
		if ranks[i]-ranks[i-1] <= maxRankGap {
			continue
		}
		for _, id := range c.ranks[ranks[i]] {
			c.add(RankGap, id, "rank %d: the next one in use is %d", ranks[i], ranks[i-1])
		}
	}
}

func sortedNames[T any](values map[string]T) []string {
	return slices.Sorted(maps.Keys(values))
}
