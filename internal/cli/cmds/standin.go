package cmds

import (
	"github.com/spf13/cobra"
)

func newStandIn() *cobra.Command {
	cmd := newGroup("stand-in", "Run a stand-in for an external system, for tests and the local system")
	cmd.AddCommand(newStandInPlatform(), newStandInServer())
	return cmd
}
