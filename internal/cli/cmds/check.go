package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

func newCheck() *cobra.Command {
	var form output
	cmd := &cobra.Command{
		Use:   "check DIR",
		Short: "Check a configuration folder without the platform",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := form.check(); err != nil {
				return err
			}
			found, err := files.ReadFolder(args[0])
			if err != nil {
				return err
			}
			merged, err := files.Merge(files.Set{Files: found})
			if err != nil {
				return err
			}
			counts := map[string]int{
				"files":    len(found),
				"services": len(merged.Config.Services),
				"zones":    len(merged.Config.Zones),
				"servers":  len(merged.Config.Servers),
			}
			text := fmt.Sprintf("valid: %d files, %d services\n", counts["files"], counts["services"])
			return form.write(cmd.OutOrStdout(), counts, text)
		},
	}
	form.add(cmd)
	return cmd
}
