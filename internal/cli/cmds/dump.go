package cmds

import (
	"fmt"
	"sort"
	"strings"

	"github.com/spf13/cobra"
)

func newDump() *cobra.Command {
	flags := &adminFlags{}
	cmd := &cobra.Command{
		Use:   "dump ADDRESS [PART]",
		Short: "Print the state of a daemon",
		Long: `Reads the state of a daemon from its administration API at ADDRESS and prints it.
PART limits the output to one part, such as admission, members or selection.`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := flags.checkFormat(); err != nil {
				return err
			}
			path := "/dump"
			if len(args) > 1 {
				path += "/" + args[1]
			}
			state, err := flags.get(cmd.Context(), args[0], path)
			if err != nil {
				return err
			}
			var text strings.Builder
			outline(&text, state, "")
			return flags.write(cmd.OutOrStdout(), state, text.String())
		},
	}
	flags.addFlags(cmd)
	return cmd
}

// outline writes decoded JSON as indented key: value lines.
func outline(text *strings.Builder, value any, indent string) {
	switch typed := value.(type) {
	case map[string]any:
		keys := make([]string, 0, len(typed))
		for key := range typed {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for _, key := range keys {
			writeEntry(text, indent+key+":", typed[key], indent)
		}
	case []any:
		for _, element := range typed {
			writeEntry(text, indent+"-", element, indent)
		}
	default:
		fmt.Fprintf(text, "%s%v\n", indent, scalar(typed))
	}
}

func writeEntry(text *strings.Builder, label string, value any, indent string) {
	switch typed := value.(type) {
	case map[string]any, []any:
		text.WriteString(label + "\n")
		outline(text, typed, indent+"  ")
	default:
		fmt.Fprintf(text, "%s %v\n", label, scalar(typed))
	}
}

func scalar(value any) any {
	switch typed := value.(type) {
	case nil:
		return "none"
	case float64:
		if typed == float64(int64(typed)) {
			return int64(typed)
		}
	}
	return value
}
