package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/change"
)

func newRemove() *cobra.Command {
	return newChange("remove NAME...", "Remove files from the configuration folder", cobra.MinimumNArgs(1),
		func(ctx context.Context, writer *change.Writer, args []string, options change.Options) (change.Result, error) {
			return writer.Remove(ctx, args, options)
		})
}
