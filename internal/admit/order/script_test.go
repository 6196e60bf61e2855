package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

// TestScripts runs the scripts in testdata. The head of each one describes the failure that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1_000_000, 0), requests: map[string]*Request{}, names: map[*Request]string{}}
		datadriven.RunTest(t, path, s.run)
	})
}

// script plays requests on a queue. Slots that are free are not granted until the command next.
type script struct {
	queue    Queue
	now      time.Time
	requests map[string]*Request
	names    map[*Request]string
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "sleep":
		s.now = s.now.Add(duration(t, d, "for", 0))
	case "learn": // n requests like the named one have held their slots for the given time
		n, held := 0, duration(t, d, "held", 0)
		d.ScanArgs(t, "n", &n)
		r := s.request(t, d)
		for range n {
			s.queue.Granted(r, s.now)
			s.queue.Released(r, held, s.now)
		}
	case "arrive":
		return s.arrive(t, d)
	case "next":
		slots, free := 8, 1
		d.MaybeScanArgs(t, "slots", &slots)
		d.MaybeScanArgs(t, "free", &free)
		r := s.queue.Next(slots, free, always, s.now)
		if r == nil {
			return "nobody\n"
		}
		s.queue.Granted(r, s.now)
		return s.names[r] + "\n"
	case "expired":
		if r := s.queue.Expired(s.now); r != nil {
			s.queue.Remove(r, s.now)
			return s.names[r] + "\n"
		}
		return "nobody\n"
	case "floor":
		return fmt.Sprintln(s.queue.Floor(8, s.now))
	case "stalled":
		return fmt.Sprintln(s.queue.Stalled(s.now))
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

func duration(t *testing.T, d *datadriven.TestData, key string, missing time.Duration) time.Duration {
	text := missing.String()
	d.MaybeScanArgs(t, key, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return value
}

func (s *script) request(t *testing.T, d *datadriven.TestData) *Request {
	class := "lookup"
	r := &Request{Priority: 1, Nested: d.HasArg("nested"), Arrived: s.now}
	d.MaybeScanArgs(t, "class", &class)
	d.MaybeScanArgs(t, "priority", &r.Priority)
	d.MaybeScanArgs(t, "of", &r.Organisation)
	r.Class, _ = ident.ParseClass(class)
	r.Objective = s.now.Add(duration(t, d, "objective", time.Second))
	r.Deadline = s.now.Add(duration(t, d, "deadline", 3*time.Second))
	return r
}

// arrive lets requests arrive at a server with the given free slots; their names are separated by commas.
func (s *script) arrive(t *testing.T, d *datadriven.TestData) string {
	server := Server{Slots: 8, Capacity: 8}
	d.MaybeScanArgs(t, "slots", &server.Slots)
	d.MaybeScanArgs(t, "free", &server.Free)
	d.MaybeScanArgs(t, "capacity", &server.Capacity)
	var names string
	d.ScanArgs(t, "name", &names)
	var out strings.Builder
	for name := range strings.SplitSeq(names, "+") {
		r := s.request(t, d)
		s.requests[name], s.names[r] = r, name
		decision := s.queue.Arrive(r, server, s.now)
		switch {
		case decision.Reason != None:
			fmt.Fprintf(&out, "%s: refused by %s, retry after %s\n", name, decision.Reason, decision.RetryAfter.Round(time.Millisecond))
			continue
		case decision.Run:
			s.queue.Granted(r, s.now)
			fmt.Fprintf(&out, "%s: runs\n", name)
			continue
		}
		fmt.Fprintf(&out, "%s: waits, estimate %s", name, decision.Wait.Round(time.Millisecond))
		if decision.Evict != nil {
			s.queue.Remove(decision.Evict, s.now)
			fmt.Fprintf(&out, ", evicts %s", s.names[decision.Evict])
		}
		out.WriteString("\n")
		s.queue.Add(r)
	}
	return out.String()
}
