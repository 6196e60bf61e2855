// Package bound compares the metrics that benchmarks report with configured bounds.
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

// Bound is an upper or lower bound on a metric of a benchmark.
type Bound struct {
	Benchmark string
	Metric    string
	Minimum   bool // Value is a lower bound; otherwise an upper bound
	Value     float64
	Text      string // as in the file
}

// Result is the comparison of a metric with its bound.
type Result struct {
	Bound
	Measured float64 // median over all runs of the benchmark; the upper one of an even number
	Missing  bool    // no run reported the metric
}

// Met reports whether the metric was measured and is within the bound.
func (v Result) Met() bool {
	if v.Missing {
		return false
	}
	if v.Minimum {
		return v.Measured >= v.Value
	}
	return v.Measured <= v.Value
}

// Metrics holds the values of all runs by benchmark and metric.
type Metrics map[string]map[string][]float64

// Load reads bounds from INI, with a section for each benchmark, a key for each metric, and values such as "<= 310us" or
// ">= 0.9". Durations are converted to nanoseconds.
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
		return nil, errors.New("file has no bounds")
	}
	return bounds, nil
}

func parseBound(benchmark, metric, text string) (Bound, error) {
	bound := Bound{Benchmark: benchmark, Metric: metric, Text: text}
	relation, value, _ := strings.Cut(text, " ")
	if relation != "<=" && relation != ">=" {
		return bound, errors.Newf("[%s] %s = %q: must be <= or >=, a space and a value", benchmark, metric, text)
	}
	bound.Minimum = relation == ">="
	value = strings.TrimSpace(value)
	if duration, err := time.ParseDuration(value); err == nil {
		bound.Value = float64(duration.Nanoseconds())
		return bound, nil
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return bound, errors.Newf("[%s] %s = %q: value must be a number or a duration", benchmark, metric, text)
	}
	bound.Value = number
	return bound, nil
}

const benchmarkPrefix = "Benchmark"

// Read reads the metrics from the output of `go test -bench`. It skips lines that are not benchmark results.
func Read(output io.Reader) (Metrics, error) {
	metrics := make(Metrics)
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], benchmarkPrefix) {
			continue
		}
		if _, err := strconv.Atoi(fields[1]); err != nil {
			continue // a log line that starts with the name of the benchmark
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

// benchmarkName converts a name such as BenchmarkPath/added-10 to path/added: to kebab case, without the prefix and without
// the value of GOMAXPROCS at the end.
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

// metricName converts a unit of go test output to the name of a metric in kebab case, without a suffix for nanoseconds.
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

// Compare returns the result for each bound, in the same order.
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
