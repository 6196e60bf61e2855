package files_test

import (
	"strings"
	"testing"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// FuzzMerge guards against panics, and against differences between the parser's line scan and the INI library: an accepted
// entry whose line does not contain its key and value, or a problem with a line that is not in the file.
func FuzzMerge(f *testing.F) {
	f.Add(everyKey)
	f.Fuzz(func(t *testing.T, content string) {
		merged, err := files.Merge(files.Set{Files: []files.File{{Name: "a.ini", Content: content}}})
		lines := strings.Split(content, "\n")
		if err != nil {
			if code.Of(err).Code != code.InvalidConfig {
				t.Fatalf("uncoded error: %v", err)
			}
			for _, problem := range files.Problems(err) {
				if problem.Line < 0 || problem.Line > len(lines) || problem.File != "a.ini" {
					t.Fatalf("problem with a line that is not in the file: %v", problem)
				}
			}
			return
		}
		for _, entry := range merged.Entries() {
			if entry.Line < 1 || entry.Line > len(lines) {
				t.Fatalf("entry with a line that is not in the file: %+v", entry)
			}
			line := strings.TrimSpace(lines[entry.Line-1])
			if entry.ID.Key == "" {
				continue
			}
			key, value, found := strings.Cut(line, "=")
			if !found || strings.TrimSpace(key) != entry.ID.Key || strings.TrimSpace(value) != entry.Value {
				t.Fatalf("line %q was parsed as %+v", line, entry)
			}
		}
	})
}
