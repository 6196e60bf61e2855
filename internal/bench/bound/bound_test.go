package bound

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const output = `goos: linux
BenchmarkPath/added-10  100  5000 ns/op  250000 added-p99-ns
BenchmarkPath/added-10  100  5000 ns/op  400000 added-p99-ns
BenchmarkPath/added-10  100  5000 ns/op  300000 added-p99-ns
BenchmarkRouteChoice-10  7  5000 ns/op  16 B/op  3 allocs/op  0.85 goodput
BenchmarkBroken-10 some log
PASS
`

func compare(t *testing.T, bounds string) []Result {
	list, err := Load([]byte(bounds))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	metrics, err := Read(strings.NewReader(output))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return Compare(list, metrics)
}

// Guards against a bound that passes because its relation, unit or benchmark is parsed incorrectly, or because a single run
// of several is within the bound.
func TestCompare(t *testing.T) {
	for bounds, met := range map[string]bool{
		"[path/added]\nadded-p99 = <= 310us":     true, // the median
		"[path/added]\nadded-p99 = <= 299us":     false,
		"[path/added]\ntime = <= 5us":            true,
		"[route-choice]\ngoodput = >= 0.9":       false,
		"[route-choice]\ngoodput = >= 0.85":      true,
		"[route-choice]\nallocations = <= 2":     false,
		"[route-choice]\nbytes = <= 16":          true,
		"[route-choice]\nno-such-metric = <= 16": false, // a metric that is no longer reported
		"[no-such-benchmark]\ntime = <= 5us":     false,
	} {
		g := NewWithT(t)
		result := compare(t, bounds)
		g.Expect(result).To(HaveLen(1), bounds)
		g.Expect(result[0].Met()).To(Equal(met), bounds)
	}
}

// Guards against malformed bounds that are ignored without an error.
func TestMalformedBounds(t *testing.T) {
	for _, bounds := range []string{"", "[a]\nb = 3", "[a]\nb = <= much", "[a]\nb = < 3"} {
		_, err := Load([]byte(bounds))
		NewWithT(t).Expect(err).To(HaveOccurred(), bounds)
	}
}
