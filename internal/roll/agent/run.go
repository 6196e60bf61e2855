package agent

import (
	"time"

	"marigoldwinch.example/marigoldwinch/internal/admit/gate"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/roll/judge"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
)

// judgeInterval is the minimum time between two verdicts on the own responses, which bounds their cost on the call path.
const judgeInterval = 100 * time.Millisecond

var _ gate.Rollout = (*Agent)(nil)

// Received implements gate.Rollout.
func (a *Agent) Received() {
	if o := a.current.Load(); o != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.received++
	}
}

// Begin implements gate.Rollout.
func (a *Agent) Begin() (gate.RolloutRun, *code.Error) {
	o := a.current.Load()
	if o == nil {
		return nil, nil
	}
	release := a.Server.Release()
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if refused := o.refusing(release, now); refused != nil {
		return nil, refused
	}
	o.running++
	if release == o.ordered.Target {
		o.admitted++
	}
	o.tokens--
	return &run{order: o, target: release == o.ordered.Target}, nil
}

// run implements gate.RolloutRun.
type run struct {
	order  *order
	target bool // the server had the target release
}

// End implements gate.RolloutRun.
func (r *run) End(route string, failed bool, took time.Duration) {
	o := r.order
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running--
	now := time.Now()
	if !r.target {
		o.old.Add(now, route, failed, took)
		return
	}
	o.target.Add(now, route, failed, took)
	o.judge(now)
}

// Ignore implements gate.RolloutRun.
func (r *run) Ignore() {
	r.order.mu.Lock()
	defer r.order.mu.Unlock()
	r.order.running--
}

// judge stops the server at once when its own responses show in the trial that the release is bad, without agreement of other daemons. The
// old release is represented by the tally of the last round. After the switch the old servers have no more responses, and a fault of the
// network at one server would roll back a good release; the coordinator decides then, on the responses of all.
func (o *order) judge(now time.Time) {
	if !o.known || o.phase != phase.Trial || now.Sub(o.judged) < judgeInterval {
		return
	}
	o.judged = now
	finding := judge.Compare(o.baseline, &o.target.Tally)
	if finding.Verdict != judge.Bad {
		return
	}
	o.agent.Log.Info("rollout-verdict", FindingFields(o.ordered, "own", finding)...)
	o.setPhase(phase.RolledBack, false, "own-evidence")
}

// FindingFields returns the figures that determined a verdict, for a log event. evidence tells whose responses were compared.
func FindingFields(ordered config.Rollout, evidence string, f judge.Finding) []any {
	return []any{
		"service", ordered.Service, "order", ordered.Order, "target", ordered.Target, "evidence", evidence,
		"verdict", f.Verdict.String(), "measure", f.Measure.String(), "route", f.Route, "responses", f.Responses,
		"of", f.Of, "count", f.Count, "expected", f.Expected, "chance", f.Chance,
	}
}
