package cmds

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

type mergedJSON struct {
	Revision uint64      `json:"revision"`
	Keys     []entryJSON `json:"keys"`
}

type entryJSON struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	File  string `json:"file"`
	Line  int    `json:"line"`
}

func newShow() *cobra.Command {
	var p platformFlags
	var revision uint64
	cmd := &cobra.Command{
		Use:   "show",
		Short: "Show the merged configuration, each key with its file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			writer, err := p.writer(cmd.ErrOrStderr(), false)
			if err != nil {
				return err
			}
			set, err := writer.Show(cmd.Context(), revision)
			if err != nil {
				return err
			}
			merged, err := files.Merge(set)
			if err != nil {
				return err
			}
			encoded, text := formatMerged(merged)
			return p.write(cmd.OutOrStdout(), encoded, text)
		},
	}
	p.addReadFlags(cmd)
	cmd.Flags().Uint64Var(&revision, "revision", 0, "revision to show; 0: the latest")
	return cmd
}

func formatMerged(merged *files.Merged) (encoded mergedJSON, text string) {
	encoded = mergedJSON{Revision: merged.Config.Revision, Keys: []entryJSON{}}
	var lines strings.Builder
	fmt.Fprintf(&lines, "# revision %d\n", merged.Config.Revision)
	section := ""
	for _, entry := range merged.Entries() {
		encoded.Keys = append(encoded.Keys, entryJSON{Key: entry.ID.String(), Value: entry.Value, File: entry.File, Line: entry.Line})
		header := files.ID{Section: entry.ID.Section, Name: entry.ID.Name}.String()
		if header != section {
			section = header
			fmt.Fprintln(&lines, section)
		}
		if entry.ID.Key != "" {
			fmt.Fprintf(&lines, "%s = %s\n", entry.ID.Key, entry.Value)
		}
		fmt.Fprintf(&lines, "# from %s:%d\n", entry.File, entry.Line)
	}
	return encoded, lines.String()
}
