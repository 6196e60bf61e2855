package daemon

import (
	"strconv"

	"go.uber.org/fx"

	"marigoldwinch.example/marigoldwinch/internal/admit/gate"
	"marigoldwinch.example/marigoldwinch/internal/admit/order"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/gossip"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/fleet/watch"
	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
	"marigoldwinch.example/marigoldwinch/internal/quota/permit"
	"marigoldwinch.example/marigoldwinch/internal/roll/agent"
	"marigoldwinch.example/marigoldwinch/internal/roll/coord"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/route/front"
	"marigoldwinch.example/marigoldwinch/internal/wire/dgram"
)

type metricParts struct {
	fx.In
	Set     *stats.Set
	Gate    *gate.Gate
	Calls   *call.Client
	Front   *front.Front
	Caps    *permit.Agent
	Queries *dgram.Reporter
	Node    *gossip.Node
	Members *member.Table
	Holder  *config.Holder
	Watch   *watch.Watch
	Rollout *agent.Agent
	Rounds  *coord.Coordinator
}

// registerMetrics registers gauges that read their values on each scrape, so that they cost nothing on the call path.
func registerMetrics(parts metricParts) {
	registerAdmission(parts.Set, parts.Gate)
	registerCalls(parts.Set, parts.Calls)
	registerCounts(parts.Set, parts.Front.Counts, map[string]func(front.Dump) uint64{
		"front_without_key_total": func(d front.Dump) uint64 { return d.WithoutKey },
		"front_unknown_key_total": func(d front.Dump) uint64 { return d.UnknownKey },
	})
	registerCaps(parts.Set, parts.Caps)
	registerQueries(parts.Set, parts.Queries)
	registerFleet(parts)
	registerRollouts(parts.Set, parts.Rollout, parts.Rounds)
}

func registerAdmission(set *stats.Set, admission *gate.Gate) {
	set.Gauge("admission_in_flight", func() float64 { return float64(admission.Report().InFlight) })
	set.Gauge("admission_queued", func() float64 { return float64(admission.Report().Queued) })
	set.Gauge("admission_limit", func() float64 { return float64(admission.Report().Limit) })
	set.Gauge("admission_warming", func() float64 { return gaugeValue(admission.Report().Warming) })
	set.Gauge("admission_refusing_code", func() float64 { return float64(admission.Report().Refusing) })
	set.Gauge("server_latency_seconds", func() float64 { return admission.Report().Latency.Seconds() })
	registerCounts(set, admission.Endings, map[string]func(gate.EndingCounts) uint64{
		"admission_streams_cancelled_total": func(e gate.EndingCounts) uint64 { return e.Cancelled },
		"admission_streams_lost_total":      func(e gate.EndingCounts) uint64 { return e.Lost },
	})
	registerStages(set, admission)
	for priority := range order.MaxPriorities {
		set.Gauge("admission_refused_by_precedence_total", func() float64 { return float64(admission.RefusedByPriority()[priority]) },
			"priority", strconv.Itoa(priority))
	}
	set.Gauge("admission_floor", func() float64 { return float64(admission.Report().Floor) })
	for c := code.None + 1; c <= code.LowPrecedence; c++ {
		set.Gauge("admission_failures_total", func() float64 { return float64(admission.Failures(c)) }, "code", c.String())
	}
}

func registerStages(set *stats.Set, admission *gate.Gate) {
	for stage := range gate.Stage(gate.Stages) {
		for class := range ident.Class(ident.Classes) {
			register := func(name string, value func(gate.StageCounts) float64) {
				read := func() float64 { return value(admission.StageCounts(stage, class)) }
				set.Gauge(name, read, "stage", stage.String(), "class", class.String())
			}
			register("admission_stage_passed_total", func(n gate.StageCounts) float64 { return float64(n.Passed) })
			register("admission_stage_refused_total", func(n gate.StageCounts) float64 { return float64(n.Refused) })
			register("admission_stage_seconds_total", func(n gate.StageCounts) float64 { return n.Took.Seconds() })
			register("admission_wasted_body_bytes_total", func(n gate.StageCounts) float64 { return float64(n.WastedBytes) })
		}
	}
}

func registerCalls(set *stats.Set, calls *call.Client) {
	registerCounts(set, calls.Counts, map[string]func(call.Dump) uint64{
		"calls_requests_total":   func(d call.Dump) uint64 { return d.Requests },
		"calls_attempts_total":   func(d call.Dump) uint64 { return d.Attempts },
		"calls_retries_total":    func(d call.Dump) uint64 { return d.Retries },
		"calls_hedges_total":     func(d call.Dump) uint64 { return d.Hedges },
		"calls_hedges_won_total": func(d call.Dump) uint64 { return d.HedgesWon },
		"calls_silent_total":     func(d call.Dump) uint64 { return d.Silent },
		"calls_resolves_total":   func(d call.Dump) uint64 { return d.Resolves },
		"calls_revoked_total":    func(d call.Dump) uint64 { return d.Revoked },
		"calls_truncated_total":  func(d call.Dump) uint64 { return d.Truncated },
		"calls_uncertain_total":  func(d call.Dump) uint64 { return d.Uncertain },
	})
}

func registerCaps(set *stats.Set, caps *permit.Agent) {
	registerCounts(set, caps.Counts, map[string]func(permit.Counts) uint64{
		"caps_permits_taken_total":    func(c permit.Counts) uint64 { return c.Taken },
		"caps_permits_returned_total": func(c permit.Counts) uint64 { return c.Returned },
		"caps_refused_total":          func(c permit.Counts) uint64 { return c.Refused },
		"caps_isolated_total":         func(c permit.Counts) uint64 { return c.Isolated },
		"caps_asks_total":             func(c permit.Counts) uint64 { return c.Asks },
		"caps_asks_failed_total":      func(c permit.Counts) uint64 { return c.Failed },
		"caps_asks_redirected_total":  func(c permit.Counts) uint64 { return c.Redirects },
		"caps_asks_local_total":       func(c permit.Counts) uint64 { return c.Local },
		"caps_asks_served_total":      func(c permit.Counts) uint64 { return c.Served },
		"caps_substitutions_total":    func(c permit.Counts) uint64 { return c.Substituted },
		"caps_pings_answered_total":   func(c permit.Counts) uint64 { return c.Pinged },
	})
	registerCounts(set, caps.Owner.Counts, map[string]func(owner.Dump) uint64{
		"caps_granted_total": func(d owner.Dump) uint64 { return d.Granted },
		"caps_denied_total":  func(d owner.Dump) uint64 { return d.Denied },
		"caps_resumed_total": func(d owner.Dump) uint64 { return d.Resumed },
		"caps_organisations": func(d owner.Dump) uint64 { return uint64(d.Organisations) },
	})
	set.Gauge("caps_reached_share", caps.Share)
}

func registerQueries(set *stats.Set, queries *dgram.Reporter) {
	registerCounts(set, queries.Counts, map[string]func(dgram.Dump) uint64{
		"load_queries_sent_total":        func(d dgram.Dump) uint64 { return d.Sent },
		"load_queries_answered_total":    func(d dgram.Dump) uint64 { return d.Answered },
		"load_reports_received_total":    func(d dgram.Dump) uint64 { return d.Received },
		"load_datagrams_limited_total":   func(d dgram.Dump) uint64 { return d.Limited },
		"load_datagrams_failed_total":    func(d dgram.Dump) uint64 { return d.Failed },
		"load_datagrams_malformed_total": func(d dgram.Dump) uint64 { return d.Malformed },
	})
}

// registerCounts registers a gauge for each name, which selects its value from the counts of a part.
func registerCounts[D any](set *stats.Set, counts func() D, selectors map[string]func(D) uint64) {
	for name, selected := range selectors {
		set.Gauge(name, func() float64 { return float64(selected(counts())) })
	}
}

func registerFleet(parts metricParts) {
	parts.Set.Gauge("members", func() float64 { return float64(parts.Members.Live()) })
	parts.Set.Gauge("isolated", func() float64 { return gaugeValue(parts.Node.Isolated()) })
	parts.Set.Gauge("configuration_revision", func() float64 { return float64(parts.Holder.Revision()) })
	parts.Set.Gauge("configuration_serial", func() float64 { return float64(parts.Holder.Serial()) })
	parts.Set.Gauge("configuration_head_revision", func() float64 {
		revision, _ := parts.Node.HeadSeen()
		return float64(revision)
	})
	parts.Set.Gauge("configuration_head_age_seconds", func() float64 {
		_, age := parts.Node.HeadSeen()
		return age.Seconds()
	})
	parts.Set.Gauge("platform_silence_seconds", func() float64 { return parts.Node.PlatformSilence().Seconds() })
	parts.Set.Gauge("peer_silence_seconds", func() float64 { return parts.Node.PeerSilence().Seconds() })
	registerCounts(parts.Set, parts.Watch.SourceCounts, map[string]func(watch.SourceCounts) uint64{
		"source_reads_total":      func(c watch.SourceCounts) uint64 { return c.Reads },
		"source_reads_lost_total": func(c watch.SourceCounts) uint64 { return c.Lost },
	})
	registerCounts(parts.Set, parts.Node.Counts, map[string]func(gossip.CounterDump) uint64{
		"configuration_requests_total":          func(d gossip.CounterDump) uint64 { return d.RevisionRequests },
		"configuration_repeated_requests_total": func(d gossip.CounterDump) uint64 { return d.RepeatedRequests },
		"configuration_parts_total":             func(d gossip.CounterDump) uint64 { return d.Parts },
	})
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
