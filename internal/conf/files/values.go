package files

import (
	"math"
	"net/netip"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

func setOwner(s *config.Service, value string) error {
	if len(value) > MaxTextBytes {
		return errors.Newf("%d bytes: want at most %d", len(value), MaxTextBytes)
	}
	s.Owner = value
	return nil
}

func setZones(s *config.Service, value string) error {
	zones, err := splitList(value)
	if err != nil {
		return err
	}
	for _, zone := range zones {
		if !ValidSectionName(zone) {
			return errors.Newf("%q is not a zone name", zone)
		}
	}
	s.Zones = zones
	return nil
}

func setTimeout(s *config.Service, value string) error {
	return setDuration(&s.Timeout, value, MinTimeout, MaxTimeout)
}

func setClass(s *config.Service, value string) error {
	class, err := ident.ParseClass(value)
	if err != nil {
		return err
	}
	s.Class = class
	return nil
}

func setChecks(s *config.Service, value string) error {
	return setPatterns(&s.Checks, value)
}

func setUploads(s *config.Service, value string) error {
	return setPatterns(&s.Uploads, value)
}

func setNonIdempotent(s *config.Service, value string) error {
	return setPatterns(&s.NonIdempotent, value)
}

func setIdempotent(s *config.Service, value string) error {
	return setPatterns(&s.Idempotent, value)
}

func setSlots(s *config.Service, value string) error {
	return setInt(&s.Slots, value, 1, MaxSlots)
}

func setQueue(s *config.Service, value string) error {
	return setInt(&s.Queue, value, 0, MaxQueue)
}

func setCheckReserve(s *config.Service, value string) error {
	return setInt(&s.CheckReserve, value, 0, MaxSlots-1)
}

func setUploadShare(s *config.Service, value string) error {
	var parsed float64
	if err := setFloat(&parsed, value, 0, 1); err != nil {
		return err
	}
	if parsed == 0 {
		return errors.New("want a number above 0 and at most 1")
	}
	s.UploadShare = parsed
	return nil
}

func setRetryShare(s *config.Service, value string) error {
	return setFloat(&s.RetryShare, value, 0, MaxRetryShare)
}

func setHedgeShare(s *config.Service, value string) error {
	return setFloat(&s.HedgeShare, value, 0, MaxHedgeShare)
}

func setClaim(s *config.Service, value string) error {
	return setBool(&s.Claim, value)
}

func setClaimRetention(s *config.Service, value string) error {
	return setDuration(&s.ClaimRetention, value, MinClaimRetention, MaxClaimRetention)
}

func setSheds(s *config.Service, value string) error {
	return setBool(&s.ShedsBeforeRun, value)
}

func setZone(b *builder, name, value string) error {
	for _, state := range []config.ZoneState{config.ZoneIn, config.ZoneOut} {
		if state.String() == value {
			b.config.Zones[name] = state
			return nil
		}
	}
	return errors.Newf("%q: want in or out", value)
}

func setServer(b *builder, name, value string) error {
	address, err := netip.ParseAddrPort(name)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	for _, state := range []config.ServerState{config.ServerIn, config.ServerLeaving} {
		if state.String() == value {
			b.config.Servers[address] = state
			return nil
		}
	}
	return errors.Newf("%q: want in or leaving", value)
}

func setBool(target *bool, value string) error {
	if value != yes && value != no {
		return errors.Newf("%q: want true or false", value)
	}
	*target = value == yes
	return nil
}

func setInt(target *int, value string, low, high int) error {
	parsed, err := strconv.Atoi(value)
	if err != nil || parsed < low || parsed > high {
		return errors.Newf("%q: want a whole number, %d to %d", value, low, high)
	}
	*target = parsed
	return nil
}

func setFloat(target *float64, value string, low, high float64) error {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(parsed) || parsed < low || parsed > high {
		return errors.Newf("%q: want a number, %g to %g", value, low, high)
	}
	*target = parsed
	return nil
}

func setDuration(target *time.Duration, value string, low, high time.Duration) error {
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed < low || parsed > high {
		return errors.Newf("%q: want a duration with a unit, %s to %s", value, low, high)
	}
	*target = parsed
	return nil
}

func splitList(value string) ([]string, error) {
	if value == "" {
		return nil, nil
	}
	entries := strings.Split(value, ",")
	if len(entries) > MaxListEntries {
		return nil, errors.Newf("%d entries: want at most %d", len(entries), MaxListEntries)
	}
	for i, entry := range entries {
		entries[i] = strings.TrimSpace(entry)
		if entries[i] == "" {
			return nil, errors.New("an entry of the list is empty")
		}
	}
	return entries, nil
}

func setPatterns(target *[]config.Pattern, value string) error {
	entries, err := splitList(value)
	if err != nil {
		return err
	}
	patterns := make([]config.Pattern, 0, len(entries))
	for _, entry := range entries {
		pattern, err := parsePattern(entry)
		if err != nil {
			return err
		}
		patterns = append(patterns, pattern)
	}
	*target = patterns
	return nil
}

// parsePattern reads 'METHOD /path', or '* /path' for every method.
func parsePattern(entry string) (config.Pattern, error) {
	if len(entry) > MaxPatternBytes {
		return config.Pattern{}, errors.Newf("pattern of %d bytes: want at most %d", len(entry), MaxPatternBytes)
	}
	parts := strings.Fields(entry)
	if len(parts) != 2 {
		return config.Pattern{}, errors.Newf("pattern %q: want 'METHOD /path'", entry)
	}
	method, target := parts[0], parts[1]
	if method != "*" && strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return config.Pattern{}, errors.Newf("pattern %q: the method must be in capital letters, or *", entry)
	}
	if method == "*" {
		method = ""
	}
	if !strings.HasPrefix(target, "/") {
		return config.Pattern{}, errors.Newf("pattern %q: the path must start with /", entry)
	}
	if _, err := path.Match(target, ""); err != nil {
		return config.Pattern{}, errors.Newf("pattern %q: %v", entry, err)
	}
	return config.Pattern{Method: method, Path: target}, nil
}
