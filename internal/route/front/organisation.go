package front

import (
	"fmt"
	"net/http"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
)

// identify finds the organisation whose key the request carries, and refuses a request without one on a route that needs it. The request
// keeps the digest of the key, not the key.
func (f *Front) identify(conf *config.Config, r *http.Request, request *call.Request) error {
	request.Priority = config.DefaultPriority
	if request.Route != nil {
		request.Priority = request.Route.Priority
	}
	if !conf.HasOrganisations() {
		return nil
	}
	key := f.Dialect.ParseKey(r.Header)
	if organisation := conf.OrganisationByKey(key); organisation != nil {
		request.Organisation, request.KeyDigest, request.Priority = organisation, config.DigestKey(key), organisation.Priority
		return nil
	}
	if !conf.NeedsKey(request.Route) {
		return nil
	}
	if key == "" {
		f.withoutKey.Add(1)
		failure := code.NotRunf(code.Unauthorized, "the route needs a key: want one header %s: %s KEY", f.Dialect.Key, f.Dialect.KeyScheme)
		f.logRefusal(conf, request, failure, "without a key")
		return failure
	}
	f.unknownKey.Add(1)
	failure := code.NotRunf(code.Unauthorized, "the key belongs to no organisation")
	f.logRefusal(conf, request, failure, "key with digest "+config.DigestKey(key).Short())
	return failure
}

// logRefusal logs a request that was refused because of its key, of which only the first digits of the digest are told.
func (f *Front) logRefusal(conf *config.Config, request *call.Request, failure *code.Error, key string) {
	if f.Decisions == nil {
		return
	}
	name := request.Name
	if name == "" {
		name = fmt.Sprintf("front-%d", f.unnamed.Add(1)) // the router assigns ids only to requests that it takes
	}
	f.Decisions.Abnormal("request-refused", name, "route", request.Route.Name, "code", failure.Code.String(),
		"outcome", failure.Outcome.String(), "detail", failure.Detail, "sent", key, "revision", conf.Revision)
}

// removeIdentity removes the headers of keys and organisations that only daemons may set, if the configuration in force has
// organisations.
func (f *Front) removeIdentity(header http.Header) http.Header {
	if f.Config == nil || !f.Config.Get().HasOrganisations() {
		return header
	}
	return f.Dialect.WithOrganisation(header, "")
}
