package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

// headerLog keeps the headers that servers received, by the id of the request. A request to /outer calls /inner through the daemon of its
// server, with the context header only and a forged organisation.
type headerLog struct {
	mu   sync.Mutex
	seen map[string]http.Header
}

func (l *headerLog) wrap(s *system, n *node, next http.Handler) http.Handler {
	client := s.client(n.host)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(sample.RequestHeader)
		l.mu.Lock()
		l.seen[id] = r.Header.Clone()
		l.mu.Unlock()
		if r.URL.Path == "/outer" {
			inner := s.request(http.MethodGet, "/stock/inner", id+"-inner", http.NoBody)
			inner.Header.Set(ident.ContextHeader, r.Header.Get(ident.ContextHeader))
			inner.Header.Set("Marigoldwinch-Organisation", "forged")
			s.Expect(s.send(client, n, inner).status).To(Equal(http.StatusOK))
		}
		next.ServeHTTP(w, r)
	})
}

// header returns the values of a header of a request as its server received them.
func (l *headerLog) header(id, name string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[id].Values(name)
}

// Guards against a whole daemon that passes a key or a forged organisation on, that does not follow revisions which add and remove
// organisations, that changes headers without organisations, or whose dump discloses a digest.
func TestDaemonIdentifiesOrganisations(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		seen := &headerLog{seen: map[string]http.Header{}}
		s := layout{folder: folder, services: []string{"stock"}, perService: 2, wrap: seen.wrap}.start(t)
		time.Sleep(5 * time.Second)
		const key, other = "Bearer key-1", "Bearer key-2"
		sent := 0
		send := func(path, key string) string {
			sent++
			id := fmt.Sprintf("r%d", sent)
			request := s.request(http.MethodGet, "/stock"+path, id, http.NoBody)
			request.Header.Set("Authorization", key)
			request.Header.Set("marigoldwinch-organisation", "forged")
			s.Expect(s.send(s.client("callers"), s.nodes[0], request).status).To(Equal(http.StatusOK))
			return id
		}
		put := func(key string) {
			text := fmt.Sprintf("[organisation ann]\nname = Ann\nkey-digests = %s\n", config.DigestKey(key))
			_, err := s.writer("anna").Add(t.Context(), []files.File{{Name: "50-ann.ini", Content: text}}, change.Options{})
			s.Expect(err).NotTo(HaveOccurred())
			time.Sleep(inForceBound)
		}
		id := send("/1", key)
		s.Expect(seen.header(id, "Authorization")).To(Equal([]string{key}))
		s.Expect(seen.header(id, "Marigoldwinch-Organisation")).To(Equal([]string{"forged"}))
		put("key-1")
		for _, path := range []string{"/2", "/outer"} {
			id = send(path, key)
			s.Expect(seen.header(id, "Authorization")).To(BeEmpty())
			s.Expect(seen.header(id, "Marigoldwinch-Organisation")).To(Equal([]string{"Ann"}))
		}
		s.Expect(seen.header(id+"-inner", ident.ContextHeader)).NotTo(BeEmpty())
		s.Expect(seen.header(id+"-inner", "Marigoldwinch-Organisation")).To(BeEmpty())
		put("key-2")
		for bearer, organisation := range map[string][]string{key: nil, other: {"Ann"}} {
			id = send("/3", bearer)
			s.Expect(seen.header(id, "Authorization")).To(BeEmpty())
			s.Expect(seen.header(id, "Marigoldwinch-Organisation")).To(Equal(organisation))
		}
		s.Expect(s.metrics(s.nodes[0])).To(ContainElement(`marigoldwinch_organisation_requests_total{organisation="Ann"} 3`))
		response, err := s.client(s.nodes[0].host).Get("http://" + s.nodes[0].settings.Admin.String() + "/dump/configuration")
		s.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		dumped, err := io.ReadAll(response.Body)
		s.Expect(err).NotTo(HaveOccurred())
		digest := config.DigestKey("key-2")
		s.Expect(string(dumped)).To(And(ContainSubstring(digest.Short()), Not(ContainSubstring(digest.String()[:16]))))
	})
}
