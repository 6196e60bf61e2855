package files

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// routeKey describes a key of a route section.
type routeKey struct {
	name, defaultText, allowed, meaning string
	set                                 func(*config.Route, string) error
}

func (row routeKey) key() Key {
	set := func(b *builder, name, value string) error { return row.set(b.route(name), value) }
	return Key{Section: RouteSection, Name: row.name, Default: row.defaultText, Allowed: row.allowed, Meaning: row.meaning, set: set}
}

const routeKindNames = "idempotent, once, upload or download"

func routeKeys() []Key {
	durations := fmt.Sprintf("%s to %s", MinTimeout, MaxTimeout)
	rows := []routeKey{
		{"host", textRequired, fmt.Sprintf("at most %d bytes", MaxTextBytes), "host of the requests, without a port", setHost},
		{"prefix", textRequired, "begins and ends with a slash", "the longest prefix of a path decides", setPrefix},
		{
			"services", textRequired, fmt.Sprintf("at most %d services", MaxListEntries),
			"service, or several as NAME:WEIGHT separated by commas", setParts,
		},
		{
			"kind", "idempotent", routeKindNames,
			"what may be repeated; an upload runs once and has a large body, a download is idempotent and has a large response", setKind,
		},
		{"timeout", config.DefaultRouteTimeout.String(), durations, "longest time that a caller is kept waiting", setRouteTimeout},
		{"objective", config.DefaultObjective.String(), durations, "an answer within it has its full value", setObjective},
		{
			"priority", strconv.Itoa(config.DefaultPriority), fmt.Sprintf("0 to %d", MaxPriority),
			"rank of the requests; idempotent ones of rank 0 go before others", setPriority,
		},
		{
			"servers", strconv.Itoa(config.DefaultRouteServers), fmt.Sprintf("1 to %d", MaxRouteServers),
			"servers that one request may be sent to", setRouteServers,
		},
		{
			"public", textTrue, boolValues,
			"requests need no key; false: they need the key of an organisation, while organisations are configured", setPublic,
		},
	}
	list := make([]Key, 0, len(rows))
	for _, row := range rows {
		list = append(list, row.key())
	}
	return list
}

func callersKeys() []Key {
	defaults := config.DefaultCallerLimits()
	durations := fmt.Sprintf("%s to %s", MinTimeout, MaxTimeout)
	return []Key{
		callersKey("header-bytes", strconv.Itoa(defaults.HeaderBytes), fmt.Sprintf("1 to %d", MaxCallerHeader),
			"size of a request's header", func(c *config.CallerLimits, v string) error {
				return setInt(&c.HeaderBytes, v, 1, MaxCallerHeader)
			}),
		callersKey("body-bytes", strconv.FormatInt(defaults.BodyBytes, 10), fmt.Sprintf("0 to %d", MaxCallerBody),
			"size of a request's body", func(c *config.CallerLimits, v string) error {
				bytes := 0
				err := setInt(&bytes, v, 0, MaxCallerBody)
				c.BodyBytes = int64(bytes)
				return err
			}),
		callersKey("header-timeout", defaults.HeaderTimeout.String(), durations, "for a request's header",
			func(c *config.CallerLimits, v string) error {
				return setDuration(&c.HeaderTimeout, v, MinTimeout, MaxTimeout)
			}),
		callersKey("idle-timeout", defaults.IdleTimeout.String(), durations, "of a connection without a request",
			func(c *config.CallerLimits, v string) error {
				return setDuration(&c.IdleTimeout, v, MinTimeout, MaxTimeout)
			}),
	}
}

func callersKey(name, defaultText, allowed, meaning string, set func(*config.CallerLimits, string) error) Key {
	return Key{
		Section: CallersSection, Name: name, Default: defaultText, Allowed: allowed, Meaning: meaning,
		set: func(b *builder, _, value string) error { return set(&b.config.Callers, value) },
	}
}

func setHost(r *config.Route, value string) error {
	if value == "" || len(value) > MaxTextBytes || strings.ContainsAny(value, " :/") {
		return errors.Newf("%q: want a host without a port, at most %d bytes", clip(value), MaxTextBytes)
	}
	r.Host = value
	return nil
}

func setPrefix(r *config.Route, value string) error {
	if !strings.HasPrefix(value, "/") || !strings.HasSuffix(value, "/") {
		return errors.Newf("%q: want a prefix that begins and ends with a slash", clip(value))
	}
	r.Prefix = value
	return nil
}

// setParts parses services with optional weights, such as 'a' or 'a:90, b:10'.
func setParts(r *config.Route, value string) error {
	entries, err := splitList(value)
	if err != nil {
		return err
	}
	parts := make([]config.Part, 0, len(entries))
	total := 0
	for _, entry := range entries {
		part := config.Part{Service: entry, Weight: 1}
		if name, weight, weighted := strings.Cut(entry, ":"); weighted {
			part.Service = name
			if err := setInt(&part.Weight, weight, 0, MaxWeight); err != nil {
				return err
			}
		}
		if !ValidSectionName(part.Service) {
			return errors.Newf("%q is not a service name", clip(part.Service))
		}
		total += part.Weight
		parts = append(parts, part)
	}
	if total == 0 {
		return errors.New("no service has a weight above 0")
	}
	r.Parts = parts
	return nil
}

func setKind(r *config.Route, value string) error {
	for kind := config.Idempotent; kind <= config.Download; kind++ {
		if kind.String() == value {
			r.Kind = kind
			return nil
		}
	}
	return errors.Newf("%q: want %s", clip(value), routeKindNames)
}

func setPublic(r *config.Route, value string) error {
	return setBool(&r.Public, value)
}

func setRouteTimeout(r *config.Route, value string) error {
	return setDuration(&r.Timeout, value, MinTimeout, MaxTimeout)
}

func setObjective(r *config.Route, value string) error {
	return setDuration(&r.Objective, value, MinTimeout, MaxTimeout)
}

func setPriority(r *config.Route, value string) error {
	return setInt(&r.Priority, value, 0, MaxPriority)
}

func setRouteServers(r *config.Route, value string) error {
	return setInt(&r.Servers, value, 1, MaxRouteServers)
}

func setReportsLoad(s *config.Service, value string) error {
	return setBool(&s.ReportsLoad, value)
}

func setHealthPath(s *config.Service, value string) error {
	if value != "" && !strings.HasPrefix(value, "/") {
		return errors.Newf("%q: want a path that starts with /", clip(value))
	}
	s.HealthPath = value
	return nil
}

func setConnections(s *config.Service, value string) error {
	return setInt(&s.Connections, value, 0, MaxConnections)
}

func setColdRate(s *config.Service, value string) error {
	return setFloat(&s.ColdRate, value, 0, MaxColdRate)
}
