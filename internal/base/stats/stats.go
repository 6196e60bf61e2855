// Package stats names the metrics of a daemon.
package stats

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Set holds the metrics of one daemon. There is no global set, because tests run several daemons in one process and their metrics
// must stay separate.
type Set struct {
	set *metrics.Set
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{set: metrics.NewSet()}
}

// Counter returns the counter with this name and label pairs, and creates it on first use.
func (s *Set) Counter(name string, labels ...string) *metrics.Counter {
	return s.set.GetOrCreateCounter(fullName(name, labels))
}

// Histogram returns the histogram, in seconds, with this name and label pairs, and creates it on first use.
func (s *Set) Histogram(name string, labels ...string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fullName(name, labels))
}

// Gauge registers a gauge whose value read returns on each scrape.
func (s *Set) Gauge(name string, read func() float64, labels ...string) {
	s.set.GetOrCreateGauge(fullName(name, labels), read)
}

// Write writes the metrics and those of the process in the Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func fullName(name string, labels []string) string {
	full := "marigoldwinch_" + name
	if len(labels) < 2 {
		return full
	}
	full += "{"
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			full += ","
		}
		full += fmt.Sprintf("%s=%q", labels[i], labels[i+1])
	}
	return full + "}"
}
