package claim

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// store is a table whose next commits and reads can be made to fail.
type store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	version int
	commits []string // faults of the next commits: down, lost (applied, response lost), dropped (not applied, unknown)
	down    bool     // reads fail
}

func (s *store) fail(commits ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits = commits
}

var errDown = code.NotRunf(code.PlatformUnavailable, "down")

func (s *store) Get(_ context.Context, key string) (table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.Row{}, errDown
	}
	if row, ok := s.rows[key]; ok {
		return row, nil
	}
	return table.Row{}, code.NotRunf(code.NotFound, "no row %s", key)
}

func (s *store) Range(_ context.Context, prefix, after string, _ int) (rows []table.Row, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (s *store) Commit(_ context.Context, txn table.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := ""
	if len(s.commits) > 0 {
		fault, s.commits = s.commits[0], s.commits[1:]
	}
	switch {
	case fault == "down" || s.down:
		return errDown
	case fault == "dropped":
		return code.Unknownf(code.PlatformUnavailable, "no response")
	}
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return code.NotRunf(code.ChangeConflict, "row %s changed", c.Key)
		}
	}
	for _, p := range txn.Puts {
		s.version++
		s.rows[p.Key] = table.Row{Key: p.Key, Value: p.Value, Version: strconv.Itoa(s.version)}
	}
	for _, key := range txn.Deletes {
		delete(s.rows, key)
	}
	if fault == "lost" {
		return code.Unknownf(code.PlatformUnavailable, "no response")
	}
	return nil
}

func ask(seq uint64) Claim {
	return Claim{Service: "orders", Key: "k", Fingerprint: 1, ID: ident.RequestID{Router: 1, Seq: seq}, Retention: time.Hour}
}

func take(c *Claims, a Claim) string {
	result, err := c.Take(context.Background(), a)
	if err != nil {
		return fmt.Sprintf("%s %s", code.Of(err).Code, code.Of(err).Outcome)
	}
	if result != nil {
		return fmt.Sprintf("stored %d %s %s", result.Status, result.Header.Get("Location"), result.Body)
	}
	return "claimed"
}

func inBubble(t *testing.T, check func(g *gomega.WithT, s *store, c, other *Claims)) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{rows: map[string]table.Row{}}
		check(gomega.NewWithT(t), s, &Claims{Store: s}, &Claims{Store: s})
		time.Sleep(time.Hour)
	})
}

// Guards invariant 6 across daemons: a repeat never runs while the first request may run, and gets its result later.
func TestRepeatDoesNotRun(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, _ *store, c, other *Claims) {
		g.Expect(take(c, ask(1))).To(gomega.Equal("claimed"))
		g.Expect(take(other, ask(2))).To(gomega.Equal("already-claimed unknown"))
		c.Finish(ask(1), Result{Status: 201, Header: http.Header{"Location": {"/7"}}, Body: []byte("done")})
		time.Sleep(time.Second)
		g.Expect(take(other, ask(2))).To(gomega.Equal("stored 201 /7 done"))
		different := ask(3)
		different.Fingerprint = 2
		g.Expect(take(other, different)).To(gomega.Equal("bad-request not-run"), "the result of another request")
		time.Sleep(time.Hour)
		g.Expect(take(other, ask(4))).To(gomega.Equal("claimed"), "the retention has ended")
	})
}

// Guards lost write responses: the own id read back means claimed, whether the write took effect at once or not.
func TestLostWriteResponses(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, s *store, c, other *Claims) {
		s.fail("lost")
		g.Expect(take(c, ask(1))).To(gomega.Equal("claimed"))
		g.Expect(take(other, ask(2))).To(gomega.Equal("already-claimed unknown"))
		c.Release(ask(1))
		time.Sleep(time.Second)
		s.fail("dropped", "down")
		g.Expect(take(other, ask(3))).To(gomega.Equal("claimed"))
	})
}

// Guards a claim whose write cannot be read back: it does not run, a repeat through the same daemon takes it over, and
// one through another daemon does once the release has reached the table.
func TestClaimIsReleasedWhenReadBackFails(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, s *store, c, other *Claims) {
		g.Expect(take(c, ask(1))).To(gomega.Equal("claimed"))
		c.Release(ask(1))
		time.Sleep(time.Second)
		s.fail("lost")
		broken := &Claims{Store: &unreadable{store: s}}
		g.Expect(take(broken, ask(2))).To(gomega.Equal("claim-unavailable not-run"))
		g.Expect(s.rows).To(gomega.HaveLen(1))
		broken.Store.(*unreadable).healed.Store(true)
		g.Expect(take(broken, ask(3))).To(gomega.Equal("claimed"), "the same daemon")
		broken.Release(ask(3))
		time.Sleep(time.Minute)
		g.Expect(take(other, ask(4))).To(gomega.Equal("claimed"), "another daemon after the release")
	})
}

// Guards an unreachable table (nothing runs), and that the sweep removes expired claims and no others.
func TestTableUnavailableAndSweep(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, s *store, c, _ *Claims) {
		s.down = true
		g.Expect(take(c, ask(1))).To(gomega.Equal("claim-unavailable not-run"))
		s.down = false
		g.Expect(take(c, ask(2))).To(gomega.Equal("claimed"))
		late := ask(3)
		late.Key, late.Retention = "late", 48*time.Hour
		g.Expect(take(c, late)).To(gomega.Equal("claimed"))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Hour)
		defer cancel()
		g.Expect(c.Run(ctx)).To(gomega.Succeed())
		g.Expect(s.rows).To(gomega.HaveLen(1))
		g.Expect(s.rows).To(gomega.HaveKey(late.row()))
	})
}

// unreadable fails reads until it is healed.
type unreadable struct {
	*store
	healed atomic.Bool
}

func (u *unreadable) Get(ctx context.Context, key string) (table.Row, error) {
	if !u.healed.Load() {
		return table.Row{}, errDown
	}
	return u.store.Get(ctx, key)
}
