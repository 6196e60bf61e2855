package cmds

import (
	"github.com/spf13/cobra"
)

func newRemove() *cobra.Command {
	var p platform
	cmd := &cobra.Command{
		Use:   "remove NAME...",
		Short: "Remove files from the configuration folder",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			writer, err := p.writer(cmd.ErrOrStderr(), true)
			if err != nil {
				return err
			}
			result, err := writer.Remove(cmd.Context(), args, p.changes)
			if err != nil {
				return err
			}
			return p.writeResult(cmd.OutOrStdout(), result)
		},
	}
	p.addWrite(cmd)
	return cmd
}
