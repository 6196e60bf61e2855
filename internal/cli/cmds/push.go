package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

func newPush() *cobra.Command {
	var revision uint64
	cmd := newChange("push DIR | push --revision N",
		"Replace the configuration folder by a local one, or by its state at an earlier revision", cobra.MaximumNArgs(1),
		func(ctx context.Context, writer *change.Writer, args []string, options change.Options) (change.Result, error) {
			return push(ctx, writer, args, revision, options)
		})
	cmd.Flags().Uint64Var(&revision, "revision", 0, "earlier revision to restore, in place of DIR")
	return cmd
}

func push(ctx context.Context, writer *change.Writer, args []string, revision uint64, options change.Options) (change.Result, error) {
	switch {
	case (len(args) == 1) == (revision > 0):
		return change.Result{}, usagef("want exactly one of DIR and --revision")
	case revision > 0:
		return writer.Revert(ctx, revision, options)
	}
	folder, err := files.ReadFolder(args[0])
	if err != nil {
		return change.Result{}, err
	}
	return writer.Push(ctx, folder, options)
}
