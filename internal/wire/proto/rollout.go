package proto

import (
	"context"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/roll/tally"
)

// RolloutState is what its sender knows of the order of a roll-out.
type RolloutState struct {
	Order  uint64 // 0 with an empty Target: no order is known
	Target string
	Known  bool // whether Phase is known; otherwise Phase and Stored are zero
	Phase  phase.Phase
	Stored bool // Phase was read from or written to the table; only RolledBack may be known without
	// Elapsed is the time since any daemon first saw the order. Elapsed times are not clock times, so that daemons need no common clock.
	Elapsed time.Duration
	// Granted is the sum of all limits that were ever granted for the order. A later coordinator counts as used what it does not find in
	// the limits of the daemons that it knows.
	Granted uint64
}

// RolloutRound is sent by the coordinator of a roll-out to every daemon of the service. A daemon that does not know the phase sends it
// too, without a grant, to ask for the evidence of another.
type RolloutRound struct {
	Service     string
	State       RolloutState
	Coordinator netip.AddrPort // invalid when the sender only asks
	Yielding    bool           // the coordinator cannot reach the table; another daemon may take over
	Minority    bool           // at most half of the daemons replied to its last round; this round extends no lease
	Receiver    ident.Incarnation
	Limit       uint64       // cumulative number of requests that the receiver may admit; void unless Receiver is its incarnation
	Rate        float64      // admissions per second during the trial; 0: none now
	Announce    bool         // target servers are to be announced as serving, because the switch is near
	Baseline    *tally.Tally // responses of the old release; nil unless the receiver is in trial
	WantTally   bool         // the evidence is to include the tallies
}

// RolloutEvidence is the reply to RolloutRound. The counts are those of the present incarnation for the order.
type RolloutEvidence struct {
	State       RolloutState
	Incarnation ident.Incarnation
	Release     string // of the server; empty when unknown
	Ready       bool   // the server takes requests, apart from the roll-out
	Slots       int
	Received    uint64 // requests that came to this daemon first
	Admitted    uint64 // while the server had the target release
	Limit       uint64 // highest that was granted
	Running     uint64
	Closed      bool         // the server takes no new requests for the rest of the phase
	Old         *tally.Tally // responses while the server had another release than the target; nil without any, and unless asked for
	New         *tally.Tally // responses while it had the target release; nil without any, and unless asked for
}

// RolloutHandler serves rounds. It is implemented by roll/agent.
type RolloutHandler interface {
	Rollout(ctx context.Context, peer *Peer, round *RolloutRound) (*RolloutEvidence, error)
}

// RolloutClient is the part of the connection pool that the coordinator of a roll-out uses.
type RolloutClient interface {
	Rollout(ctx context.Context, to netip.AddrPort, round *RolloutRound) (*RolloutEvidence, error)
}

func appendRolloutState(buf []byte, m *RolloutState) []byte {
	buf = putUint(buf, 1, m.Order)
	buf = putText(buf, 2, m.Target)
	buf = putBool(buf, 3, m.Known)
	buf = putUint(buf, 4, uint64(m.Phase))
	buf = putBool(buf, 5, m.Stored)
	buf = putInt(buf, 6, int64(m.Elapsed))
	return putUint(buf, 7, m.Granted)
}

func readRolloutState(r *reader, m *RolloutState) {
	switch r.number {
	case 1:
		m.Order = r.unsigned()
	case 2:
		m.Target = r.text(maxName)
	case 3:
		m.Known = r.boolean()
	case 4:
		m.Phase = phase.Phase(r.uint(uint64(phase.RolledBack)))
	case 5:
		m.Stored = r.boolean()
	case 6:
		m.Elapsed = r.duration()
	case 7:
		m.Granted = r.unsigned()
	}
}

func appendRolloutRound(buf []byte, m *RolloutRound) []byte {
	buf = putText(buf, 1, m.Service)
	buf = putNested(buf, 2, &m.State, appendRolloutState)
	buf = putAddress(buf, 3, m.Coordinator)
	buf = putBool(buf, 4, m.Yielding)
	buf = putUint(buf, 5, uint64(m.Receiver))
	buf = putUint(buf, 6, m.Limit)
	buf = putUint(buf, 7, math.Float64bits(m.Rate))
	buf = putBool(buf, 8, m.Announce)
	buf = putTally(buf, 9, m.Baseline)
	buf = putBool(buf, 10, m.Minority)
	return putBool(buf, 11, m.WantTally)
}

func readRolloutRound(r *reader, m *RolloutRound) {
	switch r.number {
	case 1:
		m.Service = r.text(maxName)
	case 2:
		readNested(r, &m.State, readRolloutState)
	case 3:
		m.Coordinator = r.address()
	case 4:
		m.Yielding = r.boolean()
	case 5:
		m.Receiver = ident.Incarnation(r.unsigned())
	case 6:
		m.Limit = r.unsigned()
	case 7:
		m.Rate = r.rate()
	case 8:
		m.Announce = r.boolean()
	case 9:
		m.Baseline = new(tally.Tally)
		readNested(r, m.Baseline, readTally)
	case 10:
		m.Minority = r.boolean()
	case 11:
		m.WantTally = r.boolean()
	}
}

func appendRolloutEvidence(buf []byte, m *RolloutEvidence) []byte {
	buf = putNested(buf, 1, &m.State, appendRolloutState)
	buf = putUint(buf, 2, uint64(m.Incarnation))
	buf = putText(buf, 3, m.Release)
	buf = putBool(buf, 4, m.Ready)
	buf = putUint(buf, 5, uint64(m.Slots))
	buf = putUint(buf, 6, m.Received)
	buf = putUint(buf, 7, m.Admitted)
	buf = putUint(buf, 8, m.Limit)
	buf = putUint(buf, 9, m.Running)
	buf = putTally(buf, 10, m.Old)
	buf = putTally(buf, 11, m.New)
	return putBool(buf, 12, m.Closed)
}

func readRolloutEvidence(r *reader, m *RolloutEvidence) {
	switch r.number {
	case 1:
		readNested(r, &m.State, readRolloutState)
	case 2:
		m.Incarnation = ident.Incarnation(r.unsigned())
	case 3:
		m.Release = r.text(maxName)
	case 4:
		m.Ready = r.boolean()
	case 5:
		m.Slots = r.count()
	case 6:
		m.Received = r.unsigned()
	case 7:
		m.Admitted = r.unsigned()
	case 8:
		m.Limit = r.unsigned()
	case 9:
		m.Running = r.unsigned()
	case 10:
		m.Old = new(tally.Tally)
		readNested(r, m.Old, readTally)
	case 11:
		m.New = new(tally.Tally)
		readNested(r, m.New, readTally)
	case 12:
		m.Closed = r.boolean()
	}
}

// rate reads a finite number that is not negative.
func (r *reader) rate() float64 {
	value := math.Float64frombits(r.unsigned())
	if math.IsNaN(value) || math.IsInf(value, 0) || math.Signbit(value) {
		r.err = malformed("field %d is not a rate", r.number)
		return 0
	}
	return value
}

func putTally(buf []byte, number fieldNumber, m *tally.Tally) []byte {
	if m == nil {
		return buf
	}
	return putNested(buf, number, m, appendTally)
}

func appendTally(buf []byte, m *tally.Tally) []byte {
	for i := range m.Routes {
		buf = putNested(buf, 1, &m.Routes[i], appendTallyRoute)
	}
	return putNested(buf, 2, &m.Steps, appendDurations)
}

// readTally requires the order of the names, on which the search for a route relies.
func readTally(r *reader, m *tally.Tally) {
	switch r.number {
	case 1:
	case 2:
		r.durations(&m.Steps)
		return
	default:
		return
	}
	m.Routes = readElement(r, m.Routes, tally.MaxRoutes, readTallyRoute)
	if n := len(m.Routes); r.err == nil && n > 1 && m.Routes[n-2].Name >= m.Routes[n-1].Name {
		r.err = malformed("routes of a tally are not sorted")
	}
}

func appendTallyRoute(buf []byte, m *tally.Route) []byte {
	buf = putText(buf, 1, m.Name)
	buf = putUint(buf, 2, m.Responses)
	buf = putUint(buf, 3, m.Failures)
	return putNested(buf, 4, &m.Durations, appendDurations)
}

// appendDurations leaves out the empty buckets at the end. Most buckets hold small numbers, so that a varint each is short.
func appendDurations(buf []byte, m *[tally.Buckets]uint64) []byte {
	used := tally.Buckets
	for used > 0 && m[used-1] == 0 {
		used--
	}
	for _, n := range m[:used] {
		buf = protowire.AppendVarint(buf, n)
	}
	return buf
}

func readTallyRoute(r *reader, m *tally.Route) {
	switch r.number {
	case 1:
		m.Name = r.text(maxName)
	case 2:
		m.Responses = r.unsigned()
	case 3:
		m.Failures = r.unsigned()
	case 4:
		r.durations(&m.Durations)
	}
}

func (r *reader) durations(into *[tally.Buckets]uint64) {
	*into = [tally.Buckets]uint64{}
	data := r.rawBytes(MaxFrame)
	for i := 0; len(data) > 0 && r.err == nil; i++ {
		n, size := protowire.ConsumeVarint(data)
		switch {
		case size < 0:
			r.fail(protowire.ParseError(size))
		case i >= tally.Buckets:
			r.err = code.Unknownf(code.BadRequest, "malformed message: more than %d buckets", tally.Buckets)
		default:
			into[i] = n
			data = data[size:]
		}
	}
}
