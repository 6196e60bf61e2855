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
	Phase    phase.Phase   // in force
	Since    time.Duration // since this coordinator first knew the phase in force
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
	Target    bool        // its server has the target release; false as long as the release is unknown
	Reachable bool        // replied to one of the last rounds
	Ready     bool        // its server is in service, apart from the roll-out
	Known     phase.Phase // of this order
	Received  uint64      // requests since the order was first seen
	Admitted  uint64      // cumulative, of this order
	Limit     uint64      // highest cumulative limit that may have been sent to it
	Running   uint64      // requests running on the server, waiting for it or in flight to it
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

// Parts of the duration at which decisions fall.
const (
	// goodTrial is when a good release leaves the trial: a fault that appears 3 s after the start of a server has then shown itself for
	// more than 6 s of a roll-out of 15 s, and more than 3 s remain for the requests on the old servers.
	goodTrial = 0.65
	// unsureTrial and suspectTrial are when the others leave it, if nothing has condemned them by then.
	unsureTrial  = 0.75
	suspectTrial = 0.8
	// lastUnreachable is until when unreachable old daemons are waited for. Beyond it, the roll-back could come too late for a caller.
	lastUnreachable = 0.95
)

// minUnsure is the number of responses with which a release that is neither good nor suspect leaves the trial at unsureTrial: of 10
// responses of a release with 0.4 of bad ones, fewer than 2 are bad with a probability of 0.05. With fewer it does so at suspectTrial: a
// service with so few requests has received fewer than the exposure that is allowed to a bad release.
const minUnsure = 10

// settling is the time after the order in which a coordinator does not conclude from its view that there are no old servers.
const settling = time.Second

// watch is how long the target servers carry the whole load before the roll-out is completed, unless lastWatch of the duration is over: a
// fault that appears only under load may have been missed on a service whose exposure allows few bursts. The old servers can still resume.
// In this time a bad release gets at most half of its exposure.
const (
	watch     = 750 * time.Millisecond
	lastWatch = 0.85
)

// Next returns the plan for the current round. It keeps no state, so that any daemon can continue with the evidence of the others.
func Next(in Input) Plan {
	plan := Plan{}
	plan.Phase, plan.Reason = in.next()
	plan.Grants = in.grants(plan.Phase)
	return plan
}

// part returns the part of the duration that has elapsed.
func (in *Input) part() float64 {
	if in.Duration <= 0 {
		return 1
	}
	return float64(in.Elapsed) / float64(in.Duration)
}

func (in *Input) next() (phase.Phase, Reason) {
	switch {
	case in.Phase.Final():
		return in.Phase, AlreadyFinal
	case in.condemned():
		return phase.RolledBack, ReleaseBad
	case in.Phase == phase.Switching:
		return in.switching()
	default:
		return in.trial()
	}
}

// minSwitchedExcess is the least deviation of a share that condemns a release after the switch. The old servers then have no responses from
// the same time, so that a fault of the network or of a called service looks like one of the release. A bad release has 0.4 of bad
// responses.
const minSwitchedExcess = 0.25

// condemned reports whether the release is to be rolled back.
func (in *Input) condemned() bool {
	return in.Finding.Verdict == judge.Bad && (in.Phase != phase.Switching || in.Finding.Excess() >= minSwitchedExcess)
}

func (in *Input) trial() (phase.Phase, Reason) {
	c := in.count()
	switch part := in.part(); {
	case part >= 1 && c.ready == 0:
		return phase.RolledBack, NoTargetServer
	case part >= 1:
		return phase.RolledBack, DurationExpired
	case c.ready == 0:
		return phase.Trial, InTrial
	case c.olds == 0 && in.Elapsed >= settling:
		return phase.Switching, NoOldServers
	case part >= suspectTrial && in.Finding.Condemned():
		return phase.RolledBack, ReleaseBad
	case part >= suspectTrial, in.passed(part) && 2*c.ready >= c.olds:
		return phase.Switching, TrialPassed
	}
	return phase.Trial, InTrial
}

// passed reports whether the release leaves the trial before suspectTrial.
func (in *Input) passed(part float64) bool {
	if in.Finding.Verdict == judge.Good {
		return part >= goodTrial
	}
	return part >= unsureTrial && !in.Finding.Suspect() && in.Finding.Responses >= minUnsure
}

func (in *Input) switching() (phase.Phase, Reason) {
	c := in.count()
	switch part := in.part(); {
	case c.ready > 0 && c.idle == c.olds && (in.Since >= watch || part >= lastWatch):
		return phase.Completed, OldServersIdle
	case part >= 1 && c.ready == 0:
		return phase.RolledBack, NoTargetServer
	case part >= 1:
		return phase.RolledBack, DurationExpired
	case part >= lastUnreachable && c.unreachable > 0:
		return phase.RolledBack, OldUnreachable
	}
	return phase.Switching, OldServersBusy
}

// census counts daemons by kind.
type census struct {
	targets, ready    int // target daemons; those that are reachable and whose servers are in service
	olds, unreachable int
	idle              int // old daemons that refuse requests and have none
}

func (in *Input) count() census {
	var c census
	for i := range in.Daemons {
		d := &in.Daemons[i]
		switch {
		case d.Target:
			c.targets++
			if d.Ready && d.Reachable {
				c.ready++
			}
		default:
			c.olds++
			if !d.Reachable {
				c.unreachable++
			} else if d.Running == 0 && d.Known >= phase.Switching {
				c.idle++
			}
		}
	}
	return c
}
