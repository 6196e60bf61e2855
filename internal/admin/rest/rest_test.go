package rest_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/admin/rest"
	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
)

type inner struct {
	HTTPStatus int
	Latency    time.Duration
	hidden     int
}

type state struct {
	InFlight int
	Address  netip.AddrPort
	Classes  map[ident.Class]int
	Inner    *inner
	Missing  *inner
	Any      any
}

func newAPI(token string) *rest.API {
	return &rest.API{
		Token:   token,
		Parts:   []rest.Part{{Name: "admission", Dump: func() any { return state{InFlight: 3} }}},
		Metrics: stats.NewSet(),
		Ready:   func() error { return code.NotRunf(code.NoConfiguration, "none yet") },
		Log:     logr.Discard(),
	}
}

func get(api *rest.API, path, token string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, path, http.NoBody)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	api.Handler().ServeHTTP(recorder, request)
	return recorder
}

var _ = Describe("View", func() {
	// Guards against dumps with Go field names as keys or with durations and enums as bare numbers.
	It("converts field names to kebab case and values to text", func() {
		value := state{
			InFlight: 3,
			Address:  netip.MustParseAddrPort("127.0.0.1:9"),
			Classes:  map[ident.Class]int{ident.Check: 2},
			Inner:    &inner{HTTPStatus: 200, Latency: 1500 * time.Microsecond, hidden: 1},
			Any:      []time.Duration{time.Second},
		}
		text, err := json.Marshal(rest.View(value))
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(MatchJSON(`{"in-flight":3,"address":"127.0.0.1:9","classes":{"check":2},
			"inner":{"http-status":200,"latency":"1.5ms"},"missing":null,"any":["1s"]}`))
	})
})

var _ = Describe("the API", func() {
	// Guards against a daemon that shows its state without the token.
	It("rejects requests without the token on every path", func() {
		api := newAPI("secret")
		for _, path := range []string{"/dump", "/metrics", "/health", "/dump/admission"} {
			Expect(get(api, path, "").Code).To(Equal(http.StatusUnauthorized), path)
			Expect(get(api, path, "wrong").Code).To(Equal(http.StatusUnauthorized), path)
		}
		Expect(get(api, "/dump", "secret").Code).To(Equal(http.StatusOK))
	})

	It("lists the existing parts when the requested one is unknown", func() {
		response := get(newAPI(""), "/dump/unknown", "")
		Expect(response.Code).To(Equal(http.StatusNotFound))
		Expect(response.Header().Get("Marigoldwinch-Code")).To(Equal("35"))
		Expect(response.Body.String()).To(ContainSubstring("admission"))
	})

	// Guards against a health check that passes while the daemon refuses all work.
	It("reports why the daemon accepts no work", func() {
		response := get(newAPI(""), "/health", "")
		Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header().Get("Content-Type")).To(HavePrefix("application/problem+json"))
		Expect(response.Body.String()).To(ContainSubstring("no-configuration"))
	})

	It("writes the metrics of the daemon", func() {
		api := newAPI("")
		api.Metrics.Counter("peer_bytes_total", "direction", "sent").Add(7)
		text := get(api, "/metrics", "").Body.String()
		Expect(strings.Split(text, "\n")).To(ContainElement(`marigoldwinch_peer_bytes_total{direction="sent"} 7`))
	})
})
