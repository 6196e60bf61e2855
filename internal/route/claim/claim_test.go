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

// fakeStore is a table.Store with injected faults.
type fakeStore struct {
	mu           sync.Mutex
	rows         map[string]table.Row
	version      int
	commitFaults []string // of the next commits: down, lost (applied, but no response), dropped (not applied, no response)
	down         bool     // reads fail
	ranges       int      // number of reads of several rows
}

func (s *fakeStore) fail(commits ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitFaults = commits
}

var errDown = code.NotRunf(code.PlatformUnavailable, "down")

func (s *fakeStore) Get(_ context.Context, key string) (table.Row, error) {
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

func (s *fakeStore) Range(_ context.Context, prefix, after string, _ int) (rows []table.Row, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranges++
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (s *fakeStore) Commit(_ context.Context, txn table.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := ""
	if len(s.commitFaults) > 0 {
		fault, s.commitFaults = s.commitFaults[0], s.commitFaults[1:]
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

func newClaim(seq uint64) Claim {
	return Claim{Service: "orders", Key: "k", Fingerprint: 1, ID: ident.RequestID{Router: 1, Seq: seq}, Retention: time.Hour}
}

func take(c *Claims, claim Claim) string {
	result, err := c.Take(context.Background(), claim)
	if err != nil {
		return fmt.Sprintf("%s %s", code.Of(err).Code, code.Of(err).Outcome)
	}
	if result != nil {
		return fmt.Sprintf("stored %d %s %s", result.Status, result.Header.Get("Location"), result.Body)
	}
	return "claimed"
}

func withClaims(t *testing.T, check func(g *gomega.WithT, s *fakeStore, c, other *Claims)) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string]table.Row{}}
		check(gomega.NewWithT(t), s, &Claims{Store: s}, &Claims{Store: s})
		time.Sleep(time.Hour)
	})
}

// Guards at-most-once execution across daemons (invariant 6): a repeat does not run while the first request may be running,
// and later gets its result.
func TestRepeatDoesNotRun(t *testing.T) {
	withClaims(t, func(g *gomega.WithT, _ *fakeStore, c, other *Claims) {
		g.Expect(take(c, newClaim(1))).To(gomega.Equal("claimed"))
		g.Expect(take(other, newClaim(2))).To(gomega.Equal("already-claimed unknown"))
		c.Finish(newClaim(1), Result{Status: 201, Header: http.Header{"Location": {"/7"}}, Body: []byte("done")})
		time.Sleep(time.Second)
		g.Expect(take(other, newClaim(2))).To(gomega.Equal("stored 201 /7 done"))
		different := newClaim(3)
		different.Fingerprint = 2
		g.Expect(take(other, different)).To(gomega.Equal("bad-request not-run"), "key reused for a different request")
		time.Sleep(time.Hour)
		g.Expect(take(other, newClaim(4))).To(gomega.Equal("claimed"), "claim after the end of the retention")
	})
}

// Guards the handling of lost write responses: the key is claimed if the row read back holds the ID of the request, and the
// write is retried if it had no effect.
func TestLostWriteResponses(t *testing.T) {
	withClaims(t, func(g *gomega.WithT, s *fakeStore, c, other *Claims) {
		s.fail("lost")
		g.Expect(take(c, newClaim(1))).To(gomega.Equal("claimed"))
		g.Expect(take(other, newClaim(2))).To(gomega.Equal("already-claimed unknown"))
		c.Release(newClaim(1))
		time.Sleep(time.Second)
		s.fail("dropped", "down")
		g.Expect(take(other, newClaim(3))).To(gomega.Equal("claimed"))
	})
}

// Guards the case that a claim's write cannot be confirmed by reading it back: the request does not run, a repeat through
// the same daemon takes the claim over, and a repeat through another daemon does so once the release has reached the table.
func TestClaimIsReleasedWhenReadBackFails(t *testing.T) {
	withClaims(t, func(g *gomega.WithT, s *fakeStore, c, other *Claims) {
		g.Expect(take(c, newClaim(1))).To(gomega.Equal("claimed"))
		c.Release(newClaim(1))
		time.Sleep(time.Second)
		s.fail("lost")
		broken := &Claims{Store: &unreadableStore{fakeStore: s}}
		g.Expect(take(broken, newClaim(2))).To(gomega.Equal("claim-unavailable not-run"))
		g.Expect(s.rows).To(gomega.HaveLen(1))
		broken.Store.(*unreadableStore).healed.Store(true)
		g.Expect(take(broken, newClaim(3))).To(gomega.Equal("claimed"), "repeat through the same daemon")
		broken.Release(newClaim(3))
		time.Sleep(time.Minute)
		g.Expect(take(other, newClaim(4))).To(gomega.Equal("claimed"), "repeat through another daemon after the release")
	})
}

// Guards that no request runs while the table service is unreachable, and that the sweep removes only expired claims.
func TestTableUnavailableAndSweep(t *testing.T) {
	withClaims(t, func(g *gomega.WithT, s *fakeStore, c, _ *Claims) {
		s.down = true
		g.Expect(take(c, newClaim(1))).To(gomega.Equal("claim-unavailable not-run"))
		s.down = false
		g.Expect(take(c, newClaim(2))).To(gomega.Equal("claimed"))
		unexpired := newClaim(3)
		unexpired.Key, unexpired.Retention = "late", 48*time.Hour
		g.Expect(take(c, unexpired)).To(gomega.Equal("claimed"))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Hour)
		defer cancel()
		g.Expect(c.Run(ctx)).To(gomega.Succeed())
		g.Expect(s.rows).To(gomega.HaveLen(1))
		g.Expect(s.rows).To(gomega.HaveKey(unexpired.rowKey()))
	})
}

// Guards against reads of the store by every daemon for a feature that no service uses.
func TestUnusedClaimsAreHardlySwept(t *testing.T) {
	withClaims(t, func(g *gomega.WithT, s *fakeStore, c, _ *Claims) {
		c.Daemons, c.InUse = func() int { return 300 }, func() bool { return false }
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		g.Expect(c.Run(ctx)).To(gomega.Succeed())
		g.Expect(s.ranges).To(gomega.BeNumerically("<=", 2), "one in 3,000 of 60 looks")
		began := time.Now()
		c.InUse = func() bool { return time.Since(began) > 10*time.Minute }
		ctx, cancel = context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		g.Expect(c.Run(ctx)).To(gomega.Succeed())
		g.Expect(s.ranges).To(gomega.BeNumerically(">", 20))
	})
}

// unreadableStore fails reads until healed is set.
type unreadableStore struct {
	*fakeStore
	healed atomic.Bool
}

func (u *unreadableStore) Get(ctx context.Context, key string) (table.Row, error) {
	if !u.healed.Load() {
		return table.Row{}, errDown
	}
	return u.fakeStore.Get(ctx, key)
}
