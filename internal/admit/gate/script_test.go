package gate

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// TestScripts runs the scripts in testdata. The head of each one describes the failure that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		inBubble(t, func(r *rig) {
			s := &script{rig: r, started: make(map[ident.Class][]*stream)}
			datadriven.RunTest(r.t.(*testing.T), path, s.run)
		})
	})
}

type script struct {
	*rig
	started    map[ident.Class][]*stream
	warmUpRuns int // requests run by the end of the warm-up
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "warm":
		s.warm()
		s.warmUpRuns = s.backend.total()
	case "serve": // sets the service time, optionally another one for uploads
		durations := map[bool]time.Duration{false: arg(t, d, "for"), true: arg(t, d, "for")}
		if d.HasArg("upload") {
			durations[true] = arg(t, d, "upload")
		}
		s.backend.set(func() {
			s.backend.serve = func(r *http.Request) time.Duration { return durations[r.URL.Path == "/upload"] }
		})
	case "start":
		s.start(t, d)
	case "sleep":
		time.Sleep(arg(t, d, "for"))
	case "wait": // until all calls have ended
		s.calls.Wait()
	case "configure":
		s.change(t, d)
	case "stop":
		s.SetStopTime(time.Now().Add(arg(t, d, "in")))
	case "drain":
		ctx, cancel := context.WithTimeout(s.t.Context(), arg(t, d, "within"))
		defer cancel()
		return fmt.Sprintln(s.Drain(ctx))
	case "peak": // highest concurrency since the last peak command
		peak := s.backend.peakConcurrency()
		s.backend.set(func() { s.backend.peak = 0 })
		return fmt.Sprintln(peak)
	case "show":
		return s.show()
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// arg parses a duration argument.
func arg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return value
}

// start starts n calls one after the other.
func (s *script) start(t *testing.T, d *datadriven.TestData) {
	var name string
	n := 1
	d.ScanArgs(t, "class", &name)
	d.MaybeScanArgs(t, "n", &n)
	class, err := ident.ParseClass(name)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	for range n {
		head := s.head(class, arg(t, d, "timeout"))
		head.Idempotent = !d.HasArg("once")
		s.started[class] = append(s.started[class], s.call(&proto.Peer{}, head))
		synctest.Wait()
	}
}

// change applies a new configuration, draining state of the server or isolation of the daemon.
func (s *script) change(t *testing.T, d *datadriven.TestData) {
	s.isolated.Store(d.HasArg("isolated"))
	s.backend.set(func() { s.backend.draining = d.HasArg("draining") })
	if d.HasArg("no-checks") {
		s.service.Checks = nil
	}
	d.MaybeScanArgs(t, "slots", &s.service.Slots)
	d.MaybeScanArgs(t, "queue", &s.service.Queue)
	s.configure(func(c *config.Config) {
		if d.HasArg("zone-out") {
			c.Zones = map[string]config.ZoneState{"a": config.ZoneOut}
		}
		if d.HasArg("server-leaving") {
			c.Servers = map[netip.AddrPort]config.ServerState{address: config.ServerLeaving}
		}
	})
	synctest.Wait()
}

// show prints the states of the started calls, the queue, the number of requests run, and the reason why new calls are refused.
func (s *script) show() string {
	synctest.Wait()
	var out strings.Builder
	for class := ident.Check; class <= ident.Upload; class++ {
		var states []string
		for _, stream := range s.started[class] {
			states = append(states, stream.state())
		}
		if len(states) > 0 {
			fmt.Fprintf(&out, "%s: %s\n", class, strings.Join(countAdjacent(states), ", "))
		}
	}
	var queue []string
	for _, w := range s.Dump().(Dump).Queue {
		queue = append(queue, w.Class.String())
	}
	fmt.Fprintf(&out, "queue: %s\n", strings.Join(countAdjacent(queue), ", "))
	fmt.Fprintf(&out, "running %d, queued %d, ran %d, refusing %s\n",
		s.running.Load(), s.queued.Load(), s.backend.total()-s.warmUpRuns, s.Report().Refusing)
	return out.String()
}

// countAdjacent merges adjacent equal texts and prefixes each one with its count.
func countAdjacent(texts []string) []string {
	var out []string
	for len(texts) > 0 {
		n := slices.IndexFunc(texts, func(other string) bool { return other != texts[0] })
		if n < 0 {
			n = len(texts)
		}
		out = append(out, fmt.Sprintf("%d %s", n, texts[0]))
		texts = texts[n:]
	}
	return out
}

// state describes the result of a call, or its Ack while it has none.
func (s *stream) state() string {
	ack, last := s.frames()
	switch frame := last.(type) {
	case *proto.Answer:
		return "answered"
	case *proto.Failure:
		return fmt.Sprintf("%s (%s)", frame.Code, frame.Outcome)
	}
	if ack.Verdict == proto.Refused {
		return fmt.Sprintf("refused %s", ack.Code)
	}
	return ack.Verdict.String()
}
