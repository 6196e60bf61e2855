package change_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

var _ = ginkgo.Describe("lost responses and outages", func() {
	// Guards against reporting a failure for a change that was applied, and against applying a change twice.
	ginkgo.It("reports a change as accepted when only the response was lost", func() {
		p := fake.NewPlatform(1)
		p.Faults.Inject(fake.LoseResponse{Scope: fake.Scope{Target: fake.Rows, Count: 1}})
		result, err := add(writer(p, "ann"), 0, "a.ini", owner("a", "x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Revision).To(Equal(uint64(1)))
		changes, err := reader(p).Changes(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].ID).To(Equal(result.ID))
	})

	ginkgo.It("changes nothing and returns platform-unavailable while the platform is down", func() {
		p := fake.NewPlatform(1)
		p.Faults.Inject(fake.Down{Scope: fake.Scope{Kind: fake.Write}})
		_, err := add(writer(p, "ann"), 0, "a.ini", owner("a", "x"))
		Expect(code.Of(err).Code).To(Equal(code.PlatformUnavailable))
		Expect(code.Of(err).Outcome).To(Equal(code.NotRun))
		p.Faults.Clear()
		head, err := reader(p).ReadHead(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Revision).To(BeZero())
	})

	// Guards against applying a delayed transaction after the writer has sent it again.
	ginkgo.It("sends the same transaction again when the head has not changed", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		store := &heldStore{Store: p.Table}
		ann.Store = store
		result, err := add(ann, 0, "a.ini", owner("a", "x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Revision).To(Equal(uint64(1)))
		Expect(code.Of(p.Table.Commit(ctx, store.held)).Code).To(Equal(code.ChangeConflict), "the delayed transaction is refused")
		head, err := reader(p).ReadHead(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Revision).To(Equal(uint64(1)))
	})
})

// heldStore answers the first transaction with an unknown outcome without applying it, and keeps it for the test.
type heldStore struct {
	table.Store
	held  table.Txn
	first bool
}

func (s *heldStore) Commit(ctx context.Context, txn table.Txn) error {
	if !s.first {
		s.first, s.held = true, txn
		return code.Unknownf(code.PlatformUnavailable, "transaction not applied yet")
	}
	Expect(txn).To(Equal(s.held))
	return s.Store.Commit(ctx, txn)
}
