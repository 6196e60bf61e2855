package cmds

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

type listingJSON struct {
	Revision uint64        `json:"revision"`
	Files    []listingFile `json:"files"`
}

type listingFile struct {
	Name  string `json:"name"`
	Bytes int    `json:"bytes"`
}

func newList() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List the files of the configuration folder",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			writer, err := p.writer(cmd.ErrOrStderr(), false)
			if err != nil {
				return err
			}
			set, err := writer.Show(cmd.Context(), 0)
			if err != nil {
				return err
			}
			listing := listingJSON{Revision: set.Revision, Files: []listingFile{}}
			var text strings.Builder
			fmt.Fprintf(&text, "revision %d, %d files\n", set.Revision, len(set.Files))
			for _, file := range set.Files {
				listing.Files = append(listing.Files, listingFile{Name: file.Name, Bytes: len(file.Content)})
				fmt.Fprintln(&text, file.Name)
			}
			return p.write(cmd.OutOrStdout(), listing, text.String())
		},
	}
	p.addReadFlags(cmd)
	return cmd
}
