// Command marigoldwinch is a load balancer for servers whose load shifts in milliseconds.
package main

import (
	"os"

	"marigoldwinch.example/marigoldwinch/internal/cli/cmds"
)

func main() {
	os.Exit(cmds.Execute())
}
