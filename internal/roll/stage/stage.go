// Package stage plans how many requests the target servers of a roll-out may admit, and when its phase changes.
package stage

import (
	"math"
	"net/netip"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/roll/judge"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment -output=names.go

// Unlimited is the cumulative limit of target servers from phase switching on.
const Unlimited = math.MaxUint64

// Input is what the coordinator knows of a roll-out.
type Input struct {
	Order    uint64
	Elapsed  time.Duration // since the order was first seen by any daemon
	Duration time.Duration
	Phase    phase.Phase // in force
	Finding  judge.Finding
	Share    float64 // of the requests of the service that may reach a bad release
	Slack    uint64  // requests that may reach a bad release besides

	Rate     float64 // requests/s that the service received lately; 0: the mean since the order
	Received uint64  // by daemons that have terminated
	Admitted uint64  // by target daemons that have terminated or are no longer known: their admitted requests, or their limits if unknown

	// Daemons are the known daemons of the service. Those that the membership reports as gone are left out.
	Daemons []Daemon
}

// Daemon is what the coordinator knows of one daemon of the service. For one that is unreachable these are its last known values.
type Daemon struct {
	Address   netip.AddrPort
	Target    bool // its server has the target release; false as long as the release is unknown
	Reachable bool // replied to one of the last rounds
	Ready     bool // its server is in service, apart from the roll-out
	Known     phase.Phase
	Received  uint64 // requests since the order was first seen
	Admitted  uint64 // cumulative, of this order
	Limit     uint64 // highest cumulative limit that may have been sent to it
	Running   uint64 // requests running on the server, waiting for it or in flight to it
	Slots     int
}

// Grant is what a target daemon may admit.
type Grant struct {
	Address netip.AddrPort
	Limit   uint64  // cumulative; never below the daemon's present limit
	Rate    float64 // requests/s; 0 with a limit other than Unlimited: admit nothing now
}

// Plan is the decision.
type Plan struct {
	Phase  phase.Phase // wanted; differs from the one in force if a write is needed
	Reason Reason
	Grants []Grant // of all target daemons, sorted by address
}

// Reason says why a plan wants its phase.
type Reason int

// The reasons.
const (
	InTrial         Reason = iota // in-trial
	TrialPassed                   // trial-passed
	NoOldServers                  // no-old-servers
	OldServersBusy                // old-servers-busy
	OldServersIdle                // old-servers-idle
	ReleaseBad                    // release-bad
	NoTargetServer                // no-target-server
	OldUnreachable                // old-servers-unreachable
	DurationExpired               // duration-expired
	AlreadyFinal                  // already-final
)

// Next returns the plan for the current round. It keeps no state, so that any daemon can continue with the evidence of the others.
func Next(in Input) Plan {
	return Plan{Phase: in.Phase}
}
