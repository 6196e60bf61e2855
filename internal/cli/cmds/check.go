package cmds

import (
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

func newCheck() *cobra.Command {
	var p platformFlags
	var strict bool
	cmd := &cobra.Command{
		Use:   "check DIR|FILE.json",
		Short: "Check a configuration before it is sent, without the platform or against what is in force",
		Long: "Check a configuration folder, or the operators' record of a hosted platform. Entries that are probably mistakes are\n" +
			"named but are no errors, unless --strict is given. With --platform-table it tells what would change, and for whom.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := p.checkFormat(); err != nil {
				return err
			}
			result, err := check(args[0])
			if err != nil {
				return err
			}
			if p.table != "" {
				if err := result.compare(cmd, &p); err != nil {
					return err
				}
			}
			encoded, text := result.describe()
			if err := p.write(cmd.OutOrStdout(), encoded, text); err != nil {
				return err
			}
			if strict && len(encoded.Findings) > 0 {
				return code.NotRunf(code.InvalidConfig, "%d findings", len(encoded.Findings))
			}
			return nil
		},
	}
	p.addReadFlags(cmd)
	cmd.Flags().BoolVar(&strict, "strict", false, "fail if an entry is probably a mistake")
	return cmd
}
