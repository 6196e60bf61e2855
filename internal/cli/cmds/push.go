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
		"Make the configuration folder equal to a local one, or to its listing at an earlier revision", cobra.MaximumNArgs(1),
		func(ctx context.Context, writer *change.Writer, args []string, options change.Options) (change.Result, error) {
			return push(ctx, writer, args, revision, options)
		})
	cmd.Flags().Uint64Var(&revision, "revision", 0, "earlier revision to return to, in place of a folder")
	return cmd
}

func push(ctx context.Context, writer *change.Writer, args []string, revision uint64, options change.Options) (change.Result, error) {
	switch {
	case (len(args) == 1) == (revision > 0):
		return change.Result{}, usagef("give either a folder or --revision")
	case revision > 0:
		return writer.Revert(ctx, revision, options)
	}
	folder, err := files.ReadFolder(args[0])
	if err != nil {
		return change.Result{}, err
	}
	return writer.Push(ctx, folder, options)
}
