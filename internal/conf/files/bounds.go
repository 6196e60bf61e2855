package files

import (
	"regexp"
	"time"
)

// Bounds of the folder. The whole folder fits into one transaction of the table and one object.
const (
	MaxFileBytes   = 64 << 10
	MaxFiles       = 16384 // one for each of 7,700 servers, and as many others
	MaxFolderBytes = 4 << 20
	MaxNameBytes   = 128 // of a file name
)

// Bounds of the keys.
const (
	MaxTextBytes      = 200
	MaxListEntries    = 64
	MaxPatternBytes   = 256
	MinTimeout        = time.Millisecond
	MaxTimeout        = time.Hour
	MaxSlots          = 10000
	MaxQueue          = 100000
	MaxRetryShare     = 0.1 // a higher share would break the bound of 1.1 attempts per request
	MaxHedgeShare     = 0.1
	MinClaimRetention = time.Minute
	MaxClaimRetention = 30 * 24 * time.Hour
	MinProbes         = 1
	MaxProbes         = 1000
	MinHeadReads      = 1
	MaxHeadReads      = 1000 // half of what the platform serves for everything
	MinExchanges      = 1
	MaxExchanges      = 1000
	MaxConnections    = 100000
	MaxColdRate       = 1000000
	MaxPriority       = 1000
	MaxRouteServers   = 64
	MaxWeight         = 1000000
	MaxCallerHeader   = 1 << 20
	MaxCallerBody     = 1 << 40
)

var (
	fileName    = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*\.ini$`)
	sectionName = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
)

const maxSectionNameBytes = 63

// ValidFileName reports whether a file may have this name.
func ValidFileName(name string) bool {
	return len(name) <= MaxNameBytes && fileName.MatchString(name)
}

// ValidSectionName reports whether a zone or service may have this name.
func ValidSectionName(name string) bool {
	return len(name) <= maxSectionNameBytes && sectionName.MatchString(name)
}
