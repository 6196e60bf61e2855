package files

import (
	"fmt"
	"slices"
	"strconv"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Section -linecomment -output=names.go

// Section is the type of a section.
type Section int

// Section types. In a header, each type but budgets, callers and precedence is followed by a name.
const (
	ServiceSection Section = iota // service
	ZoneSection                   // zone
	ServerSection                 // server
	BudgetsSection                // budgets
	RouteSection                  // route
	CallersSection                // callers

	OrganisationSection // organisation
	RolloutSection      // roll-out
	PrecedenceSection   // precedence
)

// Key describes a key of a section. The parser and docs/configuration.md follow the list that Keys returns.
type Key struct {
	Section Section
	Name    string
	Default string
	Allowed string
	Meaning string

	set func(b *builder, name, value string) error
}

var keys = slices.Concat(serviceKeys(), otherKeys(), routeKeys(), callersKeys(), organisationKeys(), rolloutKeys(), precedenceKeys())

// Keys returns the descriptions of all keys.
func Keys() []Key {
	return append([]Key(nil), keys...)
}

func findKey(section Section, name string) (Key, bool) {
	for _, key := range keys {
		if key.Section == section && key.Name == name {
			return key, true
		}
	}
	return Key{}, false
}

// Texts used by several keys.
const (
	textEmpty    = "empty"
	textTrue     = "true"
	textFalse    = "false"
	boolValues   = "true or false"
	textRequired = "required"
)

func serviceKeys() []Key {
	patterns := fmt.Sprintf("at most %d patterns of %d bytes", MaxListEntries, MaxPatternBytes)
	rows := []serviceKey{
		{"owner", textEmpty, fmt.Sprintf("at most %d bytes", MaxTextBytes), "team that owns the service, for people", setOwner},
		{
			"zones", "empty: every zone", fmt.Sprintf("at most %d zone names", MaxListEntries),
			"availability zones that may carry the service, separated by commas", setZones,
		},
		{
			"timeout", config.DefaultTimeout.String(), fmt.Sprintf("%s to %s", MinTimeout, MaxTimeout),
			"deadline of a request without Request-Timeout", setTimeout,
		},
		{"class", "lookup", "check, lookup, write or upload", "class of a request that checks and uploads do not match", setClass},
		{"checks", textEmpty, patterns, "requests of class check: 'METHOD /path', separated by commas", setChecks},
		{"uploads", textEmpty, patterns, "requests of class upload", setUploads},
		{
			"non-idempotent", textEmpty, patterns,
			"requests that run at most once, beside POST and PATCH; takes precedence over idempotent", setNonIdempotent,
		},
		{"idempotent", textEmpty, patterns, "POST and PATCH requests that may run more than once", setIdempotent},
		{"slots", strconv.Itoa(config.DefaultSlots), fmt.Sprintf("1 to %d", MaxSlots), "requests that a server runs at once", setSlots},
		{"queue", strconv.Itoa(config.DefaultQueue), fmt.Sprintf("0 to %d", MaxQueue), "requests that may wait at a server", setQueue},
		{
			"check-reserve", strconv.Itoa(config.DefaultCheckReserve), "0 to slots - 1",
			"slots that only requests of class check may use", setCheckReserve,
		},
		{
			"upload-share", formatFloat(config.DefaultUploadShare), "above 0, at most 1",
			"share of the slots that uploads may hold", setUploadShare,
		},
		{
			"retry-share", formatFloat(config.DefaultRetryShare), fmt.Sprintf("0 to %g", MaxRetryShare),
			"additional attempts per request; 0 turns retries off", setRetryShare,
		},
		{
			"hedge-share", formatFloat(config.DefaultHedgeShare), fmt.Sprintf("0 to %g", MaxHedgeShare),
			"hedges per request; 0 turns hedges off", setHedgeShare,
		},
		{"claim", textFalse, boolValues, "claim idempotency keys in the platform's table before a run", setClaim},
		{
			"claim-retention", config.DefaultClaimRetention.String(), fmt.Sprintf("%s to %s", MinClaimRetention, MaxClaimRetention),
			"how long a claim blocks a repeated request", setClaimRetention,
		},
		{
			"sheds-before-run", textFalse, boolValues,
			"a 503 of this service's servers proves that the request was not run", setShedsBeforeRun,
		},
		{
			"reports-load", textFalse, boolValues,
			"servers tell slots and load with each answer; the limit then follows their slots and requests wait shortly", setReportsLoad,
		},
		{"health-path", "empty: that of the settings", "starts with /", "health endpoint of the servers", setHealthPath},
		{
			"connections", "0", fmt.Sprintf("0 to %d", MaxConnections),
			"connections to a server at most; 0: as in the settings", setConnections,
		},
		{
			"cold-rate", "0", fmt.Sprintf("0 to %d", MaxColdRate),
			"requests per second that a cold server bears; 0: unknown", setColdRate,
		},
	}
	list := make([]Key, 0, len(rows))
	for _, row := range rows {
		list = append(list, row.key())
	}
	return list
}

// serviceKey describes a key of a service section.
type serviceKey struct {
	name, defaultText, allowed, meaning string
	set                                 func(*config.Service, string) error
}

func (row serviceKey) key() Key {
	set := func(b *builder, name, value string) error { return row.set(b.service(name), value) }
	return Key{Section: ServiceSection, Name: row.name, Default: row.defaultText, Allowed: row.allowed, Meaning: row.meaning, set: set}
}

func otherKeys() []Key {
	const state = "state"
	return []Key{
		{
			Section: ZoneSection, Name: state, Default: config.ZoneIn.String(), Allowed: "in or out",
			Meaning: "whether the zone may receive new work", set: setZoneState,
		},
		{
			Section: ServerSection, Name: state, Default: config.ServerIn.String(), Allowed: "in or leaving",
			Meaning: "whether the server may receive new work; the section's name is its daemon's inner address", set: setServerState,
		},
		budgetKey(
			"probes-per-second", config.DefaultProbes, MinProbes, MaxProbes, "probes per server and second, all routers together",
			func(b *config.Budgets) *float64 { return &b.Probes },
		),
		budgetKey(
			"head-reads-per-second", config.DefaultHeadReads, MinHeadReads, MaxHeadReads,
			"reads of the configuration head per second, whole fleet",
			func(b *config.Budgets) *float64 { return &b.HeadReads },
		),
		budgetKey(
			"exchanges-per-second", config.DefaultExchanges, MinExchanges, MaxExchanges, "eager exchanges per daemon and second",
			func(b *config.Budgets) *float64 { return &b.Exchanges },
		),
	}
}

func budgetKey(name string, defaultValue, low, high float64, meaning string, field func(*config.Budgets) *float64) Key {
	set := func(b *builder, _, value string) error {
		return setFloat(field(&b.config.Budgets), value, low, high)
	}
	allowed := fmt.Sprintf("%g to %g", low, high)
	return Key{Section: BudgetsSection, Name: name, Default: formatFloat(defaultValue), Allowed: allowed, Meaning: meaning, set: set}
}

func formatFloat(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}
