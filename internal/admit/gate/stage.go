package gate

import (
	"sync/atomic"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Stage -linecomment -output=names.go

// Stage is a part of the way of a call through the gate.
type Stage int

// The stages in their order. A call whose body is not buffered has no AwaitingPlace and no ReceivingBody.
const (
	CheckingHead  Stage = iota // head
	AwaitingPlace              // place
	ReceivingBody              // body
	AwaitingSlot               // slot
	Running                    // server
)

// Stages is the number of stages.
const Stages = int(Running) + 1

// stageTimes are the times that a call spent in each stage that it has left.
type stageTimes struct {
	current Stage
	since   time.Time
	took    [Stages]time.Duration
}

// StageCounts are the counts of the calls of a class in a stage.
type StageCounts struct {
	Passed, Refused uint64        // calls that left the stage for the next one or with a response, or that ended there without having run
	Took            time.Duration // sum over all calls
	WastedBytes     uint64        // body bytes received of calls that ended there without having run
}

type stageCounts struct {
	passed, refused, wasted atomic.Uint64
	took                    atomic.Int64
}

// StageCounts returns the counts of a class in a stage since the start.
func (g *Gate) StageCounts(stage Stage, class ident.Class) StageCounts {
	n := &g.stages[stage][class]
	return StageCounts{
		Passed: n.passed.Load(), Refused: n.refused.Load(), Took: time.Duration(n.took.Load()), WastedBytes: n.wasted.Load(),
	}
}

// enterStage ends the current stage of the call.
func (c *call) enterStage(next Stage) {
	c.leaveStage().passed.Add(1)
	c.stage.current = next
}

func (c *call) leaveStage() *stageCounts {
	s, now := &c.stage, time.Now()
	took := now.Sub(s.since)
	s.took[s.current] += took
	s.since = now
	counts := &c.gate.stages[s.current][c.countedClass()]
	counts.took.Add(int64(took))
	return counts
}

// countFailure counts the failure of the call by its code and stage.
func (c *call) countFailure(failed *code.Error) {
	c.gate.count(failed.Code)
	counts := c.leaveStage()
	if failed.Outcome == code.NotRun {
		counts.refused.Add(1)
		counts.wasted.Add(uint64(c.body.received.Load()))
	}
}

// countedClass returns the class of the head, which is not validated before the first stage has ended.
func (c *call) countedClass() ident.Class {
	return min(max(c.head.Class, ident.Check), ident.Upload)
}
