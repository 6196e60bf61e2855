// Package hdrs names the headers that callers and servers exchange with daemons.
package hdrs

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// Dialect holds the names of headers in canonical form. A header whose name is empty is neither read nor set.
type Dialect struct {
	RequestID       string // id that a caller gives its request; servers repeat it in the response
	Timeout         string // time until the deadline
	TimeoutInMillis bool   // Timeout is a whole number of milliseconds instead of a duration with a unit
	Context         string // call context for the calls that a server makes on behalf of a request
	Caller          string // service on whose server's instance a request began
	Expect          string // identity that a server must have to run the request
	Identity        string // identity of a server, in its health responses and refusals
	NotRun          string // present when the server did not run the request
	Load            string // running, waiting, slots and pace of the server
	Cold            string // milliseconds for which the server stays cold, in its health responses
}

// Default is the dialect of the project itself.
func Default() Dialect {
	return Dialect{Timeout: "Request-Timeout", Context: ident.ContextHeader}
}

// ParseTimeout reads the value of the header Timeout.
func (d Dialect) ParseTimeout(text string) (time.Duration, bool) {
	if !d.TimeoutInMillis {
		timeout, err := time.ParseDuration(text)
		return timeout, err == nil && timeout > 0
	}
	timeout, ok := parseMillis(text)
	return timeout, ok && timeout > 0
}

// FormatTimeout writes the value of the header Timeout.
func (d Dialect) FormatTimeout(left time.Duration) string {
	if !d.TimeoutInMillis {
		return left.String()
	}
	return strconv.FormatInt(max(1, left.Milliseconds()), 10)
}

// Load is what a server tells of itself with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Pace    int // time that work takes on its instance now, in percent of the usual; 100 when it does not tell
}

// NormalPace is the pace of a server whose instance is not slowed.
const NormalPace = 100

// ParseLoad reads the header Load of a response.
func (d Dialect) ParseLoad(header http.Header) (Load, bool) {
	if d.Load == "" {
		return Load{}, false
	}
	text := header.Get(d.Load)
	if text == "" {
		return Load{}, false
	}
	load := Load{Pace: NormalPace}
	fields := []*int{&load.Running, &load.Waiting, &load.Slots, &load.Pace}
	count := 0
	for part := range strings.SplitSeq(text, ",") {
		if count == len(fields) {
			break
		}
		value, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || value < 0 {
			return Load{}, false
		}
		*fields[count] = value
		count++
	}
	return load, count >= 3 && load.Slots > 0 && load.Pace > 0
}

// ParseCold reads how long a server stays cold from its health response.
func (d Dialect) ParseCold(header http.Header) time.Duration {
	if d.Cold == "" {
		return 0
	}
	left, _ := parseMillis(header.Get(d.Cold)) // without the header the server is warm
	return left
}

func parseMillis(text string) (time.Duration, bool) {
	millis, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	const most = float64(time.Hour*24) / float64(time.Millisecond)
	if err != nil || millis < 0 || millis > most {
		return 0, false
	}
	return time.Duration(millis * float64(time.Millisecond)), true
}
