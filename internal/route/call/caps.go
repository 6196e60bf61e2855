package call

import (
	"context"
	"net/http"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// Caps limits the requests of organisations over all daemons.
type Caps interface {
	// Take takes the permit for one request of an organisation that has a cap. It may wait briefly, at most until ctx ends. Its errors
	// are of type *code.Error with outcome NotRun: OverCap with RetryAfter, or Isolated when permits are not available. Without an
	// error, the returned function is called exactly once, when the outcome is known: with true if a server may have run the request, or
	// with false if it is certain that none has, so that the permit can be used again.
	Take(ctx context.Context, organisation *config.Organisation) (release func(mayHaveRun bool), err error)
}

// runPermitted runs the request with a permit, if it belongs to an organisation with a cap.
func (r *request) runPermitted(ctx context.Context) (*Response, error) {
	release, err := r.takePermit(ctx)
	if err != nil {
		return nil, err
	}
	r.budget.RecordRequest(r.service.RetryShare, r.service.HedgeShare)
	response, err := r.run(ctx)
	release(err == nil || r.isUncertain())
	return response, err
}

func (r *request) takePermit(ctx context.Context) (release func(mayHaveRun bool), err error) {
	organisation := r.req.Organisation
	if r.c.Caps == nil || organisation == nil || !organisation.Capped() {
		return func(bool) {}, nil
	}
	return r.c.Caps.Take(ctx, organisation)
}

// authorize checks the key of the request against the configuration in force, because a request may wait while a revision takes the key
// away. It returns the header for the next attempt. Only a route that needs a key in that configuration refuses a request whose key has
// been removed; otherwise the request goes on without an organisation.
func (r *request) authorize() (http.Header, error) {
	conf, err := r.c.Config.InForce()
	if err != nil {
		return nil, err
	}
	organisation := r.req.Organisation
	if organisation == nil {
		if !conf.HasOrganisations() {
			return r.req.Header, nil
		}
		return r.c.Dialect.WithOrganisation(r.req.Header, ""), nil
	}
	owner := conf.OrganisationByDigest(r.req.KeyDigest)
	if owner != nil && owner.Name == organisation.Name {
		return r.c.Dialect.WithOrganisation(r.req.Header, organisation.Name), nil
	}
	if conf.NeedsKey(r.req.Route) {
		return nil, code.NotRunf(code.Unauthorized, "the key was removed from organisation %s by revision %d or an earlier one",
			organisation.Name, conf.Revision)
	}
	return r.c.Dialect.WithOrganisation(r.req.Header, ""), nil
}
