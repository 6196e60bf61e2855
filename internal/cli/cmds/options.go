package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/rest"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// The output format flag and its values.
const (
	outputFlag = "output"
	outputText = "text"
	outputJSON = "json"
)

// output holds the flag for the output format.
type output struct {
	format string
}

func (o *output) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.format, outputFlag, outputText, "output format: text or json")
}

// write prints value as JSON, or text unchanged, depending on the format.
func (o *output) write(w io.Writer, value any, text string) error {
	if o.format == outputText {
		_, err := io.WriteString(w, text)
		return err
	}
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(body))
	return err
}

func (o *output) checkFormat() error {
	if o.format != outputText && o.format != outputJSON {
		return usagef("--output %q: want text or json", o.format)
	}
	return nil
}

// platformFlags holds the flags of the commands that use the platform.
type platformFlags struct {
	output
	table    string
	objects  string
	operator string
	timeout  time.Duration
	verbose  bool
	options  change.Options
}

// addReadFlags adds the flags of a command that reads.
func (p *platformFlags) addReadFlags(cmd *cobra.Command) {
	p.addFlags(cmd)
	cmd.Flags().StringVar(&p.table, "platform-table", "", "IP:PORT of the platform's table service")
	cmd.Flags().StringVar(&p.objects, "platform-objects", "", "IP:PORT of the platform's object store; empty: the same as the table service")
	cmd.Flags().DurationVar(&p.timeout, "platform-timeout", rest.DefaultTimeout, "limit of one request to the platform")
	cmd.Flags().BoolVar(&p.verbose, "verbose", false, "write events to the standard error output")
}

// addWriteFlags adds the flags of a command that changes the configuration.
func (p *platformFlags) addWriteFlags(cmd *cobra.Command) {
	p.addReadFlags(cmd)
	cmd.Flags().StringVar(&p.operator, "operator", "", "name that is recorded with the change")
	cmd.Flags().BoolVar(&p.options.DryRun, "dry-run", false, "check the change and print its effects without making it")
	cmd.Flags().Uint64Var(&p.options.Base, "base", 0, "revision that the change was made from; 0: the latest")
}

// writer returns a configuration writer set up from the flags. Its log goes to errOut. Commands that make changes need an operator.
func (p *platformFlags) writer(errOut io.Writer, changing bool) (*change.Writer, error) {
	if err := p.checkFormat(); err != nil {
		return nil, err
	}
	rows, err := netip.ParseAddrPort(p.table)
	if err != nil {
		return nil, usagef("--platform-table %q: want IP:PORT", p.table)
	}
	objects := rows
	if p.objects != "" {
		if objects, err = netip.ParseAddrPort(p.objects); err != nil {
			return nil, usagef("--platform-objects %q: want IP:PORT", p.objects)
		}
	}
	if changing && p.operator == "" {
		return nil, usagef("--operator is missing")
	}
	level := slog.LevelWarn
	if p.verbose {
		level = slog.LevelDebug
	}
	return &change.Writer{
		Store:    &table.HTTP{Client: rest.Client{Address: rows, Timeout: p.timeout}},
		Objects:  &object.HTTP{Client: rest.Client{Address: objects, Timeout: p.timeout}},
		Operator: p.operator,
		Log:      logs.New(errOut, level),
	}, nil
}
