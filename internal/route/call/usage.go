package call

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
)

// maxCountedOrganisations bounds the metrics of a daemon. A deployment may have 10,000 organisations and 7,700 daemons, and the metrics of
// each are collected.
const maxCountedOrganisations = 100

// otherOrganisations is the label of the organisations beyond maxCountedOrganisations.
const otherOrganisations = "other"

// Usage counts the requests of organisations. The first maxCountedOrganisations that send a request have metrics of their own; all
// others are counted together until the daemon restarts.
type Usage struct {
	Metrics *stats.Set

	mu      sync.Mutex
	counted map[string]*usage // by the name of the organisation
}

type usage struct {
	requests, unauthorized, overCap *metrics.Counter
}

// record counts a request and its refusal, if failure is one that concerns the organisation.
func (u *Usage) record(organisation string, failure *code.Error) {
	counts := u.find(organisation)
	counts.requests.Inc()
	switch {
	case failure == nil:
	case failure.Code == code.Unauthorized:
		counts.unauthorized.Inc()
	case failure.Code == code.OverCap:
		counts.overCap.Inc()
	}
}

func (u *Usage) find(organisation string) *usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	if found := u.counted[organisation]; found != nil {
		return found
	}
	if u.counted == nil {
		u.counted = make(map[string]*usage)
	}
	if len(u.counted) >= maxCountedOrganisations {
		organisation = otherOrganisations
		if found := u.counted[organisation]; found != nil {
			return found
		}
	}
	const name, refused, label, reason = "organisation_requests_total", "organisation_refused_total", "organisation", "code"
	added := &usage{
		requests:     u.Metrics.Counter(name, label, organisation),
		unauthorized: u.Metrics.Counter(refused, label, organisation, reason, code.Unauthorized.String()),
		overCap:      u.Metrics.Counter(refused, label, organisation, reason, code.OverCap.String()),
	}
	u.counted[organisation] = added
	return added
}
