package files_test

import (
	"fmt"
	"testing"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// BenchmarkMerge measures the cost of a change for each daemon at the target size: a file for each of 360 services, and a
// state file for each of 1,500 servers that were replaced in a day.
func BenchmarkMerge(b *testing.B) {
	var set files.Set
	for i := range 360 {
		content := fmt.Sprintf("[service s-%d]\nowner = team\ntimeout = 3s\nslots = 14\nnon-idempotent = PUT /a, * /b/**\n", i)
		set.Files = append(set.Files, files.File{Name: fmt.Sprintf("%03d.ini", i), Content: content})
	}
	for i := range 1500 {
		content := fmt.Sprintf("[server 10.0.%d.%d:7000]\nstate = leaving\n", i/250, i%250)
		set.Files = append(set.Files, files.File{Name: fmt.Sprintf("server-%04d.ini", i), Content: content})
	}
	for name, merger := range map[string]func() *files.Merger{
		"first": func() *files.Merger { return new(files.Merger) },
		"next":  func() func() *files.Merger { kept := new(files.Merger); return func() *files.Merger { return kept } }(),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				set.Files[7].Content = fmt.Sprintf("[service s-7]\nslots = %d\n", i%100+3)
				if _, err := merger().Merge(set); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
