package cmds

import (
	"github.com/spf13/cobra"
)

func newStandIn() *cobra.Command {
	cmd := newGroup("stand-in", "Run a stand-in of an outside system, for tests and the local system")
	cmd.AddCommand(newStandInPlatform(), newStandInServer())
	return cmd
}
