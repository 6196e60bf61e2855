package files

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

func rolloutKeys() []Key {
	return []Key{
		rolloutKey("target", textRequired, fmt.Sprintf("at most %d bytes", MaxTextBytes), "release of the servers that are to get the traffic",
			func(r *config.Rollout, value string) error {
				if value == "" || len(value) > MaxTextBytes {
					return errors.Newf("want a release of at most %d bytes", MaxTextBytes)
				}
				r.Target = value
				return nil
			}),
		rolloutKey("duration", config.DefaultRolloutDuration.String(), fmt.Sprintf("%s to %s", MinTimeout, MaxTimeout),
			"from the order to its completion", func(r *config.Rollout, value string) error {
				return setDuration(&r.Duration, value, MinTimeout, MaxTimeout)
			}),
		rolloutKey("order", "0", "a whole number", "distinguishes two orders for the same service; the later one is higher",
			func(r *config.Rollout, value string) error {
				order, err := strconv.ParseUint(value, 10, 64)
				if err != nil {
					return errors.Newf("%q: want a whole number", clip(value))
				}
				r.Order = order
				return nil
			}),
	}
}

func rolloutKey(name, defaultText, allowed, meaning string, set func(*config.Rollout, string) error) Key {
	return Key{
		Section: RolloutSection, Name: name, Default: defaultText, Allowed: allowed, Meaning: meaning,
		set: func(b *builder, section, value string) error { return set(b.rollout(section), value) },
	}
}

func precedenceKeys() []Key {
	return []Key{{
		Section: PrecedenceSection, Name: "enabled", Default: textFalse, Allowed: boolValues,
		Meaning: "when there is too little room, requests are ordered by priority, deadline and the work that they need",
		set:     func(b *builder, _, value string) error { return setBool(&b.config.Precedence, value) },
	}}
}

// checkRollouts checks that each ordered roll-out has a target and a configured service.
func (m *Merged) checkRollouts() []Problem {
	var problems []Problem
	for _, service := range sortedNames(m.Config.Rollouts) {
		detail := ""
		switch {
		case m.Config.Rollouts[service].Target == "":
			detail = "the roll-out has no target"
		case m.Config.Services[service] == nil:
			detail = fmt.Sprintf("service %s is not configured", service)
		default:
			continue
		}
		problem := Problem{Key: formatHeader(RolloutSection, service), Detail: detail}
		for _, key := range []string{"target", "duration", "order"} {
			if entry, found := m.Keys[ID{Section: RolloutSection, Name: service, Key: key}]; found {
				problem.File, problem.Line = entry.File, entry.Line
				break
			}
		}
		problems = append(problems, problem)
	}
	return problems
}

func sortedNames[T any](values map[string]T) []string {
	return slices.Sorted(maps.Keys(values))
}
