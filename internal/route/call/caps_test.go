package call

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// put puts a revision in force in which the keys belong to the organisations, as KEY=NAME separated by spaces, and with a private and a
// public route.
func put(c *Client, keys string) *config.Config {
	conf := &config.Config{
		Revision: c.Config.Revision() + 1, Services: c.Config.Get().Services, Organisations: map[string]*config.Organisation{},
		Routes: map[string]*config.Route{"private": {Name: "private"}, "public": {Name: "public", Public: true}},
	}
	for entry := range strings.FieldsSeq(keys) {
		key, name, _ := strings.Cut(entry, "=")
		organisation := config.NewOrganisation(name)
		organisation.Keys, organisation.Rate = []config.KeyDigest{config.DigestKey(key)}, 10
		conf.Organisations[name] = organisation
	}
	conf.Index()
	_ = c.Config.Set(conf)
	return conf
}

// keyed returns a request with a key on the route.
func keyed(conf *config.Config, route, key string) *Request {
	r := &Request{
		Service: "stock", Method: "GET", Path: "/", Target: "/", Header: http.Header{"Accept": {"*/*"}},
		Route: &config.Route{Name: route, Timeout: time.Second, Servers: 3, Priority: 1, Public: route == "public"}, Priority: 1,
	}
	if organisation := conf.OrganisationByKey(key); organisation != nil {
		r.Organisation, r.KeyDigest = organisation, config.DigestKey(key)
		r.Header["Marigoldwinch-Organisation"] = []string{organisation.Name}
	}
	return r
}

// Guards against an attempt that is sent with a key that a revision has taken away or given to another organisation while the request
// waited, against a not-run for a request that may have run, against a refusal where the configuration in force needs no key, and against
// a header that daemons must remove once organisations are configured.
func TestKeysAreCheckedBeforeEachAttempt(t *testing.T) {
	const own, none = "[ann]", "[]"
	for name, c := range map[string]struct {
		route, first, keys string // keys are in force when the first attempt is sent
		want               string
	}{
		"kept":                   {"private", "refuse", "k1=ann", "answered " + own + own},
		"removed":                {"private", "refuse", "k2=ann", "unauthorized not-run " + own},
		"removed, may have run":  {"private", "ack; fail", "k2=ann", "outcome-unknown unknown " + own},
		"of another":             {"private", "refuse", "k1=bob", "unauthorized not-run " + own},
		"removed, public":        {"public", "refuse", "k2=ann", "answered " + own + none},
		"of another, public":     {"public", "refuse", "k1=bob", "answered " + own + none},
		"no organisations":       {"private", "refuse", "", "answered " + own + none},
		"answer after a removal": {"private", "10ms; answer 200 ok", "k2=ann", "answered " + own},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := &fake{resolves: []string{"unknown"}}
			c2 := newClient(f, 3)
			c2.Dialect = hdrs.Default()
			for range 500 {
				c2.Budgets.Service("stock").RecordRequest(0.1, 0)
			}
			conf := put(c2, "k1=ann")
			f.script = func(head *proto.Head) string {
				if head.ID.Attempt == 1 {
					put(c2, c.keys)
					return c.first
				}
				return "ack; answer 200 ok"
			}
			x, err := c2.Do(t.Context(), keyed(conf, c.route, "k1"))
			got := "answered "
			if err != nil {
				got = fmt.Sprintf("%v %v ", code.Of(err).Code, code.Of(err).Outcome)
			} else {
				_, _ = readAll(x)
			}
			for _, head := range f.heads {
				got += fmt.Sprint(head.Header["Marigoldwinch-Organisation"])
			}
			g.Expect(got).To(gomega.Equal(c.want), name)
			time.Sleep(time.Minute)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := &fake{}
		c := newClient(f, 3)
		c.Dialect = hdrs.Default()
		conf := put(c, "")
		f.script = func(*proto.Head) string {
			put(c, "k1=ann")
			return "refuse"
		}
		request := keyed(conf, "private", "")
		request.Header = http.Header{"Authorization": {"Bearer k1"}, "Marigoldwinch-Organisation": {"forged"}}
		_, _ = c.Do(t.Context(), request)
		g.Expect(len(f.heads)).To(gomega.BeNumerically(">", 1))
		g.Expect(f.heads[0].Header).To(gomega.HaveLen(2))
		g.Expect(f.heads[1].Header).To(gomega.BeEmpty())
		time.Sleep(time.Minute)
	})
}

// fakeCaps grants permits unless it has a failure.
type fakeCaps struct {
	failure *code.Error
	log     []string
}

func (c *fakeCaps) Take(_ context.Context, organisation *config.Organisation) (func(bool), error) {
	c.log = append(c.log, "take "+organisation.Name)
	if c.failure != nil {
		return nil, c.failure
	}
	return func(mayHaveRun bool) { c.log = append(c.log, fmt.Sprint("release ", mayHaveRun)) }, nil
}

// Guards against a permit for each attempt, a permit that is returned although a server may have run the request or kept although none
// has, an attempt without a permit, and a permit for a request that needs none.
func TestPermitsAreTakenOncePerRequest(t *testing.T) {
	overCap := code.NotRunf(code.OverCap, "over the cap")
	overCap.RetryAfter = time.Second
	for name, c := range map[string]struct {
		scripts []string
		failure *code.Error
		key     string
		rate    float64
		log     []string
		heads   int
	}{
		"answered":           {[]string{"answer 500 failed"}, nil, "k1", 10, []string{"take ann", "release true"}, 1},
		"retried":            {[]string{"refuse", "ack; answer 200 ok"}, nil, "k1", 10, []string{"take ann", "release true"}, 2},
		"refused":            {[]string{"refuse"}, nil, "k1", 10, []string{"take ann", "release false"}, 4},
		"unknown, refused":   {[]string{"ack; fail", "refuse"}, nil, "k1", 10, []string{"take ann", "release true"}, 4},
		"over the cap":       {[]string{""}, overCap, "k1", 10, []string{"take ann"}, 0},
		"without a cap":      {[]string{"answer 200 ok"}, overCap, "k1", 0, nil, 1},
		"without a key":      {[]string{"answer 200 ok"}, overCap, "", 10, nil, 1},
		"truncated response": {[]string{"start 200 part; break"}, nil, "k1", 10, []string{"take ann", "release true"}, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := &fake{resolves: []string{"unknown"}}
			f.script = func(head *proto.Head) string { return c.scripts[min(int(head.ID.Attempt)-1, len(c.scripts)-1)] }
			caps := &fakeCaps{failure: c.failure}
			client := newClient(f, 4)
			client.Caps = caps
			for range 500 {
				client.Budgets.Service("stock").RecordRequest(0.1, 0)
			}
			conf := put(client, "k1=ann")
			conf.Organisations["ann"].Rate = c.rate
			x, err := client.Do(t.Context(), keyed(conf, "public", c.key))
			if c.heads == 0 {
				g.Expect(err).To(gomega.BeIdenticalTo(overCap))
			}
			if err == nil {
				_, _ = readAll(x)
			}
			g.Expect(caps.log).To(gomega.Equal(c.log), name)
			g.Expect(f.heads).To(gomega.HaveLen(c.heads), name)
			time.Sleep(time.Minute)
		})
	}
}

// Guards against a class by the priority of the route for a request of an organisation.
func TestPriorityOfTheOrganisationSetsTheClass(t *testing.T) {
	for priority, class := range []ident.Class{ident.Check, ident.Lookup} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := &fake{script: func(*proto.Head) string { return "answer 200 ok" }}
			c := newClient(f, 1)
			request := keyed(put(c, "k1=ann"), "public", "k1")
			request.Priority, request.Route.Priority = priority, 1-priority
			x, err := c.Do(t.Context(), request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = readAll(x)
			g.Expect(f.heads[0].Class).To(gomega.Equal(class))
			time.Sleep(time.Minute)
		})
	}
}

// Guards against metrics whose number grows with that of the organisations.
func TestUsageIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	u := &Usage{Metrics: stats.NewSet()}
	for i := range 3 * maxCountedOrganisations {
		u.record(fmt.Sprint("o", i%(2*maxCountedOrganisations)), code.NotRunf(code.OverCap, "over the cap"))
	}
	var text strings.Builder
	u.Metrics.Write(&text)
	g.Expect(strings.Count(text.String(), "marigoldwinch_organisation_requests_total{")).To(gomega.Equal(maxCountedOrganisations + 1))
	g.Expect(text.String()).To(gomega.And(
		gomega.ContainSubstring(`marigoldwinch_organisation_refused_total{organisation="o0",code="over-cap"} 2`),
		gomega.ContainSubstring(`marigoldwinch_organisation_refused_total{organisation="other",code="over-cap"} 100`)))
}
