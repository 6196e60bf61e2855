package change

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// Rollout orders a roll-out in the file rollout-SERVICE.ini. Its number is above that of the order in force and at least ordered.Order.
// Without an order in force it is also above the revision: daemons may know a withdrawn order with a lower number.
func (w *Writer) Rollout(ctx context.Context, ordered config.Rollout, options Options) (Result, error) {
	if !files.ValidSectionName(ordered.Service) {
		return Result{}, code.NotRunf(code.BadRequest, "%q is not a service name", ordered.Service)
	}
	name := rolloutFileName(ordered.Service)
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		merged, err := files.Merge(base)
		if err != nil {
			return nil, nil, err
		}
		if other, found := otherRolloutFile(merged, ordered.Service); found {
			return nil, nil, code.NotRunf(code.ChangeOverridden, "the roll-out of %s is set by %s", ordered.Service, other)
		}
		order := max(ordered.Order, base.Revision+1)
		if current, found := merged.Config.Rollouts[ordered.Service]; found {
			order = max(ordered.Order, current.Order+1)
		}
		content := fmt.Sprintf("[%s %s]\ntarget = %s\nduration = %s\norder = %d\n", files.RolloutSection, ordered.Service, ordered.Target,
			ordered.Duration, order)
		return []files.File{{Name: name, Content: content}}, nil, nil
	})
}

// Withdraw removes the order of a roll-out.
func (w *Writer) Withdraw(ctx context.Context, service string, options Options) (Result, error) {
	return w.change(ctx, options, func(base files.Set) ([]files.File, []string, error) {
		merged, err := files.Merge(base)
		if err != nil {
			return nil, nil, err
		}
		if other, found := otherRolloutFile(merged, service); found {
			return nil, nil, code.NotRunf(code.ChangeOverridden, "the roll-out of %s is set by %s", service, other)
		}
		if _, found := merged.Config.Rollouts[service]; !found {
			return nil, nil, code.NotRunf(code.NotFound, "no roll-out of %s in revision %d", service, base.Revision)
		}
		return nil, []string{rolloutFileName(service)}, nil
	})
}

func rolloutFileName(service string) string {
	return "rollout-" + service + ".ini"
}

// otherRolloutFile returns a file that sets keys of the roll-out other than its own one, or the own one if it sets other keys too.
func otherRolloutFile(merged *files.Merged, service string) (string, bool) {
	own := rolloutFileName(service)
	for _, name := range slices.Sorted(maps.Keys(merged.Files)) {
		inRollout := func(id files.ID) bool { return id.Section == files.RolloutSection && id.Name == service }
		ids := merged.Files[name]
		if name == own && !slices.ContainsFunc(ids, func(id files.ID) bool { return !inRollout(id) }) {
			continue
		}
		if name == own || slices.ContainsFunc(ids, inRollout) {
			return name, true
		}
	}
	return "", false
}

// isRolloutFile reports whether a file of the set is one that Rollout writes.
func isRolloutFile(set files.Set, name string) bool {
	merged, err := files.Merge(set)
	if err != nil {
		return false
	}
	ids, found := merged.Files[name]
	return found && len(ids) > 0 && !slices.ContainsFunc(ids, func(id files.ID) bool {
		return id.Section != files.RolloutSection || rolloutFileName(id.Name) != name
	})
}
