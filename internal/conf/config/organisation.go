package config

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept, so that no log, dump or message can disclose them.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// ParseKeyDigest reads the form that String writes.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var digest KeyDigest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return digest, errors.Newf("want the SHA-256 digest of a key as %d hexadecimal digits", hex.EncodedLen(len(digest)))
	}
	return KeyDigest(decoded), nil
}

// String returns the digest in hexadecimal digits.
func (d KeyDigest) String() string {
	return hex.EncodeToString(d[:])
}

// shortDigest is the number of digits of the short form of a digest, enough to compare it with that of a key.
const shortDigest = 8

// Short returns the first digits of the digest, for logs and dumps.
func (d KeyDigest) Short() string {
	return d.String()[:shortDigest]
}

// MarshalText implements encoding.TextMarshaler with the short form, so that dumps do not disclose the digest.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(d.Short()), nil
}

// Organisation is a customer whose callers identify themselves by keys.
type Organisation struct {
	Name     string      // as servers receive it
	Keys     []KeyDigest // a key belongs to at most one organisation
	Priority int         // replaces the priority of the route; 0 is the highest
	Rate     float64     // requests per second of all its callers together; unlimited when 0
	Burst    int         // requests beyond Rate that may come at once
}

// NewOrganisation returns an organisation with the default values.
func NewOrganisation(name string) *Organisation {
	return &Organisation{Name: name, Priority: DefaultPriority}
}

// Capped reports whether the requests of the organisation are limited.
func (o *Organisation) Capped() bool {
	return o.Rate > 0
}

// HasOrganisations reports whether any organisation is configured. It is false for a nil configuration.
func (c *Config) HasOrganisations() bool {
	return c != nil && len(c.Organisations) > 0
}

// NeedsKey reports whether a request on the route must carry the key of an organisation. The route may be of an earlier revision, in which
// other routes had the names of the present ones. It is nil when the path names the service, which needs no key.
func (c *Config) NeedsKey(route *Route) bool {
	return c.HasOrganisations() && route != nil && !route.Public
}

// OrganisationByKey returns the organisation to which a key belongs, or nil.
func (c *Config) OrganisationByKey(key string) *Organisation {
	if len(c.byKeyDigest) == 0 || key == "" {
		return nil
	}
	return c.OrganisationByDigest(DigestKey(key))
}

// OrganisationByDigest returns the organisation to which the key with the digest belongs, or nil.
func (c *Config) OrganisationByDigest(digest KeyDigest) *Organisation {
	return c.byKeyDigest[digest]
}

// RateOf returns the rate of the organisation with the name that servers receive, or 0 for an unlimited or unknown one. It is 0 for a nil
// configuration.
func (c *Config) RateOf(name string) float64 {
	if c == nil || c.rates == nil {
		return 0
	}
	return c.rates[name]
}

func (c *Config) indexKeys() {
	c.byKeyDigest = make(map[KeyDigest]*Organisation)
	c.rates = make(map[string]float64, len(c.Organisations))
	for _, organisation := range c.Organisations {
		c.rates[organisation.Name] = organisation.Rate
		for _, digest := range organisation.Keys {
			c.byKeyDigest[digest] = organisation
		}
	}
}
