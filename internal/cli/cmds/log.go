package cmds

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const defaultLogLimit = 20

type changeJSON struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"change-id"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Put      []string  `json:"put,omitempty"`
	Remove   []string  `json:"remove,omitempty"`
}

func newLog() *cobra.Command {
	var p platformFlags
	var limit int
	cmd := &cobra.Command{
		Use:   "log",
		Short: "List the latest accepted changes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if limit < 0 {
				return usagef("--limit %d: want 0 or more", limit)
			}
			writer, err := p.writer(cmd.ErrOrStderr(), false)
			if err != nil {
				return err
			}
			history, err := writer.History(cmd.Context(), limit)
			if err != nil {
				return err
			}
			list := []changeJSON{}
			var text strings.Builder
			for _, change := range history {
				encoded := changeJSON{Revision: change.Revision, ID: change.ID, Operator: change.Operator, At: change.At, Remove: change.Remove}
				for _, file := range change.Put {
					encoded.Put = append(encoded.Put, file.Name)
				}
				list = append(list, encoded)
				fmt.Fprintf(&text, "%d %s %s %s", encoded.Revision, encoded.At.Format(time.RFC3339), encoded.Operator, encoded.ID)
				fmt.Fprintf(&text, " put=%s remove=%s\n", strings.Join(encoded.Put, ","), strings.Join(encoded.Remove, ","))
			}
			return p.write(cmd.OutOrStdout(), list, text.String())
		},
	}
	p.addReadFlags(cmd)
	cmd.Flags().IntVar(&limit, "limit", defaultLogLimit, "number of changes; 0: all that are still in the log")
	return cmd
}
