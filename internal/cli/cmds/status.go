package cmds

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// The exit statuses, documented in docs/configuration.md.
const (
	StatusOK            = 0
	StatusFailure       = 1 // any other failure, and a change with an unknown outcome
	StatusUsage         = 2
	StatusRefused       = 3 // conflict with another change, overridden by another file, or no such name or revision
	StatusUnavailable   = 4 // the platform is unavailable; nothing was changed
	StatusInvalidConfig = 5
)

// usageError is an error in the command line.
type usageError struct {
	detail string
}

// Error implements error.
func (e *usageError) Error() string {
	return e.detail
}

func usagef(format string, args ...any) error {
	return &usageError{detail: fmt.Sprintf(format, args...)}
}

func exitStatus(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return StatusUsage
	}
	coded := code.Of(err)
	if coded.Outcome == code.Unknown {
		return StatusFailure
	}
	switch coded.Code {
	case code.BadRequest:
		return StatusUsage
	case code.ChangeConflict, code.ChangeOverridden, code.StaleRevision, code.NotFound:
		return StatusRefused
	case code.PlatformUnavailable:
		return StatusUnavailable
	case code.InvalidConfig:
		return StatusInvalidConfig
	default:
		return StatusFailure
	}
}

// errorJSON is the output for an error with --output json.
type errorJSON struct {
	Status   int           `json:"exit-status"`
	Code     int           `json:"code"`
	Name     string        `json:"code-name"`
	Outcome  string        `json:"outcome"`
	Detail   string        `json:"detail"`
	Problems []problemJSON `json:"problems,omitempty"`
}

type problemJSON struct {
	File   string `json:"file"`
	Line   int    `json:"line,omitempty"`
	Key    string `json:"key,omitempty"`
	Detail string `json:"detail"`
}

// report writes an error in the output format of the command.
func report(cmd *cobra.Command, w io.Writer, err error) {
	if flag := cmd.Flags().Lookup(outputFlag); flag == nil || flag.Value.String() != outputJSON {
		_, _ = fmt.Fprintln(w, "marigoldwinch:", err)
		return
	}
	encoded := errorJSON{Status: exitStatus(err), Detail: err.Error()}
	var usage *usageError
	if errors.As(err, &usage) {
		encoded.Code, encoded.Name, encoded.Outcome = int(code.BadRequest), code.BadRequest.String(), code.NotRun.String()
	} else {
		coded := code.Of(err)
		encoded.Code, encoded.Name, encoded.Outcome, encoded.Detail = int(coded.Code), coded.Code.String(), coded.Outcome.String(), coded.Detail
	}
	for _, problem := range files.Problems(err) {
		encoded.Problems = append(encoded.Problems, problemJSON(problem))
	}
	body, encodeErr := json.MarshalIndent(encoded, "", "  ")
	if encodeErr != nil {
		_, _ = fmt.Fprintln(w, "marigoldwinch:", err)
		return
	}
	_, _ = fmt.Fprintln(w, string(body))
}
