package files

import (
	"regexp"
	"time"
)

// Limits of the folder. They let the whole folder fit into one transaction of the table service and into one object.
const (
	MaxFileBytes   = 64 << 10
	MaxFiles       = 16384 // a state file for each of 7,700 servers, and about as many other files
	MaxFolderBytes = 4 << 20
	MaxNameBytes   = 128 // of a file name
)

// Limits of the values.
const (
	MaxTextBytes      = 200
	MaxListEntries    = 64
	MaxPatternBytes   = 256
	MinTimeout        = time.Millisecond
	MaxTimeout        = time.Hour
	MaxSlots          = 10000
	MaxQueue          = 100000
	MaxRetryShare     = 0.1 // a higher share would exceed the limit of 1.1 attempts per request
	MaxHedgeShare     = 0.1
	MinClaimRetention = time.Minute
	MaxClaimRetention = 30 * 24 * time.Hour
	MinProbes         = 1
	MaxProbes         = 1000
	MinHeadReads      = 1
	MaxHeadReads      = 1000 // half of the requests per second that the platform can serve for all purposes
	MinExchanges      = 1
	MaxExchanges      = 1000
	MaxConnections    = 100000
	MaxColdRate       = 1000000
	MaxPriority       = 1000
	MaxRouteServers   = 64
	MaxWeight         = 1000000
	// MaxOrganisationKeys keeps the list of digests below a quarter of MaxFileBytes.
	MaxOrganisationKeys = 240
	MaxOrganisationRate = 10000000
	MaxCallerHeader     = 1 << 20
	MaxCallerBody       = 1 << 40
)

var (
	fileNamePattern    = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*\.ini$`)
	sectionNamePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
)

const maxSectionNameBytes = 63

// ValidFileName reports whether name is a valid name of a configuration file.
func ValidFileName(name string) bool {
	return len(name) <= MaxNameBytes && fileNamePattern.MatchString(name)
}

// ValidSectionName reports whether name is a valid name of a zone, service or route.
func ValidSectionName(name string) bool {
	return len(name) <= maxSectionNameBytes && sectionNamePattern.MatchString(name)
}
