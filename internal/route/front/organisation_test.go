package front

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/logs"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/route/call"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// recorder is a Forwarder that keeps the requests with their trailers and refuses them with its failure.
type recorder struct {
	failure  *code.Error
	requests []*call.Request
	trailers []http.Header
}

func (r *recorder) Do(_ context.Context, request *call.Request) (*call.Response, error) {
	r.requests = append(r.requests, request)
	if request.Body != nil {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	if request.Trailer != nil {
		r.trailers = append(r.trailers, request.Trailer())
	}
	return nil, r.failure
}

// withOrganisations returns a revision with an organisation for each key, whose name is "of " and the key.
func withOrganisations(revision uint64, keys ...string) *config.Config {
	conf := &config.Config{
		Revision: revision, Routes: map[string]*config.Route{}, Organisations: map[string]*config.Organisation{},
		Callers: config.DefaultCallerLimits(),
	}
	for _, prefix := range []string{"/private/", "/public/"} {
		route := config.NewRoute(strings.Trim(prefix, "/"))
		route.Host, route.Prefix, route.Parts, route.Public = "x", prefix, []config.Part{{Service: "stock", Weight: 1}}, prefix == "/public/"
		conf.Routes[route.Name] = route
	}
	for _, key := range keys {
		organisation := config.NewOrganisation("of-" + key)
		organisation.Keys, organisation.Priority = []config.KeyDigest{config.DigestKey(key)}, 7
		conf.Organisations[key] = organisation
	}
	conf.Index()
	return conf
}

// routed runs a front end whose keys have the scheme Token and returns its address. Its log is written to text.
func routed(t *testing.T, forwarder Forwarder, holder *config.Holder, text io.Writer) (f *Front, base string) {
	g := gomega.NewWithT(t)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	log := logr.Discard()
	if text != nil {
		log = logs.New(text, slog.LevelInfo)
	}
	dialect := hdrs.Default()
	dialect.RequestID, dialect.KeyScheme = "X-Request-Id", "Token"
	f = &Front{
		Listener: listener, Forwarder: forwarder, Config: holder, Routed: true, Dialect: dialect, Service: func() string { return "web" },
		Decisions: &logs.Sampler{Log: log}, Log: log,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-done).To(gomega.Succeed())
	})
	return f, listener.Addr().String()
}

func get(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\nHost: x\nConnection: close\n" + strings.Join(append(headers, ""), "\n") + "\n"
}

// Guards against a key that reaches a server and against an organisation that a caller forges, in any spelling, repeated or as a trailer,
// on routes with and without keys; against a refusal on a public route; and against changed headers without organisations.
func TestServersReceiveOrganisationsAndNoKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	back := &recorder{failure: code.NotRunf(code.Overloaded, "full")}
	holder := &config.Holder{}
	g.Expect(holder.Set(withOrganisations(1))).To(gomega.Succeed())
	_, base := routed(t, back, holder, nil)
	const forged, secret = "Marigoldwinch-Organisation", "Authorization"
	for _, path := range []string{"/private/1", "/public/1"} {
		_, _, err := send(g, base, get(path, "authorization: Token k1", "marigoldwinch-organisation: me"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		seen := back.requests[len(back.requests)-1]
		g.Expect(seen.Header[secret]).To(gomega.Equal([]string{"Token k1"}))
		g.Expect(seen.Header[forged]).To(gomega.Equal([]string{"me"}))
		g.Expect(seen.Organisation).To(gomega.BeNil())
	}
	g.Expect(holder.Set(withOrganisations(2, "k1"))).To(gomega.Succeed())
	for _, c := range []struct {
		path, headers, organisation string
		status                      int
	}{
		{"/private/1", "Authorization: Token k1", "of-k1", 503},
		{"/private/1", "aUTHORIZATION: tOKEN   k1 ", "of-k1", 503},
		{"/private/1", "AUTHORIZATION: Token k1\nmARIGOLDWINCH-organisation: me\nMarigoldwinch-Organisation: you", "of-k1", 503},
		{"/private/1", "Authorization: Token k1\nConnection: Marigoldwinch-Organisation, Authorization", "of-k1", 503},
		{"/public/1", "Authorization: Token k1", "of-k1", 503},
		{"/public/1", "authorization: Token k1\nAuthorization: Token k1\nmarigoldwinch-organisation: of-k1", "", 503},
		{"/public/1", "Authorization: Token unknown\nMARIGOLDWINCH-ORGANISATION: of-k1", "", 503},
		{"/public/1", "Authorization: Basic k1", "", 503},
		{"/public/1", "Accept: */*", "", 503},
		{"/private/1", "Authorization: Bearer k1", "", 401},
		{"/private/1", "Authorization: k1", "", 401},
		{"/private/1", "Authorization: Token k1\nAuthorization: Token k2", "", 401},
		{"/private/1", "Marigoldwinch-Organisation: of-k1", "", 401},
		{"/private/1", "Authorization: Token k2", "", 401},
		{"/private/1", "Authorization: Token", "", 401},
	} {
		back.requests = nil
		r, _, err := send(g, base, get(c.path, strings.Split(c.headers, "\n")...))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.StatusCode).To(gomega.Equal(c.status), "%s %s", c.path, c.headers)
		if c.status == http.StatusUnauthorized {
			g.Expect(back.requests).To(gomega.BeEmpty(), c.headers)
			g.Expect(r.Header).To(gomega.And(gomega.HaveKeyWithValue(headerOutcome, []string{"not-run"}),
				gomega.HaveKeyWithValue("Www-Authenticate", []string{"Token"})))
			continue
		}
		g.Expect(back.requests).To(gomega.HaveLen(1))
		seen := back.requests[0]
		g.Expect(seen.Header).NotTo(gomega.HaveKey(secret), c.headers)
		if c.organisation == "" {
			g.Expect(seen.Header).NotTo(gomega.HaveKey(forged), c.headers)
			g.Expect([]any{seen.Organisation, seen.Priority}).To(gomega.Equal([]any{(*config.Organisation)(nil), config.DefaultPriority}))
			continue
		}
		g.Expect(seen.Header).To(gomega.HaveKeyWithValue(forged, []string{c.organisation}), c.headers)
		g.Expect([]any{seen.Organisation.Name, seen.Priority}).To(gomega.Equal([]any{c.organisation, 7}))
	}
	_, _, err := send(g, base, "POST /public/1 HTTP/1.1\nHost: x\nConnection: close\nTransfer-Encoding: chunked\n"+
		"Trailer: X-Sum, authorization, marigoldwinch-organisation\n\n1\na\n0\n"+
		"X-Sum: 1\nauthorization: Token k1\nmarigoldwinch-organisation: me\n\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(back.trailers).To(gomega.Equal([]http.Header{{"X-Sum": {"1"}}}))
}

// Guards against a key that is accepted before a revision adds it or after one removes it, against a refusal for a key before the
// configuration is known, and against keys in the log, also those of malformed requests.
func TestKeysFollowTheConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	back := &recorder{failure: code.NotRunf(code.Overloaded, "full")}
	holder, log := &config.Holder{}, gbytes.NewBuffer()
	f, base := routed(t, back, holder, log)
	for _, step := range []struct {
		conf   *config.Config
		status int
		code   string
	}{
		{nil, 503, "4"},
		{withOrganisations(1, "other"), 401, "34"},
		{withOrganisations(2, "other", "secret-1"), 503, "8"},
		{withOrganisations(3, "other"), 401, "34"},
		{withOrganisations(4), 503, "8"},
	} {
		if step.conf != nil {
			g.Expect(holder.Set(step.conf)).To(gomega.Succeed())
		}
		r, body, err := send(g, base, get("/private/1", "Authorization: Token secret-1", "X-Request-Id: r1"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect([]any{r.StatusCode, r.Header.Get(headerCode)}).To(gomega.Equal([]any{step.status, step.code}))
		g.Expect(body).NotTo(gomega.ContainSubstring("secret-1"))
	}
	const line = "GET / HTTP/1.1\n"
	for _, malformed := range []string{line + "Authorization : ", line + " Authorization: ", "Authorization: "} {
		r, _, err := send(g, base, malformed+"Token secret-1\n\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(r.StatusCode).To(gomega.Equal(http.StatusBadRequest))
	}
	g.Expect(f.Counts().UnknownKey).To(gomega.BeEquivalentTo(2))
	text := string(log.Contents())
	g.Expect(text).To(gomega.And(gomega.ContainSubstring("request-refused request=r1 route=private code=unauthorized"),
		gomega.ContainSubstring(config.DigestKey("secret-1").Short()), gomega.ContainSubstring("request-malformed")))
	g.Expect(text).NotTo(gomega.ContainSubstring("secret-1"))
}

// Guards against a time to wait that is replaced by the default, and against a 429 without one.
func TestRetryAfterOfTheFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	back := &recorder{}
	holder := &config.Holder{}
	g.Expect(holder.Set(withOrganisations(1))).To(gomega.Succeed())
	_, base := routed(t, back, holder, nil)
	for _, c := range []code.Code{code.OverCap, code.Isolated} {
		for wait, want := range map[time.Duration]string{1234567 * time.Microsecond: "^1.235$", 0: `^0\.\d{3}$`} {
			back.failure = code.NotRunf(c, "refused")
			back.failure.RetryAfter = wait
			r, _, err := send(g, base, get("/public/1"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(r.Header.Get("Retry-After")).To(gomega.MatchRegexp(want), c.String())
		}
	}
}

// Guards against a path interface that demands keys, or that passes keys and forged names on.
func TestPathInterfaceIsPublic(t *testing.T) {
	g := gomega.NewWithT(t)
	f, base, _ := start(t, &fakeBackend{})
	back := &recorder{failure: code.NotRunf(code.Overloaded, "full")}
	f.Forwarder, f.Config = back, &config.Holder{}
	g.Expect(f.Config.Set(withOrganisations(1, "k1"))).To(gomega.Succeed())
	for _, c := range []struct{ key, organisation string }{{"Bearer k1", "of-k1"}, {"Bearer k2", ""}, {"Token k1", ""}} {
		_, _, err := send(g, base, get("/stock/1", "authorization: "+c.key, "marigoldwinch-ORGANISATION: me"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		want := http.Header{}
		if c.organisation != "" {
			want["Marigoldwinch-Organisation"] = []string{c.organisation}
		}
		g.Expect(back.requests[len(back.requests)-1].Header).To(gomega.Equal(want))
	}
}
