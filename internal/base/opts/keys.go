package opts

import (
	"log/slog"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Key describes one setting.
type Key struct {
	Section string
	Name    string
	Default string // empty if Required
	Bound   string // permitted values, as docs/settings.md prints them
	Meaning string // as docs/settings.md prints it

	Required bool
	set      func(s *Settings, value string) error
}

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// Keys returns every setting in the order of docs/settings.md.
func Keys() []Key {
	keys := daemonKeys()
	keys = append(keys, serverKeys()...)
	keys = append(keys, fleetKeys()...)
	keys = append(keys, boundKeys()...)
	return append(keys, limitKeys()...)
}

func daemonKeys() []Key {
	return []Key{
		required("daemon", "service", "kebab case", "service that the server beside this daemon runs",
			func(s *Settings, v string) error { return setName(&s.Service, v) }),
		required("daemon", "zone", "kebab case", "availability zone of this daemon and its server",
			func(s *Settings, v string) error { return setName(&s.Zone, v) }),
		optional("daemon", "region", "local", "kebab case", "region of the zone",
			func(s *Settings, v string) error { return setName(&s.Region, v) }),
		optional("daemon", "name", "", "kebab case", "name of the instance, for logs",
			func(s *Settings, v string) error { return setOptional(v, func() error { return setName(&s.Name, v) }) }),
		required("listen", "callers", "IP:PORT", "address for callers",
			func(s *Settings, v string) error { return setAddress(&s.Callers, v) }),
		required("listen", "daemons", "IP:PORT", "address for other daemons; it identifies this daemon",
			func(s *Settings, v string) error { return setAddress(&s.Daemons, v) }),
		optional("listen", "daemons-at", "", "IP:PORT", "address to listen on in place of daemons, when a forwarder stands between",
			func(s *Settings, v string) error {
				return setOptional(v, func() error { return setAddress(&s.DaemonsBind, v) })
			}),
		required("listen", "admin", "IP:PORT", "address of the administration API; loopback unless admin-token-file is set",
			func(s *Settings, v string) error { return setAddress(&s.Admin, v) }),
		optional("listen", "admin-token-file", "", "path", "file whose first line is the administration token",
			func(s *Settings, v string) error { s.AdminTokenFile = v; return nil }),
		optional("listen", "check-ins", "", "IP:PORT", "address for the check-ins of the own server; for platform kind hosted",
			func(s *Settings, v string) error {
				return setOptional(v, func() error { return setAddress(&s.CheckIns, v) })
			}),
		optional("listen", "ready", "", "IP:PORT", "address of the question whether the daemon takes callers; for platform kind hosted",
			func(s *Settings, v string) error {
				return setOptional(v, func() error { return setAddress(&s.Ready, v) })
			}),
		optional("listen", "metrics", "", "IP:PORT", "address for reading metrics without a token, beside the administration API",
			func(s *Settings, v string) error {
				return setOptional(v, func() error { return setAddress(&s.Metrics, v) })
			}),
		optional("log", "level", "info", "debug, info, warn or error", "lowest level that is logged",
			func(s *Settings, v string) error { return setLevel(&s.LogLevel, v) }),
	}
}

func serverKeys() []Key {
	return []Key{
		required("server", "address", "IP:PORT", "address of the server",
			func(s *Settings, v string) error { return setAddress(&s.Server, v) }),
		optional("server", "health-path", "/health", "starts with /", "health endpoint",
			func(s *Settings, v string) error { return setPath(&s.HealthPath, v) }),
		optional("server", "load-path", "/load", "starts with /", "load endpoint",
			func(s *Settings, v string) error { return setPath(&s.LoadPath, v) }),
		optional("server", "connections", "250", "1 to 10000", "connections to the server at most",
			func(s *Settings, v string) error { return setCount(&s.ServerConnections, v, 1, 10000) }),
		optional("server", "connection-pace", "1ms", "0s to 1s", "time between new connections to the server",
			func(s *Settings, v string) error { return setDuration(&s.ServerDialInterval, v, 0, time.Second) }),
		optional("server", "idle-bound", "2s", "10ms to 1m", "non-idempotent requests avoid connections idle for longer",
			func(s *Settings, v string) error {
				return setDuration(&s.ServerIdleBound, v, 10*time.Millisecond, time.Minute)
			}),
		optional("server", "poll-interval", "1s", "100ms to 1m", "between polls of the health endpoint and of the load endpoint",
			func(s *Settings, v string) error {
				return setDuration(&s.ServerPollInterval, v, 100*time.Millisecond, time.Minute)
			}),
		optional("platform", "kind", "built-in", "built-in or hosted",
			"hosted: the store, the headers, the routes and the check-ins of the hosted platform", setKind),
		required("platform", "table", "IP:PORT", "the platform's transactional table",
			func(s *Settings, v string) error { return setAddress(&s.Table, v) }),
		required("platform", "objects", "IP:PORT", "the platform's object store",
			func(s *Settings, v string) error { return setAddress(&s.Objects, v) }),
		optional("platform", "timeout", "2s", "10ms to 1m", "for one request to the platform; more for a large response",
			func(s *Settings, v string) error {
				return setDuration(&s.PlatformTimeout, v, 10*time.Millisecond, time.Minute)
			}),
	}
}

func fleetKeys() []Key {
	return []Key{
		optional("fleet", "seeds", "", "IP:PORT list", "daemons to ask for members and configuration at start",
			func(s *Settings, v string) error { return setAddresses(&s.Seeds, v) }),
		optional("fleet", "exchange-interval", "1s", "100ms to 1m", "between periodic exchanges with a random daemon",
			func(s *Settings, v string) error {
				return setDuration(&s.ExchangeInterval, v, 100*time.Millisecond, time.Minute)
			}),
		optional("fleet", "start-spread", "3s", "1ms to 1m", "over which daemons that start together announce themselves",
			func(s *Settings, v string) error {
				return setDuration(&s.StartSpread, v, time.Millisecond, time.Minute)
			}),
		optional("fleet", "peers-first", "3s", "1ms to 1m", "until the members are read from the platform instead of peers",
			func(s *Settings, v string) error {
				return setDuration(&s.PeersFirst, v, time.Millisecond, time.Minute)
			}),
		optional("fleet", "load-queries", "off", "on, off", "ask for load in datagrams before each selection; off: probe instead",
			func(s *Settings, v string) error { return setSwitch(&s.LoadQueries, v, "on", "off") }),
		optional("fleet", "first-start", "false", "true, false", "the fleet starts for the first time; a configuration may come later",
			func(s *Settings, v string) error { return setSwitch(&s.FirstStart, v, "true", "false") }),
		optional("fleet", "gone-after", "10s", "1s to 10m", "from suspect to gone",
			func(s *Settings, v string) error { return setDuration(&s.GoneAfter, v, time.Second, 10*time.Minute) }),
		optional("fleet", "isolated-after", "10s", "1s to 10m", "without platform and peers until new work is refused",
			func(s *Settings, v string) error {
				return setDuration(&s.IsolatedAfter, v, time.Second, 10*time.Minute)
			}),
	}
}

// boundKeys are the bounds of roll-outs and of the caps of organisations.
func boundKeys() []Key {
	return []Key{
		optional("roll-out", "exposure-share", "0.1", "0 to 1", "share of a service's requests that a release in trial may get",
			func(s *Settings, v string) error { return setRatio(&s.ExposureShare, v) }),
		optional("roll-out", "exposure-slack", "50", "0 to 1000000", "requests that a release in trial may get in addition",
			func(s *Settings, v string) error { return setCount(&s.ExposureSlack, v, 0, 1000000) }),
		optional("roll-out", "rollback", "5s", "100ms to 10m", "until a bad release gets no more requests",
			func(s *Settings, v string) error {
				return setDuration(&s.RollbackTime, v, 100*time.Millisecond, 10*time.Minute)
			}),
		optional("caps", "window", "5s", "100ms to 10m", "in which the requests of an organisation are counted",
			func(s *Settings, v string) error {
				return setDuration(&s.CapWindow, v, 100*time.Millisecond, 10*time.Minute)
			}),
		optional("caps", "overage", "0.1", "0 to 1", "share of the cap by which it may be exceeded within the window",
			func(s *Settings, v string) error { return setRatio(&s.CapOverage, v) }),
		optional("caps", "slack", "20", "0 to 1000000", "requests by which it may be exceeded in addition",
			func(s *Settings, v string) error { return setCount(&s.CapSlack, v, 0, 1000000) }),
	}
}

func limitKeys() []Key {
	return []Key{
		optional("limits", "ack-timeout", "250ms", "10ms to 10s", "until a connection without an ack is taken to be silent",
			func(s *Settings, v string) error {
				return setDuration(&s.AckTimeout, v, 10*time.Millisecond, 10*time.Second)
			}),
		optional("limits", "peer-connections", "64", "1 to 1000", "open connections to one daemon",
			func(s *Settings, v string) error { return setCount(&s.PeerConnections, v, 1, 1000) }),
		optional("limits", "accepted-connections", "8192", "16 to 100000", "connections accepted from daemons",
			func(s *Settings, v string) error { return setCount(&s.AcceptedConns, v, 16, 100000) }),
		optional("limits", "caller-header-bytes", "65536", "1024 to 1048576", "size of a caller's request header",
			func(s *Settings, v string) error { return setCount(&s.CallerHeaderBytes, v, 1024, 1<<20) }),
		optional("limits", "caller-header-timeout", "5s", "100ms to 1m", "for a caller's request header",
			func(s *Settings, v string) error {
				return setDuration(&s.HeaderTimeout, v, 100*time.Millisecond, time.Minute)
			}),
		optional("limits", "max-deadline", "10m", "1s to 24h", "longest deadline that a caller may ask for",
			func(s *Settings, v string) error { return setDuration(&s.MaxDeadline, v, time.Second, 24*time.Hour) }),
		optional("limits", "memory-mb", "256", "64 to 1000000", "memory that the process may use, in 10^6 bytes",
			func(s *Settings, v string) error { return setCount(&s.MemoryMB, v, 64, 1000000) }),
		optional("stop", "grace", "1s", "0s to 1m", "from the announcement of a planned stop to the refusal of new work",
			func(s *Settings, v string) error { return setDuration(&s.StopGrace, v, 0, time.Minute) }),
		optional("stop", "timeout", "5m", "1s to 24h", "for requests in flight at a planned stop",
			func(s *Settings, v string) error { return setDuration(&s.StopTimeout, v, time.Second, 24*time.Hour) }),
		optional("stop", "kill-after", "0s", "0s to 24h", "from SIGTERM until the process is killed; 0s: not known",
			func(s *Settings, v string) error { return setDuration(&s.KillAfter, v, 0, 24*time.Hour) }),
	}
}

func required(section, name, bound, meaning string, set func(*Settings, string) error) Key {
	return Key{Section: section, Name: name, Bound: bound, Meaning: meaning, Required: true, set: set}
}

func optional(section, name, fallback, bound, meaning string, set func(*Settings, string) error) Key {
	return Key{Section: section, Name: name, Default: fallback, Bound: bound, Meaning: meaning, set: set}
}

// setOptional calls set unless the value is empty.
func setOptional(value string, set func() error) error {
	if value == "" {
		return nil
	}
	return set()
}

func setKind(s *Settings, value string) error {
	switch value {
	case "built-in", "hosted":
		s.Hosted = value == "hosted"
		return nil
	default:
		return errors.Newf("%q is not built-in or hosted", value)
	}
}

// setSwitch sets target by one of two words.
func setSwitch(target *bool, value, on, off string) error {
	switch value {
	case on, off:
		*target = value == on
		return nil
	default:
		return errors.Newf("%q is not %s or %s", value, on, off)
	}
}

func setName(target *string, value string) error {
	if !namePattern.MatchString(value) {
		return errors.Newf("%q is not a kebab-case name", value)
	}
	*target = value
	return nil
}

func setPath(target *string, value string) error {
	if !strings.HasPrefix(value, "/") {
		return errors.Newf("%q does not start with /", value)
	}
	*target = value
	return nil
}

func setAddress(target *netip.AddrPort, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return errors.Wrapf(err, "want IP:PORT")
	}
	*target = address
	return nil
}

func setAddresses(target *[]netip.AddrPort, value string) error {
	*target = nil
	for _, part := range strings.Split(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		var address netip.AddrPort
		if err := setAddress(&address, part); err != nil {
			return err
		}
		*target = append(*target, address)
	}
	return nil
}

func setCount(target *int, value string, low, high int) error {
	count, err := strconv.Atoi(value)
	if err != nil {
		return errors.Newf("%q is not a whole number", value)
	}
	if count < low || count > high {
		return errors.Newf("%d is not in %d to %d", count, low, high)
	}
	*target = count
	return nil
}

func setRatio(target *float64, value string) error {
	ratio, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ratio >= 0 && ratio <= 1) {
		return errors.Newf("%q is not a number in 0 to 1", value)
	}
	*target = ratio
	return nil
}

func setDuration(target *time.Duration, value string, low, high time.Duration) error {
	duration, err := time.ParseDuration(value)
	if err != nil {
		return errors.Newf("%q is not a duration such as 250ms", value)
	}
	if duration < low || duration > high {
		return errors.Newf("%s is not in %s to %s", duration, low, high)
	}
	*target = duration
	return nil
}

func setLevel(target *slog.Level, value string) error {
	switch value {
	case "debug", "info", "warn", "error":
		return target.UnmarshalText([]byte(value))
	default:
		return errors.Newf("%q is not debug, info, warn or error", value)
	}
}
