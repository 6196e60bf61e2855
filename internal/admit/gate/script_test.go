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

// Each script in testdata names the failure that it guards against.
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
	warmUpRuns int // runs until the server was warm
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "warm":
		s.warm()
		s.warmUpRuns = s.backend.total()
	case "serve": // sets the service time, and another one for uploads
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
	case "wait": // until no call is left
		s.calls.Wait()
	case "configure":
		s.change(t, d)
	case "drain":
		ctx, cancel := context.WithTimeout(s.t.Context(), arg(t, d, "within"))
		defer cancel()
		return fmt.Sprintln(s.Drain(ctx))
	case "peak": // since the last one
		peak := s.backend.highestPeak()
		s.backend.set(func() { s.backend.peak = 0 })
		return fmt.Sprintln(peak)
	case "show":
		return s.show()
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

// arg returns the duration of an argument.
func arg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return value
}

// start begins calls one after the other.
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
		s.started[class] = append(s.started[class], s.call(&proto.Peer{}, s.head(class, arg(t, d, "timeout"))))
		synctest.Wait()
	}
}

// change puts a configuration, or a sign of the server or of isolation, in force.
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

// show prints what became of the started calls, the queue, the runs so far and the standing reason to refuse work.
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

// countAdjacent counts adjacent equal texts.
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

// state tells what became of a call.
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
