package files

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// ReadFolder reads every file of a folder. Entries that are not regular files are reported together with the problems of the
// files. Hidden files, whose names begin with a dot, are skipped.
func ReadFolder(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, code.NotRunf(code.BadRequest, "read folder").WithCause(err)
	}
	if len(entries) > MaxFiles {
		return nil, newInvalidError([]Problem{{File: dir, Detail: fmt.Sprintf("%d files: want at most %d", len(entries), MaxFiles)}})
	}
	var list []File
	var problems []Problem
	for _, entry := range entries {
		if entry.Name()[0] == '.' {
			continue
		}
		if !entry.Type().IsRegular() {
			problems = append(problems, Problem{File: entry.Name(), Detail: "not a regular file"})
			continue
		}
		file, err := ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, err
		}
		list = append(list, file)
	}
	if len(problems) == 0 {
		return list, nil
	}
	if _, err := Merge(Set{Files: list}); err != nil {
		problems = append(problems, Problems(err)...)
	}
	return nil, newInvalidError(problems)
}

// ReadFile reads a file. It reads at most one byte more than MaxFileBytes, which is enough for the parser to refuse the file.
func ReadFile(path string) (File, error) {
	file, err := os.Open(path)
	if err != nil {
		return File{}, code.NotRunf(code.BadRequest, "open file").WithCause(err)
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return File{}, code.NotRunf(code.BadRequest, "read file").WithCause(err)
	}
	return File{Name: filepath.Base(path), Content: string(content)}, nil
}
