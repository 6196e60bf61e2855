package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/opts"
)

func newSettings() *cobra.Command {
	cmd := newGroup("settings", "Check the settings of a daemon")
	cmd.AddCommand(newSettingsCheck())
	return cmd
}

type settingsJSON struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Hosted  bool   `json:"hosted"`
}

func newSettingsCheck() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and report each error with its section and key",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := out.checkFormat(); err != nil {
				return err
			}
			settings, err := opts.Load(args[0])
			if err != nil {
				return err
			}
			checked := settingsJSON{Service: settings.Service, Zone: settings.Zone, Hosted: settings.Hosted}
			platform := "built-in"
			if settings.Hosted {
				platform = "hosted"
			}
			text := fmt.Sprintf("valid: service %s in %s, platform %s\n", checked.Service, checked.Zone, platform)
			return out.write(cmd.OutOrStdout(), checked, text)
		},
	}
	out.addFlags(cmd)
	return cmd
}
