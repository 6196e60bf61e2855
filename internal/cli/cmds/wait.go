package cmds

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

const (
	waitTimeout  = 30 * time.Second
	waitInterval = 200 * time.Millisecond
)

func newConfigWait() *cobra.Command {
	flags := &adminFlags{}
	var revision, serial uint64
	var limit time.Duration
	cmd := &cobra.Command{
		Use:   "wait ADDRESS",
		Short: "Wait until every known daemon has a revision in force",
		Long: `Polls all daemons known to the daemon with the administration API at ADDRESS until each has the revision in force.
With --serial, waits for the operators' own version of the configuration instead, as on a hosted platform. Without both, waits for the
latest revision that the platform has accepted. After the time limit, lists the daemons that do not have it in force and exits with
status 1.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := flags.checkFormat(); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), limit)
			defer cancel()
			if revision > 0 && serial > 0 {
				return usagef("--revision and --serial exclude each other")
			}
			awaited := waitTarget{key: "serial", number: serial}
			if serial == 0 {
				awaited.key, awaited.number = "revision", revision
			}
			if awaited.number == 0 {
				latest, err := flags.latest(ctx, args[0])
				if err != nil {
					return err
				}
				awaited.number = latest
			}
			response, text, err := flags.wait(ctx, args[0], awaited)
			if response == nil {
				return err
			}
			return errors.CombineErrors(err, flags.write(cmd.OutOrStdout(), response, text))
		},
	}
	flags.addFlags(cmd)
	cmd.Flags().Uint64Var(&revision, "revision", 0, "revision to wait for; 0: the latest accepted one")
	cmd.Flags().Uint64Var(&serial, "serial", 0, "operators' own version of the configuration to wait for, without letters")
	cmd.Flags().DurationVar(&limit, "limit", waitTimeout, "how long to wait")
	return cmd
}

// waitTarget is the revision or the serial that daemons should have in force.
type waitTarget struct {
	key    string
	number uint64
}

// String returns the name and the number.
func (w waitTarget) String() string {
	return fmt.Sprintf("%s %d", w.key, w.number)
}

func (a *adminFlags) latest(ctx context.Context, address string) (uint64, error) {
	response, err := a.get(ctx, address, "/config/latest")
	if err != nil {
		return 0, err
	}
	fields, _ := response.(map[string]any)
	number, _ := fields["revision"].(float64)
	return uint64(number), nil
}

// wait polls the daemon until no daemon lacks the configuration. When ctx ends, it returns the last list and an error.
func (a *adminFlags) wait(ctx context.Context, address string, awaited waitTarget) (response any, text string, err error) {
	for {
		next, err := a.get(ctx, address, "/config/behind?"+awaited.key+"="+strconv.FormatUint(awaited.number, 10))
		if err != nil && response == nil {
			return nil, "", err
		}
		if err == nil {
			response = next
		}
		behind := listBehind(response)
		if err == nil && len(behind) == 0 {
			return response, fmt.Sprintf("%s is in force at every known daemon\n", awaited), nil
		}
		select {
		case <-ctx.Done():
			return response, strings.Join(behind, ""), errors.Newf("%d daemons do not have %s in force", len(behind), awaited)
		case <-time.After(waitInterval):
		}
	}
}

func listBehind(response any) []string {
	fields, _ := response.(map[string]any)
	list, _ := fields["behind"].([]any)
	lines := make([]string, 0, len(list))
	for _, item := range list {
		entry, _ := item.(map[string]any)
		line := fmt.Sprintf("%v zone %v in force %v serial %v", entry["address"], entry["zone"], scalar(entry["in-force"]),
			scalar(entry["serial-in-force"]))
		if failure, found := entry["error"]; found {
			line += fmt.Sprintf(" error %v", failure)
		}
		lines = append(lines, line+"\n")
	}
	return lines
}
