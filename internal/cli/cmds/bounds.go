package cmds

import (
	"fmt"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/bench/bound"
)

const columnGap = 2

// newBounds returns a hidden command, because only the project's `make bench` uses it.
func newBounds() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:    "bounds --file FILE",
		Short:  "Compare the output of go test -bench on the standard input with bounds",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			bounds, err := bound.Load(file)
			if err != nil {
				return err
			}
			figures, err := bound.Read(cmd.InOrStdin())
			if err != nil {
				return err
			}
			return printVerdicts(cmd, bound.Compare(bounds, figures))
		},
	}
	cmd.Flags().StringVar(&file, "file", "bench/bounds.ini", "file of bounds")
	return cmd
}

// printVerdicts lists all bounds and returns an error if one is not met.
func printVerdicts(cmd *cobra.Command, verdicts []bound.Result) error {
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, columnGap, ' ', 0)
	unmet := 0
	for _, v := range verdicts {
		verdict, measured := "met", fmt.Sprintf("%.4g", v.Measured)
		if v.Missing {
			measured = "not measured"
		}
		if !v.Met() {
			verdict = "SHORT"
			unmet++
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", verdict, v.Benchmark, v.Metric, measured, v.Text)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write verdicts")
	}
	if unmet > 0 {
		return errors.Newf("%d of %d bounds are not met", unmet, len(verdicts))
	}
	return nil
}
