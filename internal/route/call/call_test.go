package call

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards the rules of sections 6.1 and 8: which failures are retried, what outcome the caller is told, what a silent
// connection leads to, and that a hedge's loser is cancelled and its frames are dropped.
func TestOutcomes(t *testing.T) {
	datadriven.RunTest(t, "testdata/outcomes", func(t *testing.T, d *datadriven.TestData) string {
		var text string
		synctest.Test(t, func(*testing.T) { text = runCase(d) })
		return text
	})
}

func runCase(d *datadriven.TestData) string {
	f := &fake{}
	var scripts []string
	for line := range strings.SplitSeq(strings.TrimSpace(d.Input), "\n") {
		if replies, ok := strings.CutPrefix(line, "resolve "); ok {
			f.resolves = strings.Split(replies, ",")
			continue
		}
		scripts = append(scripts, line)
	}
	f.plan = func(head *proto.Head) string {
		return scripts[min(int(head.ID.Attempt)-1, len(scripts)-1)]
	}
	c := newCaller(f, 3)
	tokens, depth, size, p95, failed := 50, 0, 0, 0, 0
	ask := &Request{Service: "stock", Method: d.Cmd, Path: "/", Target: "/", Timeout: 5500 * time.Millisecond, ContentLength: -1}
	scan := func(key string, into *int) {
		if d.HasArg(key) {
			var value string
			for _, arg := range d.CmdArgs {
				if arg.Key == key {
					value = arg.Vals[0]
				}
			}
			*into, _ = strconv.Atoi(value)
		}
	}
	scan("budget", &tokens)
	scan("depth", &depth)
	scan("body", &size)
	scan("p95", &p95)
	scan("errors", &failed)
	if depth > 0 {
		ask.Context = &ident.CallContext{Request: ident.RequestID{Router: 1, Seq: 1}, Depth: depth - 1, Class: ident.Lookup}
	}
	if size > 0 {
		ask.Body = strings.NewReader(strings.Repeat("b", size))
		ask.Abort = func() { f.note("aborted the caller's body") }
	}
	saved := c.Budgets.Service("stock")
	for range tokens * 10 {
		saved.RecordRequest(0.1, 0.05)
	}
	if tokens == 0 {
		saved.RecordRequest(0.1, 0.05)
		for saved.TakeRetry() { // uses up the advance
		}
	}
	for range delayRefresh {
		if p95 > 0 {
			c.delaysOf("stock").add(time.Duration(p95)*time.Millisecond, false)
		}
	}
	for range failed {
		c.delaysOf("stock").add(0, true)
	}
	begin := time.Now()
	x, err := c.Do(context.Background(), ask)
	var out strings.Builder
	if err == nil {
		var body string
		body, err = readAll(x)
		fmt.Fprintf(&out, "status %d body %q\n", x.Status, body)
	}
	if !errors.Is(err, io.EOF) {
		fmt.Fprintf(&out, "error %s %s\n", code.Of(err).Code, code.Of(err).Outcome)
	}
	if elapsed := time.Since(begin); elapsed > 200*time.Millisecond { // below, the jitter of the backoff shows
		fmt.Fprintf(&out, "after %v\n", elapsed.Round(100*time.Millisecond))
	}
	time.Sleep(10 * time.Second) // what is left over would show here
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.log {
		fmt.Fprintln(&out, line)
	}
	for range f.confirmed { // by a goroutine of its own, in no order with the others
		fmt.Fprintln(&out, "confirmed")
	}
	if leaked := f.leaked(); leaked > 0 {
		fmt.Fprintf(&out, "%d streams were not closed\n", leaked)
	}
	for i, s := range f.streams {
		if size > 0 {
			fmt.Fprintf(&out, "body of attempt %d: %d bytes\n", i+1, s.bodySize())
		}
	}
	return out.String()
}

// Guards invariants 5 and 6 under random failures: a non-idempotent request runs at most once, and a request that is
// reported as not run did not run.
func TestRandomFailuresKeepOutcomesTrue(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(flag.Set("rapid.seed", "1")).To(gomega.Succeed())
	g.Expect(flag.Set("rapid.nofailfile", "true")).To(gomega.Succeed())
	g.Expect(flag.Set("rapid.checks", "500")).To(gomega.Succeed())
	rapid.Check(t, func(rt *rapid.T) {
		scripts := rapid.SliceOfN(rapid.SampledFrom([]string{
			"refused-connection", "broken-connection", "refuse", "queue; not-run", "ack; answer 200 x", "ack; fail", "ack; break",
			"300ms; ack; answer 200 x", "300ms", "break", "ack; 2500ms; answer 200 x", "ack; start 200 x; break", "queue; 1500ms; break",
		}), 4, 4).Draw(rt, "scripts")
		runs := rapid.SliceOfN(rapid.Bool(), 4, 4).Draw(rt, "runs")
		method := rapid.SampledFrom([]string{"POST", "GET"}).Draw(rt, "method")
		fault := ""
		synctest.Test(t, func(*testing.T) {
			ran := 0
			f := &fake{}
			f.plan = func(head *proto.Head) string {
				i := int(head.ID.Attempt) - 1
				script := scripts[i]
				proven := strings.Contains(script, "refuse") || strings.Contains(script, "not-run")
				// A silent or broken attempt has run or not as drawn; admission then answers resolve truthfully.
				if !proven && (strings.Contains(script, "answer") && !strings.HasPrefix(script, "300ms") || runs[i]) {
					ran++
					f.resolves = []string{"unknown"}
				} else {
					f.resolves = []string{"revoked"}
				}
				return script
			}
			c := newCaller(f, 3)
			for range 500 {
				c.Budgets.Service("stock").RecordRequest(0.1, 0.05)
			}
			x, err := c.Do(context.Background(), &Request{Service: "stock", Method: method, Path: "/", Target: "/", Timeout: 5 * time.Second})
			if err == nil {
				_, _ = readAll(x)
			} else if code.Of(err).Outcome == code.NotRun && ran > 0 {
				fault = fmt.Sprintf("reported as not run, ran %d times: %v", ran, err)
			}
			if method == "POST" && ran > 1 {
				fault = fmt.Sprintf("a non-idempotent request ran %d times", ran)
			}
			time.Sleep(10 * time.Second)
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// Guards against retries that multiply: with every server at the last of 8 levels refusing, there are at most 1.1
// attempts per request at every level.
func TestAttemptsUnderTotalOverloadAtEightLevels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const levels = 8
		callers := make([]*Client, levels)
		for level := range levels {
			f := &fake{}
			f.plan = func(*proto.Head) string {
				if level == levels-1 {
					return "refuse"
				}
				next := callers[level+1]
				_, err := next.Do(context.Background(), &Request{
					Service: "stock", Method: "GET", Path: "/", Target: "/", Timeout: time.Second,
					Context: &ident.CallContext{Depth: level, Class: ident.Lookup},
				})
				return fmt.Sprintf("ack; answer %d", code.Of(err).Code.HTTPStatus())
			}
			callers[level] = newCaller(f, 3)
		}
		for range 1000 {
			if x, err := callers[0].Do(context.Background(), &Request{Service: "stock", Method: "GET", Path: "/", Target: "/"}); err == nil {
				_, _ = readAll(x)
			}
		}
		for level, c := range callers {
			d := c.Dump().(Dump)
			t.Logf("level %d: %d requests, %d attempts", level, d.Requests, d.Attempts)
			g.Expect(float64(d.Attempts)).To(gomega.BeNumerically("<=", 1.1*float64(d.Requests)))
		}
		g.Expect(callers[levels-1].Dump().(Dump).Attempts).To(gomega.BeNumerically("<=", 1100))
	})
}

// Guards the context of nested calls: the exact deadline of the running request, its class and the next depth.
func TestNestedCallTakesOverItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fake{plan: func(*proto.Head) string { return "ack; answer 200" }}
		c := newCaller(f, 3)
		c.FindParent = func(id ident.RequestID) (Parent, bool) {
			return Parent{Deadline: time.Now().Add(70 * time.Millisecond), Class: ident.Check, Depth: 3}, id.Seq == 8
		}
		parent := &ident.CallContext{Request: ident.RequestID{Router: 1, Seq: 8}, Depth: 3, Class: ident.Check}
		x, err := c.Do(context.Background(), &Request{Service: "stock", Method: "GET", Timeout: time.Second, Context: parent})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		x.Close()
		g.Expect(f.heads[0].Remaining).To(gomega.Equal(70 * time.Millisecond))
		g.Expect(f.heads[0].Depth).To(gomega.Equal(4))
		g.Expect(f.heads[0].Class).To(gomega.Equal(ident.Check))
		parent.Depth, parent.Request.Seq = ident.MaxDepth, 9
		_, err = c.Do(context.Background(), &Request{Service: "stock", Method: "GET", Context: parent})
		g.Expect(code.Of(err).Code).To(gomega.Equal(code.BadRequest), "an endless chain of calls")
		time.Sleep(time.Minute)
	})
}

// Guards the replay of a body while an earlier attempt still reads it, at random sizes of reads: an attempt gets the
// body from its start, or there is none.
func TestBodyIsReplayedWholeOrNotAtAll(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	g := gomega.NewWithT(t)
	for range 200 {
		data := make([]byte, random.IntN(3*maxReplay))
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		b := newReplay(strings.NewReader(string(data)), -1)
		for turn := range uint32(3) {
			var got []byte
			stop := random.IntN(2*maxReplay) + 1
			for len(got) < stop {
				piece := make([]byte, 1+random.IntN(proto.MaxPiece))
				n, err := b.read(turn, int64(len(got)), piece)
				got = append(got, piece[:n]...)
				if err != nil {
					break
				}
			}
			g.Expect(string(got)).To(gomega.Equal(string(data[:len(got)])))
			if !b.rewind() {
				g.Expect(len(got)).To(gomega.BeNumerically(">", maxReplay))
				break
			}
		}
	}
}
