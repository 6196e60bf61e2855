package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/change"
)

// newChange returns a command that makes one change to the configuration folder and prints its result.
func newChange(use, short string, count cobra.PositionalArgs,
	apply func(ctx context.Context, writer *change.Writer, args []string, options change.Options) (change.Result, error),
) *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  count,
		RunE: func(cmd *cobra.Command, args []string) error {
			writer, err := p.writer(cmd.ErrOrStderr(), true)
			if err != nil {
				return err
			}
			result, err := apply(cmd.Context(), writer, args, p.options)
			if err != nil {
				return err
			}
			return p.writeResult(cmd.OutOrStdout(), result)
		},
	}
	p.addWriteFlags(cmd)
	return cmd
}
