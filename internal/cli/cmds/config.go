package cmds

import (
	"github.com/spf13/cobra"
)

func newConfig() *cobra.Command {
	cmd := newGroup("config", "Check, change and show the configuration folder")
	cmd.AddCommand(newCheck(), newAdd(), newRemove(), newList(), newShow(), newLog(), newPush(), newConfigWait(), newDigest())
	return cmd
}

// newGroup returns a command that only has subcommands.
func newGroup(name, short string) *cobra.Command {
	return &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return usagef("%s needs a subcommand; see %s --help", cmd.CommandPath(), cmd.CommandPath())
		},
	}
}
