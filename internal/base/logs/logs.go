// Package logs writes one line of key=value pairs for each event.
package logs

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes key=value lines to w. The message of a log call is the event's stable name in kebab
// case and appears as event=NAME.
func New(w io.Writer, level slog.Leveler) logr.Logger {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: renameMessage}
	return logr.FromSlogHandler(slog.NewTextHandler(w, options))
}

func renameMessage(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return attr
	}
	if attr.Key == slog.MessageKey {
		attr.Key = "event"
	}
	return attr
}
