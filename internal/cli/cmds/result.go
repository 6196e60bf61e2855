package cmds

import (
	"fmt"
	"io"
	"strings"

	"marigoldwinch.example/marigoldwinch/internal/conf/change"
)

type resultJSON struct {
	Revision  uint64       `json:"revision"`
	ID        string       `json:"change-id,omitempty"`
	Unchanged bool         `json:"unchanged"`
	DryRun    bool         `json:"dry-run"`
	Put       []string     `json:"put,omitempty"`
	Remove    []string     `json:"remove,omitempty"`
	Effects   []effectJSON `json:"effects,omitempty"`
}

type effectJSON struct {
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
	File   string `json:"file,omitempty"`
}

// writeResult prints the result of a change.
func (o *output) writeResult(w io.Writer, result change.Result) error {
	encoded := resultJSON{
		Revision:  result.Revision,
		ID:        result.ID,
		Unchanged: result.Unchanged,
		DryRun:    result.DryRun,
		Put:       result.Put,
		Remove:    result.Remove,
	}
	var text strings.Builder
	switch {
	case result.Unchanged:
		fmt.Fprintf(&text, "nothing to change in revision %d\n", result.Revision)
	case result.DryRun:
		fmt.Fprintf(&text, "dry run against revision %d: nothing was changed\n", result.Revision)
	default:
		fmt.Fprintf(&text, "accepted as revision %d, change %s\n", result.Revision, result.ID)
	}
	for _, name := range result.Put {
		fmt.Fprintf(&text, "  put %s\n", name)
	}
	for _, name := range result.Remove {
		fmt.Fprintf(&text, "  remove %s\n", name)
	}
	for _, effect := range result.Effects {
		encoded.Effects = append(encoded.Effects, effectJSON{
			Key:    effect.Key.String(),
			Before: effect.Before,
			After:  effect.After,
			File:   effect.File,
		})
		fmt.Fprintf(&text, "  %s: %q to %q\n", effect.Key, effect.Before, effect.After)
	}
	return o.write(w, encoded, text.String())
}
