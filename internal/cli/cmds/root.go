// Package cmds holds the commands of marigoldwinch, a file for each.
package cmds

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Execute runs the command line and returns the exit status.
func Execute() int {
	root := &cobra.Command{
		Use:           "marigoldwinch",
		Short:         "Load balancer for servers whose load shifts in milliseconds",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "marigoldwinch:", err)
		return 1
	}
	return 0
}
