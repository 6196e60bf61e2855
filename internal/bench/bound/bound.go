// Package bound compares the figures of benchmarks with their bounds.
package bound

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Bound is the bound on one figure of a benchmark. A duration is in nanoseconds.
type Bound struct {
	Benchmark string
	Metric    string
	Minimum   bool // the figure may not be below Value, else not above it
	Value     float64
	Text      string // as written in the file
}

// Result is a bound with what was measured.
type Result struct {
	Bound
	Measured float64 // the median of all runs of the benchmark
	Missing  bool    // no run reported the figure
}

// Met reports whether the figure was measured and keeps its bound.
func (v Result) Met() bool {
	if v.Missing {
		return false
	}
	if v.Minimum {
		return v.Measured >= v.Value
	}
	return v.Measured <= v.Value
}

// Metrics holds the values of each run by benchmark and figure.
type Metrics map[string]map[string][]float64

// Load reads a file of bounds: a section per benchmark, a key per figure, values such as "<= 310us" or ">= 0.9".
func Load(source any) ([]Bound, error) {
	file, err := ini.Load(source)
	if err != nil {
		return nil, errors.Wrap(err, "read bounds")
	}
	var bounds []Bound
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			bound, err := parseBound(section.Name(), key.Name(), key.String())
			if err != nil {
				return nil, err
			}
			bounds = append(bounds, bound)
		}
	}
	if len(bounds) == 0 {
		return nil, errors.New("the file has no bounds")
	}
	return bounds, nil
}

func parseBound(benchmark, metric, text string) (Bound, error) {
	bound := Bound{Benchmark: benchmark, Metric: metric, Text: text}
	relation, value, _ := strings.Cut(text, " ")
	if relation != "<=" && relation != ">=" {
		return bound, errors.Newf("[%s] %s = %q: want <= or >= and a value", benchmark, metric, text)
	}
	bound.Minimum = relation == ">="
	value = strings.TrimSpace(value)
	if duration, err := time.ParseDuration(value); err == nil {
		bound.Value = float64(duration.Nanoseconds())
		return bound, nil
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return bound, errors.Newf("[%s] %s = %q: want a number or a duration", benchmark, metric, text)
	}
	bound.Value = number
	return bound, nil
}

const benchmarkPrefix = "Benchmark"

// Read reads the output of `go test -bench`. Other lines are left out.
func Read(output io.Reader) (Metrics, error) {
	metrics := make(Metrics)
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], benchmarkPrefix) {
			continue
		}
		if _, err := strconv.Atoi(fields[1]); err != nil {
			continue // a log line that begins with the name of its benchmark
		}
		if err := metrics.add(benchmarkName(fields[0]), fields[2:]); err != nil {
			return nil, errors.Wrapf(err, "line %q", lines.Text())
		}
	}
	return metrics, errors.Wrap(lines.Err(), "read benchmarks")
}

func (f Metrics) add(benchmark string, pairs []string) error {
	if f[benchmark] == nil {
		f[benchmark] = make(map[string][]float64)
	}
	for len(pairs) >= 2 {
		value, err := strconv.ParseFloat(pairs[0], 64)
		if err != nil {
			return err
		}
		metric := metricName(pairs[1])
		f[benchmark][metric] = append(f[benchmark][metric], value)
		pairs = pairs[2:]
	}
	return nil
}

// benchmarkName turns BenchmarkPath/added-10 into path/added: in kebab case, without the number of processors.
func benchmarkName(text string) string {
	text = strings.TrimPrefix(text, benchmarkPrefix)
	if at := strings.LastIndexByte(text, '-'); at >= 0 {
		if _, err := strconv.Atoi(text[at+1:]); err == nil {
			text = text[:at]
		}
	}
	var name strings.Builder
	for i, letter := range text {
		if unicode.IsUpper(letter) && i > 0 && text[i-1] != '/' {
			name.WriteByte('-')
		}
		name.WriteRune(unicode.ToLower(letter))
	}
	return name.String()
}

// metricName gives the units of go test names in kebab case. A suffix for nanoseconds is left out.
func metricName(unit string) string {
	switch unit {
	case "ns/op":
		return "time"
	case "B/op":
		return "bytes"
	case "allocs/op":
		return "allocations"
	}
	return strings.ReplaceAll(strings.TrimSuffix(unit, "-ns"), "/", "-per-")
}

// Compare gives a verdict on each bound, in their order.
func Compare(bounds []Bound, metrics Metrics) []Result {
	results := make([]Result, 0, len(bounds))
	for _, bound := range bounds {
		values := slices.Sorted(slices.Values(metrics[bound.Benchmark][bound.Metric]))
		result := Result{Bound: bound, Missing: len(values) == 0}
		if !result.Missing {
			result.Measured = values[len(values)/2]
		}
		results = append(results, result)
	}
	return results
}
