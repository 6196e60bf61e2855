package cmds

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

const rolloutPage = 100 // rows

// readRollout returns the row of a roll-out, if there is one.
func readRollout(ctx context.Context, store table.Store, service string) (row rolloutRow, found bool, err error) {
	stored, err := store.Get(ctx, rolloutRowPrefix+service)
	if code.Of(err).Code == code.NotFound {
		return rolloutRow{}, false, nil
	}
	if err != nil {
		return rolloutRow{}, false, err
	}
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return rolloutRow{}, false, errors.Wrapf(err, "decode the row %s%s", rolloutRowPrefix, service)
	}
	return row, true, nil
}

// rolloutServices returns the services that have an order or a row, sorted.
func rolloutServices(ctx context.Context, store table.Store, c *config.Config) ([]string, error) {
	services := map[string]bool{}
	for service := range c.Rollouts {
		services[service] = true
	}
	for after := rolloutRowPrefix; ; {
		rows, err := store.Range(ctx, rolloutRowPrefix, after, rolloutPage)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return slices.Sorted(maps.Keys(services)), nil
		}
		for _, row := range rows {
			services[strings.TrimPrefix(row.Key, rolloutRowPrefix)] = true
			after = row.Key
		}
	}
}
