package load

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Variant,Outcome -linecomment -output=names.go

// Variant tells whether a request goes through a daemon or directly to a server.
type Variant int

// The variants.
const (
	Daemons Variant = iota // daemons
	Direct                 // direct
)

const variantCount = 2

// Outcome is the outcome of a request as the load generator sees it.
type Outcome int

// The outcomes. NotRun and UnknownOutcome are those that marigoldwinch reports in the Marigoldwinch-Outcome header.
const (
	OK             Outcome = iota // ok
	NotRun                        // not-run
	UnknownOutcome                // unknown
	ServerError                   // server-error
	Failed                        // failed
	Truncated                     // truncated
	WrongResponse                 // wrong-response
	Dropped                       // dropped
)

const outcomeCount = int(Dropped) + 1

// Range and precision of the latency histograms.
const (
	lowestLatency     = time.Microsecond
	highestLatency    = 10 * time.Minute
	significantDigits = 3
)

// Row holds the outcomes and latencies of one kind and variant of requests.
type Row struct {
	Kind     string
	Variant  Variant
	Outcomes [outcomeCount]int
	Latency  *hdrhistogram.Histogram // of requests with outcome OK, in microseconds from the planned start
}

// Result is the result of a run.
type Result struct {
	Rows     []Row
	RanTwice []string // Sample-Request values of non-idempotent requests that ran more than once
}

type recorder struct {
	mu    sync.Mutex // guards rows
	kinds map[string]int
	rows  []Row
}

func newRecorder(kinds []Kind) *recorder {
	r := &recorder{kinds: map[string]int{}}
	for _, kind := range kinds {
		r.kinds[kind.Name] = len(r.rows)
		for variant := range Variant(variantCount) {
			r.rows = append(r.rows, Row{Kind: kind.Name, Variant: variant, Latency: newHistogram()})
		}
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)
}

func (r *recorder) record(planned plannedRequest, outcome Outcome, latency time.Duration) {
	if !planned.counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	row := &r.rows[r.kinds[planned.kind.Name]+int(planned.variant)]
	row.Outcomes[outcome]++
	if outcome == OK {
		_ = row.Latency.RecordValue(max(1, min(latency, highestLatency).Microseconds())) // cannot fail: the value is within the range
	}
}

func (r *Run) mergeRecorders() *Result {
	total := newRecorder(r.Plan.Kinds)
	for _, rec := range r.recorders {
		for i := range rec.rows {
			total.rows[i].Latency.Merge(rec.rows[i].Latency)
			for outcome, count := range rec.rows[i].Outcomes {
				total.rows[i].Outcomes[outcome] += count
			}
		}
	}
	result := &Result{}
	for _, row := range total.rows {
		if row.Total() > 0 {
			result.Rows = append(result.Rows, row)
		}
	}
	return result
}

// Total returns the number of requests of the row.
func (r *Row) Total() int {
	total := 0
	for _, count := range r.Outcomes {
		total += count
	}
	return total
}

// Quantile returns the latency that the given share of the requests with outcome OK did not exceed.
func (r *Row) Quantile(share float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(100*share)) * time.Microsecond
}

// Violations describes the violated guarantees: responses to another request, and non-idempotent requests that ran more than once.
func (r *Result) Violations() []string {
	var violations []string
	for i := range r.Rows {
		row := &r.Rows[i]
		if wrong := row.Outcomes[WrongResponse]; wrong > 0 {
			violations = append(violations, fmt.Sprintf("%s: %d responses belong to another request", row.Kind, wrong))
		}
	}
	if len(r.RanTwice) > 0 {
		violations = append(violations, fmt.Sprintf("%d non-idempotent requests ran twice, first %s", len(r.RanTwice), r.RanTwice[0]))
	}
	return violations
}

// Write writes the result as a table, with a line for each row.
func (r *Result) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "kind\tway\ttotal\t")
	for outcome := range Outcome(outcomeCount) {
		fmt.Fprintf(table, "%s\t", outcome)
	}
	fmt.Fprintln(table, "p50\tp90\tp99\tp99.9\tmax\t")
	for i := range r.Rows {
		row := &r.Rows[i]
		fmt.Fprintf(table, "%s\t%s\t%d\t", row.Kind, row.Variant, row.Total())
		for _, count := range row.Outcomes {
			fmt.Fprintf(table, "%d\t", count)
		}
		maximum := time.Duration(row.Latency.Max()) * time.Microsecond
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t\n",
			row.Quantile(0.5), row.Quantile(0.9), row.Quantile(0.99), row.Quantile(0.999), maximum)
	}
	return table.Flush()
}
