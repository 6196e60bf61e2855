package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

func newPush() *cobra.Command {
	var p platform
	var revision uint64
	cmd := &cobra.Command{
		Use:   "push DIR | push --revision N",
		Short: "Make the configuration folder equal to a local one, or to its listing at an earlier revision",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if (len(args) == 1) == (revision > 0) {
				return usagef("give either a folder or --revision")
			}
			writer, err := p.writer(cmd.ErrOrStderr(), true)
			if err != nil {
				return err
			}
			result, err := push(cmd.Context(), writer, args, revision, p.changes)
			if err != nil {
				return err
			}
			return p.writeResult(cmd.OutOrStdout(), result)
		},
	}
	p.addWrite(cmd)
	cmd.Flags().Uint64Var(&revision, "revision", 0, "earlier revision to return to, in place of a folder")
	return cmd
}

func push(ctx context.Context, writer *change.Writer, args []string, revision uint64, options change.Options) (change.Result, error) {
	if revision > 0 {
		return writer.Revert(ctx, revision, options)
	}
	folder, err := files.ReadFolder(args[0])
	if err != nil {
		return change.Result{}, err
	}
	return writer.Push(ctx, folder, options)
}
