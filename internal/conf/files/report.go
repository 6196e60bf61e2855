package files

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// MaxProblems limits a report, so that a folder with many errors does not flood the terminal or a response.
const MaxProblems = 200

// Problem is one error in a file.
type Problem struct {
	File   string
	Line   int    // 0 if the problem concerns the whole file
	Key    string // as "[section] key"; empty if the problem concerns no key
	Detail string
}

// String returns the problem as FILE:LINE: KEY: DETAIL.
func (p Problem) String() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d", p.Line)
	}
	if p.Key != "" {
		text += ": " + p.Key
	}
	return text + ": " + p.Detail
}

// InvalidError reports the problems of a folder.
type InvalidError struct {
	Problems []Problem // sorted by file and line; 1 to MaxProblems
}

// Error returns the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// newInvalidError returns a coded error that wraps an InvalidError, or nil if there are no problems.
func newInvalidError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	detail := fmt.Sprintf("%d problems", len(problems))
	if len(problems) > MaxProblems {
		detail += fmt.Sprintf(", the first %d", MaxProblems)
		problems = problems[:MaxProblems]
	}
	return code.NotRunf(code.InvalidConfig, "%s", detail).WithCause(&InvalidError{Problems: problems})
}

// Problems returns the problems of the InvalidError that err wraps, or nil if there is none.
func Problems(err error) []Problem {
	var report *InvalidError
	if errors.As(err, &report) {
		return report.Problems
	}
	return nil
}
