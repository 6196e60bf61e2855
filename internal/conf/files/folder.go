package files

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// ReadFolder reads every file of a folder. A subfolder, a bad file name and a file above the bound are reported together;
// hidden files, whose names begin with a dot, are left out.
func ReadFolder(dir string) ([]File, error) {
	listing, err := os.ReadDir(dir)
	if err != nil {
		return nil, code.NotRunf(code.BadRequest, "folder").WithCause(err)
	}
	if len(listing) > MaxFiles {
		return nil, invalid([]Problem{{File: dir, Detail: fmt.Sprintf("%d files: want at most %d", len(listing), MaxFiles)}})
	}
	var found []File
	var problems []Problem
	for _, item := range listing {
		if item.Name()[0] == '.' {
			continue
		}
		if !item.Type().IsRegular() {
			problems = append(problems, Problem{File: item.Name(), Detail: "not a regular file"})
			continue
		}
		file, err := ReadFile(filepath.Join(dir, item.Name()))
		if err != nil {
			return nil, err
		}
		found = append(found, file)
	}
	if len(problems) == 0 {
		return found, nil
	}
	if _, err := Merge(Set{Files: found}); err != nil {
		problems = append(problems, Problems(err)...)
	}
	return nil, invalid(problems)
}

// ReadFile reads a file. Of a file above the bound it reads just enough for the parser to refuse it.
func ReadFile(path string) (File, error) {
	opened, err := os.Open(path)
	if err != nil {
		return File{}, code.NotRunf(code.BadRequest, "file").WithCause(err)
	}
	defer func() { _ = opened.Close() }()
	content, err := io.ReadAll(io.LimitReader(opened, MaxFileBytes+1))
	if err != nil {
		return File{}, code.NotRunf(code.BadRequest, "file").WithCause(err)
	}
	return File{Name: filepath.Base(path), Content: string(content)}, nil
}
