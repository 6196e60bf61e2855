package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// rolloutRowPrefix is followed by the service in the key of the row that holds the state of its roll-out. roll/coord writes it.
const rolloutRowPrefix = "rollout/"

// rolloutRow is the value of such a row.
type rolloutRow struct {
	Service string `json:"service"`
	Order   uint64 `json:"order"`
	Target  string `json:"target"`
	Phase   string `json:"phase"`
}

// rolloutStatus is the state of a roll-out in the output. It is ordered if the configuration contains its order. It has a phase if a daemon
// has written one for this order.
type rolloutStatus struct {
	rolloutRow
	Ordered  bool   `json:"ordered"`
	Duration string `json:"duration,omitempty"`
}

func newRollout() *cobra.Command {
	cmd := newGroup("rollout", "Move the traffic of a service to servers of another release")
	cmd.AddCommand(newRolloutStart(), newRolloutStatus(), newRolloutWithdraw())
	return cmd
}

func newRolloutStart() *cobra.Command {
	var target string
	var duration time.Duration
	cmd := newChange("start SERVICE", "Order a roll-out; it replaces an earlier order for the service", cobra.ExactArgs(1),
		func(ctx context.Context, writer *change.Writer, args []string, options change.Options) (change.Result, error) {
			if target == "" || strings.ContainsAny(target, "\r\n") {
				return change.Result{}, usagef("--target %q: want the release of the target servers", target)
			}
			row, _, err := readRollout(ctx, writer.Store, args[0])
			if err != nil {
				return change.Result{}, err
			}
			ordered := config.Rollout{Service: args[0], Target: target, Duration: duration, Order: row.Order + 1}
			return writer.Rollout(ctx, ordered, options)
		})
	cmd.Flags().StringVar(&target, "target", "", "release of the servers that are to get the traffic")
	cmd.Flags().DurationVar(&duration, "duration", config.DefaultRolloutDuration, "time until the roll-out is completed or rolled back")
	return cmd
}

func newRolloutWithdraw() *cobra.Command {
	return newChange("withdraw SERVICE", "Withdraw the order of a roll-out: it is rolled back unless it is completed", cobra.ExactArgs(1),
		func(ctx context.Context, writer *change.Writer, args []string, options change.Options) (change.Result, error) {
			return writer.Withdraw(ctx, args[0], options)
		})
}

func newRolloutStatus() *cobra.Command {
	var p platformFlags
	cmd := &cobra.Command{
		Use:   "status [SERVICE]",
		Short: "Show the orders and phases of roll-outs",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			writer, err := p.writer(cmd.ErrOrStderr(), false)
			if err != nil {
				return err
			}
			list, err := rolloutStatuses(cmd.Context(), writer, args)
			if err != nil {
				return err
			}
			var text strings.Builder
			for _, s := range list {
				fmt.Fprintln(&text, s.text())
			}
			return p.write(cmd.OutOrStdout(), list, text.String())
		},
	}
	p.addReadFlags(cmd)
	return cmd
}

// rolloutStatuses returns the roll-outs of the service, or of all services, sorted by service.
func rolloutStatuses(ctx context.Context, writer *change.Writer, services []string) ([]rolloutStatus, error) {
	set, err := writer.Show(ctx, 0)
	if err != nil {
		return nil, err
	}
	merged, err := files.Merge(set)
	if err != nil {
		return nil, err
	}
	only := len(services) == 1
	if !only {
		if services, err = rolloutServices(ctx, writer.Store, merged.Config); err != nil {
			return nil, err
		}
	}
	list := []rolloutStatus{}
	for _, service := range services {
		row, found, err := readRollout(ctx, writer.Store, service)
		if err != nil {
			return nil, err
		}
		ordered := merged.Config.Rollouts[service]
		switch {
		case ordered == nil && !found && only:
			return nil, code.NotRunf(code.NotFound, "no roll-out of %s", service)
		case ordered == nil && !found: // its row has been removed meanwhile
			continue
		case ordered == nil:
			list = append(list, rolloutStatus{rolloutRow: row})
			continue
		}
		status := rolloutStatus{Ordered: true, Duration: ordered.Duration.String()}
		status.rolloutRow = rolloutRow{Service: service, Order: ordered.Order, Target: ordered.Target}
		if found && row.Order == ordered.Order {
			status.Phase = row.Phase
		}
		list = append(list, status)
	}
	return list, nil
}

func (s *rolloutStatus) text() string {
	phase := s.Phase
	if phase == "" {
		phase = "not started"
	}
	line := fmt.Sprintf("%s: order %d, target %s, %s", s.Service, s.Order, s.Target, phase)
	if !s.Ordered {
		line += ", no longer ordered"
	}
	return line
}
