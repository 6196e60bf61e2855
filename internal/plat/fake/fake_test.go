package fake_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/object"
	"marigoldwinch.example/marigoldwinch/internal/plat/rest"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

func TestFake(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fake")
}

type fixture struct {
	platform *fake.Platform
	rows     *table.HTTP
	objects  *object.HTTP
	url      string
}

func start() fixture {
	platform := fake.NewPlatform(1)
	server := httptest.NewServer((&fake.Server{Platform: platform}).Handler())
	ginkgo.DeferCleanup(server.Close)
	client := rest.Client{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), HTTP: server.Client(), Timeout: 5 * time.Second}
	return fixture{platform: platform, rows: &table.HTTP{Client: client}, objects: &object.HTTP{Client: client}, url: server.URL}
}

func codeAndOutcome(err error) (code.Code, code.Outcome) {
	return code.Of(err).Code, code.Of(err).Outcome
}

func put(key, value string) table.Put {
	return table.Put{Key: key, Value: []byte(value)}
}

var ctx = context.Background()

// tableSpecs registers the specs that both the in-memory table and the HTTP adapter must pass.
func tableSpecs(store func(fixture) table.Store) {
	var s fixture
	var rows table.Store
	ginkgo.BeforeEach(func() {
		s = start()
		rows = store(s)
	})

	// Guards against lost updates: of two writes on the same version, only one may succeed.
	ginkgo.It("applies a conditional write once", func() {
		absent := []table.Condition{{Key: "a b/c?%"}}
		Expect(rows.Commit(ctx, table.Txn{Conditions: absent, Puts: []table.Put{put("a b/c?%", "1")}})).To(Succeed())
		failure, _ := codeAndOutcome(rows.Commit(ctx, table.Txn{Conditions: absent, Puts: []table.Put{put("a b/c?%", "2")}}))
		Expect(failure).To(Equal(code.ChangeConflict))
		row, err := rows.Get(ctx, "a b/c?%")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(row.Value)).To(Equal("1"))
		same := []table.Condition{{Key: row.Key, Version: row.Version}}
		Expect(rows.Commit(ctx, table.Txn{Conditions: same, Puts: []table.Put{put(row.Key, "1")}})).To(Succeed())
		err = rows.Commit(ctx, table.Txn{Conditions: same, Puts: []table.Put{put(row.Key, "3")}})
		Expect(code.Of(err).Code).To(Equal(code.ChangeConflict))
		Expect(code.Of(err).Outcome).To(Equal(code.NotRun))
	})

	// Guards against transactions that are applied in part.
	ginkgo.It("applies transactions atomically", func() {
		Expect(rows.Commit(ctx, table.Txn{Puts: []table.Put{put("a", "1"), put("b", "1"), put("c", "1")}})).To(Succeed())
		failing := table.Txn{
			Conditions: []table.Condition{{Key: "a", Version: "none"}},
			Puts:       []table.Put{put("b", "2")},
			Deletes:    []string{"c"},
		}
		Expect(code.Of(rows.Commit(ctx, failing)).Code).To(Equal(code.ChangeConflict))
		found, err := rows.Range(ctx, "", "", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(HaveLen(3))
		failing.Conditions = nil
		Expect(rows.Commit(ctx, failing)).To(Succeed())
		_, err = rows.Get(ctx, "c")
		Expect(code.Of(err).Code).To(Equal(code.NotFound))
	})

	// Guards against rows lost between pages, also when a page ends at its limit in bytes.
	ginkgo.It("reads every row of a range over many pages", func() {
		big := bytes.Repeat([]byte("x"), fake.MaxPageBytes/2)
		for i := range 10 {
			Expect(rows.Commit(ctx, table.Txn{Puts: []table.Put{{Key: fmt.Sprintf("p/%02d", i), Value: big}, put(fmt.Sprintf("q/%d", i), "")}})).
				To(Succeed())
		}
		var keys []string
		pages := 0
		for after := ""; ; pages++ {
			page, err := rows.Range(ctx, "p/", after, 4)
			Expect(err).NotTo(HaveOccurred())
			if len(page) == 0 {
				break
			}
			for _, row := range page {
				keys = append(keys, row.Key)
			}
			after = keys[len(keys)-1]
		}
		Expect(keys).To(HaveLen(10))
		Expect(keys).To(HaveExactElements("p/00", "p/01", "p/02", "p/03", "p/04", "p/05", "p/06", "p/07", "p/08", "p/09"))
		Expect(pages).To(Equal(5), "two rows reach the limit of a page in bytes")
	})

	// Guards against a wrong outcome of a write: not-run only if it certainly was not applied, otherwise unknown.
	ginkgo.It("reports the outcome of failed operations", func() {
		s.platform.Faults.Inject(fake.Down{Scope: fake.Scope{Count: 2}})
		txn := table.Txn{Puts: []table.Put{put("a", "1"), put("b", "1")}}
		failure, outcome := codeAndOutcome(rows.Commit(ctx, txn))
		Expect(failure).To(Equal(code.PlatformUnavailable))
		Expect(outcome).To(Equal(code.NotRun))
		_, err := rows.Get(ctx, "a")
		Expect(code.Of(err).Code).To(Equal(code.PlatformUnavailable))
		Expect(code.Of(err).Outcome).To(Equal(code.NotRun))
		_, err = rows.Get(ctx, "a")
		Expect(code.Of(err).Code).To(Equal(code.NotFound))

		s.platform.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Count: 1}})
		failure, outcome = codeAndOutcome(rows.Commit(ctx, txn))
		Expect(failure).To(Equal(code.PlatformUnavailable))
		Expect(outcome).To(Equal(code.Unknown))
		row, err := rows.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(row.Value)).To(Equal("1"))
	})
}

var _ = ginkgo.Describe("the table in memory", func() {
	tableSpecs(func(s fixture) table.Store { return s.platform.Table })
})

var _ = ginkgo.Describe("the table over HTTP", func() {
	tableSpecs(func(s fixture) table.Store { return s.rows })

	// Guards against the outcome not-run for a write that is applied after its caller has cancelled it.
	ginkgo.It("returns an unknown outcome for a cancelled write, which is still applied", func() {
		platform := fake.NewPlatform(1)
		handler := (&fake.Server{Platform: platform}).Handler()
		arrived, released := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			close(arrived)
			<-released
			handler.ServeHTTP(w, r)
		}))
		defer server.Close()
		release := sync.OnceFunc(func() { close(released) })
		defer release() // so that a failed check does not block server.Close
		cancelable, cancel := context.WithCancel(ctx)
		go func() {
			<-arrived
			cancel()
		}()
		rows := &table.HTTP{Client: rest.Client{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Timeout: time.Minute}}
		failure, outcome := codeAndOutcome(rows.Commit(cancelable, table.Txn{Puts: []table.Put{put("a", "1"), put("b", "1")}}))
		Expect(failure).To(Equal(code.PlatformUnavailable))
		Expect(outcome).To(Equal(code.Unknown))
		release()
		Eventually(func() error { _, err := platform.Table.Get(ctx, "a"); return err }, "10s").Should(Succeed())
	})

	// Guards against an unknown outcome for a write that was never sent, and against a proxy's 503 taken as proof that it was not
	// applied.
	ginkgo.It("distinguishes a refused connection from a 503 without an outcome header", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := netip.MustParseAddrPort(listener.Addr().String())
		Expect(listener.Close()).To(Succeed())
		unreachable := &table.HTTP{Client: rest.Client{Address: address}}
		_, outcome := codeAndOutcome(unreachable.Commit(ctx, table.Txn{Puts: []table.Put{put("a", "1")}}))
		Expect(outcome).To(Equal(code.NotRun))

		proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		defer proxy.Close()
		proxied := &table.HTTP{Client: rest.Client{Address: netip.MustParseAddrPort(proxy.Listener.Addr().String())}}
		failure, outcome := codeAndOutcome(proxied.Commit(ctx, table.Txn{Puts: []table.Put{put("a", "1")}}))
		Expect(failure).To(Equal(code.PlatformUnavailable))
		Expect(outcome).To(Equal(code.Unknown))
	})

	// Guards against responses that use unlimited memory.
	ginkgo.It("rejects a response larger than MaxResponse", func() {
		s := start()
		Expect(s.rows.Commit(ctx, table.Txn{Puts: []table.Put{put("a", "0123456789")}})).To(Succeed())
		s.rows.Client.MaxResponse = 9
		_, err := s.rows.Get(ctx, "a")
		Expect(code.Of(err).Code).To(Equal(code.PlatformUnavailable))
	})
})

var _ = ginkgo.Describe("the object store over HTTP", func() {
	// Guards against an object assembled from parts of two versions, and against a range read that ends at the wrong byte.
	ginkgo.It("reads an object in parts of the same version", func() {
		s := start()
		for _, size := range []int{0, 1, 1 << 20, 1<<20 + 1, 5 << 19} {
			content := bytes.Repeat([]byte("abc"), size/3+1)[:size]
			Expect(s.objects.Put(ctx, "config/snapshot/1", content)).To(Succeed())
			read, err := s.objects.Get(ctx, "config/snapshot/1")
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(read, content)).To(BeTrue(), "size %d", size)
		}
		Expect(s.platform.Faults.Counts().ObjectReads).To(Equal(1 + 1 + 1 + 2 + 3))
		_, err := s.objects.Get(ctx, "nothing")
		Expect(code.Of(err).Code).To(Equal(code.NotFound))
	})

	ginkgo.It("restarts the read when the object is replaced between two parts", func() {
		platform := fake.NewPlatform(1)
		old, replacement := bytes.Repeat([]byte("o"), 3<<20), bytes.Repeat([]byte("n"), 3<<20)
		Expect(platform.Objects.Put(ctx, "x", old)).To(Succeed())
		handler := (&fake.Server{Platform: platform}).Handler()
		var once sync.Once
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("If-Match") != "" {
				once.Do(func() { _ = platform.Objects.Put(ctx, "x", replacement) })
			}
			handler.ServeHTTP(w, r)
		}))
		defer server.Close()
		objects := &object.HTTP{Client: rest.Client{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}}
		read, err := objects.Get(ctx, "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(read, replacement)).To(BeTrue())
	})
})

var _ = ginkgo.Describe("the control API", func() {
	// Guards against a fault that a test of another process cannot clear, or that affects the wrong operations.
	ginkgo.It("injects and clears faults", func() {
		s := start()
		for _, fault := range []fake.Fault{
			fake.Down{Scope: fake.Scope{Target: fake.Objects, Kind: fake.Read, Probability: 0.5}},
			fake.Slow{Scope: fake.Scope{Target: fake.Rows, Count: 3}, Delay: time.Millisecond},
			fake.LoseResponse{Scope: fake.Scope{Kind: fake.Write}},
		} {
			body, err := fake.EncodeFault(fault)
			Expect(err).NotTo(HaveOccurred())
			Expect(request(http.MethodPost, s.url+fake.FaultsPath, body)).To(Equal(http.StatusNoContent))
			active := s.platform.Faults.Active()
			Expect(active[len(active)-1]).To(Equal(fault))
		}
		Expect(request(http.MethodPost, s.url+fake.FaultsPath, []byte(`{"fault":"gone"}`))).To(Equal(http.StatusBadRequest))
		Expect(request(http.MethodPost, s.url+fake.FaultsPath, []byte(`{"fault":"down","probability":2}`))).To(Equal(http.StatusBadRequest))
		Expect(request(http.MethodDelete, s.url+fake.FaultsPath, nil)).To(Equal(http.StatusNoContent))
		Expect(s.platform.Faults.Active()).To(BeEmpty())
		Expect(request(http.MethodGet, s.url+fake.CountsPath, nil)).To(Equal(http.StatusOK))
	})
})

func request(method, url string, body []byte) int {
	built, err := http.NewRequest(method, url, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(built)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}
