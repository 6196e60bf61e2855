package coord

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
	"marigoldwinch.example/marigoldwinch/internal/roll/phase"
)

const rowKey = rowPrefix + "stock"

// rowRig is the access of one coordinator to the row, without the background.
type rowRig struct {
	*WithT
	platform   *fake.Platform
	row        *row
	background sync.WaitGroup
	counters   counters
}

func newRowRig(t *testing.T) *rowRig {
	r := &rowRig{WithT: NewWithT(t), platform: fake.NewPlatform(1)}
	r.row = &row{store: r.platform.Table, service: "stock", counters: &r.counters, background: &r.background}
	r.row.statusRow = func(service, target string, current phase.Phase) (string, []byte) {
		return "status/" + service, []byte(target + " " + current.String())
	}
	return r
}

func (r *rowRig) write(ordered *config.Rollout, next phase.Phase) result {
	got, err := r.row.write(context.Background(), *ordered, next)
	r.Expect(err).NotTo(HaveOccurred())
	return got
}

func (r *rowRig) value(key string) string {
	read, err := r.platform.Table.Get(context.Background(), key)
	r.Expect(err).NotTo(HaveOccurred())
	return string(read.Value)
}

// Guards against a phase that moves back, a completed roll-out that is rolled back, and an order that replaces a later one.
func TestRowOnlyMovesForward(t *testing.T) {
	r := newRowRig(t)
	r.Expect(r.write(order(1), phase.Trial)).To(Equal(result{reached: true, found: true, phase: phase.Trial, created: true}))
	r.Expect(r.value(rowKey)).To(MatchJSON(`{"service":"stock","order":1,"target":"r2","phase":"trial"}`))
	r.Expect(r.value("status/stock")).To(Equal("r2 trial"))
	r.Expect(r.write(order(1), phase.Switching).phase).To(Equal(phase.Switching))
	r.Expect(r.write(order(1), phase.Trial).phase).To(Equal(phase.Switching))
	r.Expect(r.write(order(1), phase.Completed).phase).To(Equal(phase.Completed))
	r.Expect(r.write(order(1), phase.RolledBack).phase).To(Equal(phase.Completed))
	r.Expect(r.value("status/stock")).To(Equal("r2 completed"))
	r.Expect(r.write(order(2), phase.Trial)).To(Equal(result{reached: true, found: true, phase: phase.Trial, created: true}))
	r.Expect(r.write(order(1), phase.RolledBack)).To(Equal(result{reached: true, superseded: true}))
	r.Expect(r.value("status/stock")).To(Equal("r2 trial"))
}

// Guards against an order that was lost by the table, has the higher number, and keeps a later one from its roll-out for good.
func TestOrderOfALaterEraReplacesALostOne(t *testing.T) {
	r := newRowRig(t)
	r.row.era = 1
	r.write(order(50), phase.Switching)
	r.row.era = 2
	r.Expect(r.write(order(49), phase.Trial)).To(Equal(result{reached: true, found: true, phase: phase.Trial, created: true}))
	r.row.era = 1
	r.Expect(r.write(order(50), phase.Switching)).To(Equal(result{reached: true, superseded: true}))
}

// Guards against a write that took effect and is taken for lost, and against the reverse.
func TestLostResponseIsReadBack(t *testing.T) {
	r := newRowRig(t)
	r.platform.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Kind: fake.Write, Count: 1}})
	r.Expect(r.write(order(1), phase.Trial).phase).To(Equal(phase.Trial))
	r.platform.Faults.Inject(fake.Down{Scope: fake.Scope{Kind: fake.Write, Count: 1}})
	_, err := r.row.write(context.Background(), *order(1), phase.Switching)
	r.Expect(err).To(HaveOccurred())
	r.Expect(r.write(order(1), phase.Trial).phase).To(Equal(phase.Trial))
}

// racingStore lets another coordinator write between the read and the write of this one.
type racingStore struct {
	table.Store
	before func()
}

// Commit implements table.Store.
func (s *racingStore) Commit(ctx context.Context, txn table.Txn) error {
	if before := s.before; before != nil {
		s.before = nil
		before()
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against two coordinators that both write, of which the second one would complete what the first one has rolled back.
func TestRacingWritesAreDecidedByTheRow(t *testing.T) {
	r := newRowRig(t)
	r.write(order(1), phase.Switching)
	other := row{store: r.platform.Table, service: "stock", statusRow: r.row.statusRow, counters: &r.counters}
	r.row.store = &racingStore{Store: r.platform.Table, before: func() {
		_, err := other.write(context.Background(), *order(1), phase.RolledBack)
		r.Expect(err).NotTo(HaveOccurred())
	}}
	r.Expect(r.write(order(1), phase.Completed).phase).To(Equal(phase.RolledBack))
	r.Expect(r.value("status/stock")).To(Equal("r2 rolled-back"))
}

// Guards against a coordinator that blocks while the table is slow, and against more than one access at a time.
func TestRowIsAccessedInTheBackground(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRowRig(t)
		r.platform.Faults.Inject(fake.Slow{Delay: 400 * time.Millisecond})
		r.row.advance(t.Context(), *order(1), phase.Trial)
		r.row.advance(t.Context(), *order(1), phase.RolledBack)
		_, fresh := r.row.take()
		r.Expect(fresh).To(BeFalse())
		r.background.Wait()
		got, fresh := r.row.take()
		r.Expect(fresh).To(BeTrue())
		r.Expect(got.phase).To(Equal(phase.Trial))
		r.Expect(r.row.reachedWithin(time.Now(), time.Second)).To(BeTrue())
	})
}
