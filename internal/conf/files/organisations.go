package files

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

func organisationKeys() []Key {
	digits := len(config.KeyDigest{}.String())
	return []Key{
		organisationKey("name", "name of the section", fmt.Sprintf("at most %d bytes", MaxTextBytes), "name that servers receive", setName),
		organisationKey("key-digests", textEmpty, fmt.Sprintf("at most %d, of %d digits each", MaxOrganisationKeys, digits),
			"SHA-256 digests of the keys of its callers, in hexadecimal, separated by commas", setKeyDigests),
		organisationKey("priority", strconv.Itoa(config.DefaultPriority), fmt.Sprintf("0 to %d", MaxPriority),
			"rank of its requests, in place of the priority of the route", func(o *config.Organisation, value string) error {
				return setInt(&o.Priority, value, 0, MaxPriority)
			}),
		organisationKey("rate", "0", fmt.Sprintf("0 to %d", MaxOrganisationRate),
			"requests per second of its callers over all daemons; 0: unlimited", func(o *config.Organisation, value string) error {
				return setFloat(&o.Rate, value, 0, MaxOrganisationRate)
			}),
		organisationKey("burst", "0", fmt.Sprintf("0 to %d", MaxOrganisationRate),
			"requests beyond the rate that may come at once", func(o *config.Organisation, value string) error {
				return setInt(&o.Burst, value, 0, MaxOrganisationRate)
			}),
	}
}

func organisationKey(name, defaultText, allowed, meaning string, set func(*config.Organisation, string) error) Key {
	return Key{
		Section: OrganisationSection, Name: name, Default: defaultText, Allowed: allowed, Meaning: meaning,
		set: func(b *builder, section, value string) error { return set(b.organisation(section), value) },
	}
}

func setName(o *config.Organisation, value string) error {
	if value == "" || len(value) > MaxTextBytes {
		return errors.Newf("want a name of at most %d bytes", MaxTextBytes)
	}
	o.Name = value
	return nil
}

// setKeyDigests parses digests. Its errors do not quote the value, because operators may have put a key in place of its digest.
func setKeyDigests(o *config.Organisation, value string) error {
	o.Keys = nil
	if value == "" {
		return nil
	}
	entries := strings.Split(value, ",")
	if len(entries) > MaxOrganisationKeys {
		return errors.Newf("%d digests: want at most %d", len(entries), MaxOrganisationKeys)
	}
	for n, entry := range entries {
		digest, err := config.ParseKeyDigest(strings.TrimSpace(entry))
		if err != nil {
			return errors.Wrapf(err, "entry %d", n+1)
		}
		o.Keys = append(o.Keys, digest)
	}
	return nil
}

// checkOrganisations checks that no key belongs to two organisations.
func (m *Merged) checkOrganisations() []Problem {
	var problems []Problem
	owners := make(map[config.KeyDigest]string)
	for _, name := range sortedNames(m.Config.Organisations) {
		for _, digest := range m.Config.Organisations[name].Keys {
			owner, found := owners[digest]
			owners[digest] = name
			if !found || owner == name {
				continue
			}
			id := ID{Section: OrganisationSection, Name: name, Key: "key-digests"}
			entry := m.Keys[id]
			problems = append(problems, Problem{
				File: entry.File, Line: entry.Line, Key: id.String(), Detail: fmt.Sprintf("organisation %s has the same key", owner),
			})
		}
	}
	return problems
}
