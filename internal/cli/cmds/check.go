package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

type checkedJSON struct {
	Files      int      `json:"files"`
	Services   int      `json:"services"`
	Overridden []string `json:"overridden"`
}

func newCheck() *cobra.Command {
	var out output
	cmd := &cobra.Command{
		Use:   "check DIR",
		Short: "Check a configuration folder without the platform",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := out.checkFormat(); err != nil {
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
			checked, text := summarize(merged, found)
			return out.write(cmd.OutOrStdout(), checked, text)
		},
	}
	out.addFlags(cmd)
	return cmd
}

// summarize describes a valid folder. It also lists the files without effect, which config add would reject.
func summarize(merged *files.Merged, found []files.File) (summary checkedJSON, text string) {
	summary = checkedJSON{Files: len(found), Services: len(merged.Config.Services), Overridden: []string{}}
	text = fmt.Sprintf("valid: %d files, %d services\n", summary.Files, summary.Services)
	for _, file := range found {
		if other, overridden := merged.OverriddenBy(file.Name); overridden {
			summary.Overridden = append(summary.Overridden, file.Name)
			text += fmt.Sprintf("no effect: every key of %s is overridden, %s by %s\n", file.Name, other.ID, other.File)
		}
	}
	return summary, text
}
