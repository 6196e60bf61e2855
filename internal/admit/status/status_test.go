package status

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Guards against new work for a server that is leaving or is not the expected one, against too much work for a cold one, and
// against decisions based on reports of an earlier lifetime.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			polls := 0
			s := &Server{
				Service: "stock", ColdRate: func() float64 { return 10 }, PollHealth: func() { polls++ }, Log: logr.Discard(),
			}
			start := time.Now()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				switch d.Cmd {
				case "check-in":
					return checkIn(t, s, d, start) + state(s)
				case "leave":
					s.Leave(d.CmdArgs[0].Key)
				case "verified":
					s.RestoreVerified(d.CmdArgs[0].Key)
				case "restore":
					born := time.Time{}
					if !d.HasArg("born-unknown") {
						born = start.Add(duration(t, d, "born"))
					}
					s.Restore(text(t, d, "id"), born)
				case "await-history":
					s.AwaitHistory()
				case "history-known":
					s.HistoryKnown()
				case "health":
					h := Health{ID: text(t, d, "id"), Healthy: !d.HasArg("bad"), ColdFor: duration(t, d, "cold")}
					s.SetHealth(h, time.Now())
				case "drop-proof":
					s.DropWarmProof()
					return fmt.Sprintf("polled %d times\n", polls)
				case "wait":
					wait, err := time.ParseDuration(d.CmdArgs[0].Key)
					if err != nil {
						t.Fatal(err)
					}
					time.Sleep(wait)
				case "silent":
					return fmt.Sprintf("%v\n", s.Silent())
				case "take":
					return take(t, s, d)
				default:
					t.Fatalf("unknown command %s", d.Cmd)
				}
				return state(s)
			})
		})
	})
}

func checkIn(t *testing.T, s *Server, d *datadriven.TestData, start time.Time) string {
	c := CheckIn{
		ID: text(t, d, "id"), Service: "stock", Slots: 12, Draining: d.HasArg("draining"),
		ColdFor: duration(t, d, "cold"), Born: start.Add(duration(t, d, "born")),
	}
	if d.HasArg("service") {
		c.Service = text(t, d, "service")
	}
	if d.HasArg("slots") {
		c.Slots = number[int](t, d, "slots")
	}
	if d.HasArg("born-ms") {
		c.Born = time.UnixMilli(number[int64](t, d, "born-ms"))
	}
	c.Sequence = number[uint64](t, d, "seq")
	if err := s.CheckIn(c); err != nil {
		return code.Of(err).Code.String() + "\n"
	}
	return ""
}

func number[T int | int64 | uint64](t *testing.T, d *datadriven.TestData, name string) T {
	var parsed T
	if _, err := fmt.Sscan(text(t, d, name), &parsed); err != nil {
		t.Fatal(err)
	}
	return parsed
}

// take attempts count requests, spread evenly over the time, and reports how many may be sent.
func take(t *testing.T, s *Server, d *datadriven.TestData) string {
	count := number[int](t, d, "count")
	over := duration(t, d, "over")
	sent := 0
	for range count {
		if s.Take(time.Now()) {
			sent++
		}
		time.Sleep(over / time.Duration(count))
	}
	return fmt.Sprintf("%d of %d\n", sent, count)
}

func state(s *Server) string {
	refused := "takes work"
	if failure := s.Refusing(); failure != nil {
		refused = failure.Code.String()
	}
	id, _, _ := s.Departure()
	return fmt.Sprintf("%s: %s, departing %v, cold %v\n", id, refused, s.Departing(), s.Cold())
}

func text(t *testing.T, d *datadriven.TestData, name string) string {
	for _, arg := range d.CmdArgs {
		if arg.Key == name && len(arg.Vals) == 1 {
			return arg.Vals[0]
		}
	}
	if name != "id" {
		t.Fatalf("%s: no argument %s", d.Pos, name)
	}
	return ""
}

func duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	if !d.HasArg(name) {
		return 0
	}
	parsed, err := time.ParseDuration(text(t, d, name))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
