package daemon

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/opts"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/roll/coord"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
	"marigoldwinch.example/marigoldwinch/internal/wire/link"
	"marigoldwinch.example/marigoldwinch/platform"
)

var rollouts = fx.Provide(newCoordinator)

type rolloutParts struct {
	fx.In
	Settings    *opts.Settings
	Incarnation ident.Incarnation
	Holder      *config.Holder
	Status      *status.Server
	Log         logr.Logger
}

// newRolloutAgent returns an agent that ignores orders unless the server checks in, because its release is not known otherwise.
func newRolloutAgent(parts rolloutParts) *agent.Agent {
	a := &agent.Agent{
		Service:      parts.Settings.Service,
		Address:      parts.Settings.Daemons,
		Incarnation:  parts.Incarnation,
		Config:       parts.Holder,
		RollbackTime: parts.Settings.RollbackTime,
		Log:          parts.Log,
	}
	if parts.Status != nil {
		a.Server = parts.Status
	}
	return a
}

type coordinatorParts struct {
	fx.In
	Settings *opts.Settings
	Agent    *agent.Agent
	Members  *member.Table
	Pool     *link.Pool
	Store    table.Store
	State    *stateAnnouncer
	Log      logr.Logger
}

func newCoordinator(parts coordinatorParts) *coord.Coordinator {
	c := &coord.Coordinator{
		Service:  parts.Settings.Service,
		Address:  parts.Settings.Daemons,
		Agent:    parts.Agent,
		Members:  parts.Members,
		Client:   parts.Pool,
		Store:    parts.Store,
		Eligible: parts.State.mayCoordinate,
		Share:    parts.Settings.ExposureShare,
		Slack:    uint64(parts.Settings.ExposureSlack),
		Log:      parts.Log,
	}
	if parts.Settings.Hosted {
		c.StatusRow = rolloutStatus
	}
	return c
}

func rolloutStatus(service, target string, current phase.Phase) (key string, value []byte) {
	state := platform.RolloutRunning
	switch current {
	case phase.Trial, phase.Switching:
	case phase.Completed:
		state = platform.RolloutCompleted
	case phase.RolledBack:
		state = platform.RolloutRolledBack
	}
	return platform.RolloutStatus(service, target, state)
}

func registerRollouts(set *stats.Set, rollout *agent.Agent, rounds *coord.Coordinator) {
	set.Gauge("rollout_phase", func() float64 {
		d := rollout.Counts()
		if d.Ordered == nil || !d.State.Known {
			return -1
		}
		return float64(d.State.Phase)
	})
	set.Gauge("rollout_out_of_service", func() float64 { return gaugeValue(rollout.Counts().OutOfService) })
	set.Gauge("rollout_limit", func() float64 { return float64(rollout.Counts().Limit) })
	set.Gauge("rollout_coordinating", func() float64 { return gaugeValue(rounds.Counts().Coordinating) })
	registerCounts(set, rollout.Counts, map[string]func(agent.Dump) uint64{
		"rollout_received_total":  func(d agent.Dump) uint64 { return d.Received },
		"rollout_admitted_total":  func(d agent.Dump) uint64 { return d.Admitted },
		"rollout_responses_total": func(d agent.Dump) uint64 { return d.Responses },
		"rollout_failures_total":  func(d agent.Dump) uint64 { return d.Failures },
	})
	registerCounts(set, rounds.Counts, map[string]func(coord.Dump) uint64{
		"rollout_rounds_total":         func(d coord.Dump) uint64 { return d.Rounds },
		"rollout_rounds_lost_total":    func(d coord.Dump) uint64 { return d.Lost },
		"rollout_takeovers_total":      func(d coord.Dump) uint64 { return d.Takeovers },
		"rollout_step_downs_total":     func(d coord.Dump) uint64 { return d.StepDowns },
		"rollout_writes_total":         func(d coord.Dump) uint64 { return d.Writes },
		"rollout_store_failures_total": func(d coord.Dump) uint64 { return d.StoreFailures },
	})
}
