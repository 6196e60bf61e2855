package agent

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/admit/gate"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

const incarnation = 7

var (
	self  = netip.MustParseAddrPort("10.0.0.1:7000")
	other = netip.MustParseAddrPort("10.0.0.2:7000")
)

type server struct {
	release string
}

func (s *server) Release() string { return s.release }
func (s *server) Slots() int      { return 8 }

// Guards against requests that an order does not permit: to a target server beyond its allowance or after its lease, to an old server
// after the switch, to a server of an unknown release; and against a restriction that remains after a completed order.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t, server: &server{}, holder: &config.Holder{}}
			s.agent = &Agent{
				Service: "stock", Address: self, Incarnation: incarnation, Config: s.holder, Server: s.server, Log: logr.Discard(),
			}
			s.agent.Start()
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
				return s.do(d)
			})
		})
	})
}

type script struct {
	t        *testing.T
	agent    *Agent
	server   *server
	holder   *config.Holder
	revision uint64
	runs     []gate.RolloutRun
}

func (s *script) do(d *datadriven.TestData) string {
	switch d.Cmd {
	case "release":
		s.server.release = strings.TrimSpace(d.Input)
	case "order":
		ordered := &config.Rollout{Service: "stock", Duration: 15 * time.Second}
		d.ScanArgs(s.t, "number", &ordered.Order)
		d.ScanArgs(s.t, "target", &ordered.Target)
		s.configure(map[string]*config.Rollout{"stock": ordered})
	case "withdraw":
		s.configure(nil)
	case "sleep":
		duration, err := time.ParseDuration(strings.TrimSpace(d.Input))
		if err != nil {
			return err.Error()
		}
		time.Sleep(duration)
	case "round":
		return s.round(d)
	case "row":
		next, _ := phase.Parse(strings.TrimSpace(d.Input))
		view, _ := s.agent.View()
		s.agent.Learn(view.Ordered, next, true, "table")
	case "begin":
		return s.begin(d)
	case "end":
		failed := d.HasArg("failed")
		for _, r := range s.runs {
			if r != nil {
				r.End("lookup", failed, 10*time.Millisecond)
			}
		}
		s.runs = nil
	}
	return s.state()
}

func (s *script) configure(rollouts map[string]*config.Rollout) {
	s.revision++
	if err := s.holder.Set(&config.Config{Revision: s.revision, Rollouts: rollouts}); err != nil {
		s.t.Fatal(err)
	}
}

// round applies a round. A phase of unknown is one of a coordinator that does not know it.
func (s *script) round(d *datadriven.TestData) string {
	round := &proto.RolloutRound{
		Service: "stock", Coordinator: other, Receiver: incarnation, Yielding: d.HasArg("yielding"), Announce: d.HasArg("announce"),
	}
	name, rate, receiver := "", 0, incarnation
	d.ScanArgs(s.t, "phase", &name)
	d.MaybeScanArgs(s.t, "limit", &round.Limit)
	d.MaybeScanArgs(s.t, "rate", &rate)
	d.MaybeScanArgs(s.t, "receiver", &receiver)
	round.Rate, round.Receiver = float64(rate), incarnation
	if receiver != incarnation {
		round.Receiver = 1
	}
	view, _ := s.agent.View()
	round.State = proto.RolloutState{Order: view.Ordered.Order, Target: view.Ordered.Target, Stored: !d.HasArg("unstored")}
	d.MaybeScanArgs(s.t, "number", &round.State.Order)
	round.State.Phase, round.State.Known = phase.Parse(name)
	evidence, err := s.agent.Rollout(s.t.Context(), nil, round)
	if err != nil {
		return err.Error()
	}
	state := evidence.State
	return fmt.Sprintf("order %d known %t phase %s stored %t admitted %d limit %d running %d\n%s",
		state.Order, state.Known, state.Phase, state.Stored, evidence.Admitted, evidence.Limit, evidence.Running, s.state())
}

func (s *script) begin(d *datadriven.TestData) string {
	tries, admitted := 1, 0
	d.MaybeScanArgs(s.t, "tries", &tries)
	for range tries {
		s.agent.Received()
		run, refused := s.agent.Begin()
		if refused == nil {
			admitted++
			s.runs = append(s.runs, run)
		}
	}
	return fmt.Sprintf("admitted %d of %d\n%s", admitted, tries, s.state())
}

func (s *script) state() string {
	text := "in service"
	if refused := s.agent.Refusing(); refused != nil {
		text = "refusing: " + refused.Detail
	}
	if s.agent.OutOfService() {
		text += ", leaving"
	}
	return text + "\n"
}
