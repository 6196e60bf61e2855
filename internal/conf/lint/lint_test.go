package lint

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// Guards against mistakes that operators are not told of, and against findings in a configuration that has none.
func TestFindings(t *testing.T) {
	datadriven.RunTest(t, "testdata/mistakes", func(_ *testing.T, d *datadriven.TestData) string {
		merged, err := files.Merge(files.Set{Files: []files.File{{Name: "a.ini", Content: d.Input}}})
		if err != nil {
			return err.Error() + "\n"
		}
		var text strings.Builder
		for _, finding := range Check(merged) {
			fmt.Fprintf(&text, "%s: %s\n", finding.Kind, finding.Problem)
		}
		return text.String()
	})
}
