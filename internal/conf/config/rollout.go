package config

import "time"

// DefaultRolloutDuration is the time within which a roll-out is completed unless its order states another.
const DefaultRolloutDuration = time.Minute

// Rollout is an operator's order to move the traffic of a service to the servers of one release.
type Rollout struct {
	Service  string
	Target   string        // release of the servers that are to get the traffic
	Duration time.Duration // from the order to the completion
	Order    uint64        // a later order for the same service has a higher number
}

// NewRollout returns a roll-out with the default values.
func NewRollout(service string) *Rollout {
	return &Rollout{Service: service, Duration: DefaultRolloutDuration}
}
