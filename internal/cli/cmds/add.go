package cmds

import (
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

func newAdd() *cobra.Command {
	var p platform
	cmd := &cobra.Command{
		Use:   "add FILE...",
		Short: "Add files to the configuration folder, or replace those with the same names",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			writer, err := p.writer(cmd.ErrOrStderr(), true)
			if err != nil {
				return err
			}
			var put []files.File
			for _, path := range args {
				file, err := files.ReadFile(path)
				if err != nil {
					return err
				}
				put = append(put, file)
			}
			result, err := writer.Add(cmd.Context(), put, p.changes)
			if err != nil {
				return err
			}
			return p.writeResult(cmd.OutOrStdout(), result)
		},
	}
	p.addWrite(cmd)
	return cmd
}
