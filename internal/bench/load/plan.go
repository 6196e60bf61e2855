package load

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

const (
	maxRate     = 100_000 // requests per second
	maxDuration = time.Hour
	maxInFlight = 20_000
	maxBodySize = 1 << 26 // bytes
	kindPrefix  = "request "
)

// ParsePlan reads a plan from an INI file. The error lists all problems with file, section and key.
func ParsePlan(file string) (*Plan, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, code.NotRunf(code.BadSettings, "%s", file).WithCause(err)
	}
	source, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}, content)
	if err != nil {
		return nil, code.NotRunf(code.BadSettings, "%s", file).WithCause(err)
	}
	p := &planParser{file: file}
	plan := p.parsePlan(source)
	if len(p.problems) > 0 {
		return nil, code.NotRunf(code.BadSettings, "%s", strings.Join(p.problems, "\n"))
	}
	return plan, nil
}

type planParser struct {
	file     string
	problems []string
}

func (p *planParser) parsePlan(source *ini.File) *Plan {
	section := source.Section("load")
	p.checkKeys(section, "daemons", "direct", "servers", "rate", "duration", "warmup", "timeout", "seed", "in-flight")
	plan := &Plan{
		Daemons:  p.addresses(section, "daemons"),
		Direct:   p.addresses(section, "direct"),
		Servers:  p.addresses(section, "servers"),
		Rate:     p.number(section, "rate", 100, maxRate),
		Duration: p.duration(section, "duration", 10*time.Second),
		Warmup:   p.duration(section, "warmup", 0),
		Timeout:  p.duration(section, "timeout", 2*time.Second),
		Seed:     uint64(p.number(section, "seed", 1, 1<<32)),
		InFlight: int(p.number(section, "in-flight", 2000, maxInFlight)),
	}
	for _, other := range source.Sections() {
		name, isKind := strings.CutPrefix(other.Name(), kindPrefix)
		switch {
		case isKind:
			plan.Kinds = append(plan.Kinds, p.parseKind(name, other))
		case other.Name() != "load" && other.Name() != ini.DefaultSection:
			p.problem(other.Name(), "", "unknown section")
		}
	}
	if len(plan.Daemons) == 0 {
		p.problem("load", "daemons", "missing")
	}
	if len(plan.Kinds) == 0 {
		p.problem("request NAME", "", "at least one such section is required")
	}
	return plan
}

func (p *planParser) parseKind(name string, section *ini.Section) Kind {
	p.checkKeys(section, "weight", "method", "service", "path", "body", "once", "key")
	kind := Kind{
		Name:           name,
		Weight:         int(p.number(section, "weight", 1, 1_000_000)),
		Method:         section.Key("method").MustString("GET"),
		Service:        section.Key("service").String(),
		Path:           section.Key("path").MustString("/"),
		Body:           int(p.bodySize(section, "body")),
		Once:           p.boolean(section, "once"),
		IdempotencyKey: p.boolean(section, "key"),
	}
	if kind.Service == "" {
		p.problem(section.Name(), "service", "missing")
	}
	if !strings.HasPrefix(kind.Path, "/") {
		p.problem(section.Name(), "path", "must start with /")
	}
	return kind
}

func (p *planParser) checkKeys(section *ini.Section, names ...string) {
	for _, key := range section.KeyStrings() {
		found := false
		for _, name := range names {
			found = found || name == key
		}
		if !found {
			p.problem(section.Name(), key, "unknown key")
		}
	}
}

func (p *planParser) addresses(section *ini.Section, key string) []netip.AddrPort {
	var addresses []netip.AddrPort
	if !section.HasKey(key) { // Key would create the key
		return nil
	}
	for _, text := range section.Key(key).Strings(",") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			p.problem(section.Name(), key, err.Error())
			continue
		}
		// Only loopback addresses are allowed, so that a typing error cannot direct load at another system.
		if !address.Addr().IsLoopback() {
			p.problem(section.Name(), key, text+" is not a loopback address")
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

func (p *planParser) number(section *ini.Section, key string, fallback, high float64) float64 {
	if !section.HasKey(key) {
		return fallback
	}
	value, err := strconv.ParseFloat(section.Key(key).String(), 64)
	if err != nil || value <= 0 || value > high {
		p.problem(section.Name(), key, "must be a number above 0 and at most "+strconv.FormatFloat(high, 'f', -1, 64))
		return fallback
	}
	return value
}

func (p *planParser) bodySize(section *ini.Section, key string) float64 {
	if section.HasKey(key) && section.Key(key).String() == "0" {
		return 0
	}
	return p.number(section, key, 0, maxBodySize)
}

func (p *planParser) duration(section *ini.Section, key string, fallback time.Duration) time.Duration {
	if !section.HasKey(key) {
		return fallback
	}
	value, err := time.ParseDuration(section.Key(key).String())
	if err != nil || value < 0 || value > maxDuration {
		p.problem(section.Name(), key, "must be a duration from 0 to "+maxDuration.String())
		return fallback
	}
	return value
}

func (p *planParser) boolean(section *ini.Section, key string) bool {
	if !section.HasKey(key) {
		return false
	}
	value, err := section.Key(key).Bool()
	if err != nil {
		p.problem(section.Name(), key, "must be true or false")
	}
	return value
}

func (p *planParser) problem(section, key, text string) {
	p.problems = append(p.problems, p.file+": ["+section+"] "+key+": "+text)
}
