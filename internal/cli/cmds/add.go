package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

func newAdd() *cobra.Command {
	return newChange("add FILE...", "Add files to the configuration folder, or replace those with the same names",
		cobra.MinimumNArgs(1), add)
}

func add(ctx context.Context, writer *change.Writer, args []string, options change.Options) (change.Result, error) {
	var put []files.File
	for _, path := range args {
		file, err := files.ReadFile(path)
		if err != nil {
			return change.Result{}, err
		}
		put = append(put, file)
	}
	return writer.Add(ctx, put, options)
}
