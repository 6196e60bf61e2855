package call

import (
	"context"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// Caps limits the requests of organisations over all daemons.
type Caps interface {
	// Take takes the permit for one request of an organisation that has a cap. It may wait briefly, at most until ctx ends. Its errors
	// are of type *code.Error with outcome NotRun: OverCap with RetryAfter, or Isolated when permits are not available. Without an
	// error, the returned function is called exactly once: with true as soon as a server may have run the request, or with false when it
	// is certain that none has, so that the permit can be used again.
	Take(ctx context.Context, organisation *config.Organisation) (release func(mayHaveRun bool), err error)
}
