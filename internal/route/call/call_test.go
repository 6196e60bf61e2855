package call

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
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
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards the rules of sections 6.1 and 8 of the design: which failures are retried, which outcome is reported to the caller, how
// silent connections are handled, and that the losing attempt of a hedged request is cancelled and its frames are dropped.
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
	f.script = func(head *proto.Head) string {
		return scripts[min(int(head.ID.Attempt)-1, len(scripts)-1)]
	}
	c := newClient(f, 3)
	if d.HasArg("suspect") {
		for i := range c.Choice.Members.(records) {
			c.Choice.Members.(records)[i].State = member.Suspect
		}
	}
	if d.HasArg("gone") {
		endAll(c, 100*time.Millisecond)
	}
	tokens, depth, size, p95, failed, leave, stall, unread, servers := 50, 0, 0, 0, 0, 0, 0, 0, 0
	req := &Request{Service: "stock", Method: d.Cmd, Path: "/", Target: "/", Timeout: 5500 * time.Millisecond, ContentLength: -1}
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
	scan("leave", &leave)
	scan("stall", &stall)
	scan("unread", &unread)
	scan("servers", &servers)
	if servers > 0 {
		req.Route = config.NewRoute("stock")
		req.Route.Kind, req.Route.Servers, req.Route.Objective = config.Idempotent, servers, 0 // without hedges
	}
	if depth > 0 {
		req.Context = &ident.CallContext{Request: ident.RequestID{Router: 1, Seq: 1}, Depth: depth - 1, Class: ident.Lookup}
	}
	if size > 0 {
		req.Body = strings.NewReader(strings.Repeat("b", size))
		req.Abort = func() { f.logf("aborted the caller's body") }
	}
	if d.HasArg("stall") {
		aborted, abort := context.WithCancel(context.Background())
		defer abort() // the connection's server discards the rest of the body
		req.Body, req.Abort = &stalledBody{bytes: stall, aborted: aborted.Done()}, abort
	}
	stock := c.Budgets.Service("stock")
	for range tokens * 10 {
		stock.RecordRequest(0.1, 0.05)
	}
	if tokens == 0 {
		stock.RecordRequest(0.1, 0.05)
		for stock.TakeRetry() { // exhausts the initial credit
		}
	}
	for range quantileRefresh {
		if p95 > 0 {
			c.latenciesOf("stock").add(time.Duration(p95)*time.Millisecond, false)
		}
	}
	for range failed {
		c.latenciesOf("stock").add(0, true)
	}
	begin := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if leave > 0 { // after so many milliseconds, the caller does
		time.AfterFunc(time.Duration(leave)*time.Millisecond, cancel)
	}
	x, err := c.Do(ctx, req)
	var out strings.Builder
	if err == nil {
		time.Sleep(time.Duration(unread) * time.Millisecond) // the caller takes an earlier response of its connection first
		var body string
		body, err = readAll(x)
		fmt.Fprintf(&out, "status %d body %q\n", x.Status, body)
	}
	if !errors.Is(err, io.EOF) {
		fmt.Fprintf(&out, "error %s %s\n", code.Of(err).Code, code.Of(err).Outcome)
	}
	if elapsed := time.Since(begin); elapsed > 200*time.Millisecond { // shorter times vary with the jitter of the backoff
		fmt.Fprintf(&out, "after %v\n", elapsed.Round(100*time.Millisecond))
	}
	time.Sleep(10 * time.Second) // goroutines and timers that are left over would act during this time
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.log {
		fmt.Fprintln(&out, line)
	}
	for range f.confirmed { // confirmations are sent by another goroutine, so their order is not fixed
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

// stalledBody is a body of which the caller sends so many bytes and then no more, until reading is aborted.
type stalledBody struct {
	bytes   int
	aborted <-chan struct{}
}

// Read implements io.Reader.
func (b *stalledBody) Read(p []byte) (int, error) {
	if b.bytes > 0 {
		n := min(b.bytes, len(p))
		b.bytes -= n
		return n, nil
	}
	<-b.aborted
	return 0, os.ErrDeadlineExceeded
}

// Guards invariants 5 and 6 of the design under random failures: a non-idempotent request runs at most once, and a request that
// is reported as not run did not run.
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
		violation := ""
		synctest.Test(t, func(*testing.T) {
			ran := 0
			f := &fake{}
			f.script = func(head *proto.Head) string {
				i := int(head.ID.Attempt) - 1
				script := scripts[i]
				proven := strings.Contains(script, "refuse") || strings.Contains(script, "not-run")
				// Whether a silent or broken attempt has run is drawn at random. The reply to resolve agrees with it.
				if !proven && (strings.Contains(script, "answer") && !strings.HasPrefix(script, "300ms") || runs[i]) {
					ran++
					f.resolves = []string{"unknown"}
				} else {
					f.resolves = []string{"revoked"}
				}
				return script
			}
			c := newClient(f, 3)
			for range 500 {
				c.Budgets.Service("stock").RecordRequest(0.1, 0.05)
			}
			x, err := c.Do(context.Background(), &Request{Service: "stock", Method: method, Path: "/", Target: "/", Timeout: 5 * time.Second})
			if err == nil {
				_, _ = readAll(x)
			} else if code.Of(err).Outcome == code.NotRun && ran > 0 {
				violation = fmt.Sprintf("reported as not run, ran %d times: %v", ran, err)
			}
			if method == "POST" && ran > 1 {
				violation = fmt.Sprintf("a non-idempotent request ran %d times", ran)
			}
			time.Sleep(10 * time.Second)
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// Guards against retries that multiply along a call chain: if every server at the last of 8 levels refuses all requests, there are
// at most 1.1 attempts per request at each level.
func TestAttemptsUnderTotalOverloadAtEightLevels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const levels = 8
		clients := make([]*Client, levels)
		for level := range levels {
			f := &fake{}
			f.script = func(*proto.Head) string {
				if level == levels-1 {
					return "refuse"
				}
				next := clients[level+1]
				_, err := next.Do(context.Background(), &Request{
					Service: "stock", Method: "GET", Path: "/", Target: "/", Timeout: time.Second,
					Context: &ident.CallContext{Depth: level, Class: ident.Lookup},
				})
				return fmt.Sprintf("ack; answer %d", code.Of(err).Code.HTTPStatus())
			}
			clients[level] = newClient(f, 3)
		}
		for range 1000 {
			if x, err := clients[0].Do(context.Background(), &Request{Service: "stock", Method: "GET", Path: "/", Target: "/"}); err == nil {
				_, _ = readAll(x)
			}
		}
		for level, c := range clients {
			d := c.Dump().(Dump)
			t.Logf("level %d: %d requests, %d attempts", level, d.Requests, d.Attempts)
			g.Expect(float64(d.Attempts)).To(gomega.BeNumerically("<=", 1.1*float64(d.Requests)))
		}
		g.Expect(clients[levels-1].Dump().(Dump).Attempts).To(gomega.BeNumerically("<=", 1100))
	})
}

// Guards the context of nested requests: they inherit the exact deadline and the class of the parent, at the next depth.
func TestNestedCallTakesOverItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fake{script: func(*proto.Head) string { return "ack; answer 200" }}
		c := newClient(f, 3)
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
		g.Expect(code.Of(err).Code).To(gomega.Equal(code.BadRequest), "a call chain beyond the maximum depth")
		time.Sleep(time.Minute)
	})
}

// Guards the replay of a body with random read sizes: each attempt gets the body from its start, and an attempt whose body is no
// longer buffered is not made.
func TestBodyIsReplayedWholeOrNotAtAll(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	g := gomega.NewWithT(t)
	for range 200 {
		data := make([]byte, random.IntN(3*maxReplay))
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		b := newReplayBuffer(strings.NewReader(string(data)), -1)
		for generation := range uint32(3) {
			var got []byte
			stop := random.IntN(2*maxReplay) + 1
			for len(got) < stop {
				piece := make([]byte, 1+random.IntN(proto.MaxPiece))
				n, err := b.read(generation, int64(len(got)), piece)
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
