// Package hdrs defines the names and formats of the headers that daemons exchange with callers and with servers.
package hdrs

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Dialect is a set of header names in canonical form. A header whose name is empty is neither read nor set.
type Dialect struct {
	RequestID       string // request ID that the caller assigns; servers repeat it in the response
	Timeout         string // time until the deadline
	TimeoutInMillis bool   // Timeout is a whole number of milliseconds instead of a duration with a unit
	Context         string // call context, for the calls that a server makes on behalf of a request
	Caller          string // service of the instance on which the request originated
	Expect          string // identity that a server must have to run the request
	Identity        string // identity of a server, in its health responses and its refusals
	NotRun          string // present if the server did not run the request
	Load            string // comma-separated Running, Waiting, Slots and Pace of type Load; Pace is optional
	Cold            string // milliseconds until the server is warm, in its health responses
	Key             string // KeyScheme and the key of the caller's organisation; servers never receive it
	KeyScheme       string
	Organisation    string // name of the caller's organisation, for servers; never taken from the caller
}

// Default returns the header names of marigoldwinch itself.
func Default() Dialect {
	return Dialect{
		Timeout: "Request-Timeout", Context: ident.ContextHeader,
		Key: "Authorization", KeyScheme: "Bearer", Organisation: "Marigoldwinch-Organisation",
	}
}

// ParseTimeout parses a value of the Timeout header.
func (d Dialect) ParseTimeout(text string) (time.Duration, bool) {
	if !d.TimeoutInMillis {
		timeout, err := time.ParseDuration(text)
		return timeout, err == nil && timeout > 0
	}
	timeout, ok := parseMillis(text)
	return timeout, ok && timeout > 0
}

// FormatTimeout formats a value of the Timeout header. In milliseconds it is at least 1.
func (d Dialect) FormatTimeout(left time.Duration) string {
	if !d.TimeoutInMillis {
		return left.String()
	}
	return strconv.FormatInt(max(1, left.Milliseconds()), 10)
}

// Load is the load that a server reports in a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Pace    int // current time per unit of work on the instance, in percent of the normal time; 100 if not reported
}

// NormalPace is the pace of a server whose instance runs at normal speed.
const NormalPace = 100

// maxLoad bounds the numbers of a load. A larger one cannot be meant, and would not fit into the reports that daemons send each other.
const maxLoad = 1_000_000

// ParseLoad parses the Load header of a response. It returns false if the header is missing or invalid.
func (d Dialect) ParseLoad(header http.Header) (Load, bool) {
	if d.Load == "" {
		return Load{}, false
	}
	text := header.Get(d.Load)
	if text == "" {
		return Load{}, false
	}
	load := Load{Pace: NormalPace}
	values := []*int{&load.Running, &load.Waiting, &load.Slots, &load.Pace}
	count := 0
	for part := range strings.SplitSeq(text, ",") {
		if count == len(values) {
			break
		}
		value, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || value < 0 || value > maxLoad {
			return Load{}, false
		}
		*values[count] = value
		count++
	}
	return load, count >= 3 && load.Slots > 0 && load.Pace > 0
}

// ParseCold returns how long a server stays cold according to its health response.
func (d Dialect) ParseCold(header http.Header) time.Duration {
	if d.Cold == "" {
		return 0
	}
	left, _ := parseMillis(header.Get(d.Cold)) // without a valid header the server counts as warm
	return left
}

func parseMillis(text string) (time.Duration, bool) {
	millis, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	const maxMillis = float64(time.Hour*24) / float64(time.Millisecond)
	if err != nil || millis < 0 || millis > maxMillis {
		return 0, false
	}
	return time.Duration(millis * float64(time.Millisecond)), true
}
