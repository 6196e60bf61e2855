package change_test

import (
	"context"
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

var _ = ginkgo.Describe("history", func() {
	// Guards against a log that grows without limit, trimming of a row that a reader still needs, and wrong content for an
	// old revision.
	ginkgo.It("retains snapshots, trims the log before them, and shows every revision that they still cover", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		last := (change.SnapshotsKept+2)*change.SnapshotInterval + 5
		p.Faults.Inject(fake.Down{Scope: fake.Scope{Target: fake.Objects, Kind: fake.Write, Count: 3}})
		for i := 1; i <= last; i++ {
			_, err := add(ann, 0, "a.ini", owner("a", fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
		}
		head, err := reader(p).ReadHead(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Snapshots).To(HaveLen(change.SnapshotsKept))
		oldest := head.Snapshots[0]
		Expect(oldest).To(Equal(uint64(3*change.SnapshotInterval+3)), "3 failed writes delayed the first snapshot by 3 changes")
		for _, revision := range []uint64{oldest, oldest + 1, oldest + 64, uint64(last)} {
			set, err := ann.Show(ctx, revision)
			Expect(err).NotTo(HaveOccurred())
			Expect(set).To(Equal(files.Set{Revision: revision, Files: file("a.ini", owner("a", fmt.Sprint(revision)))}))
		}
		for _, revision := range []uint64{1, oldest - 1, uint64(last) + 1} {
			_, err = ann.Show(ctx, revision)
			Expect(code.Of(err).Code).To(Equal(code.NotFound), "revision %d", revision)
		}
		rows, err := p.Table.Range(ctx, "config/log/", "", 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(last - int(oldest)))

		_, err = reader(p).Changes(ctx, 0)
		Expect(code.Of(err).Code).To(Equal(code.NotFound))
		changes, err := reader(p).Changes(ctx, uint64(last-2))
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(HaveLen(2))
		history, err := ann.History(ctx, 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(3))
		history, err = ann.History(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(last - int(oldest)))

		p.Faults.Inject(fake.Down{Scope: fake.Scope{Target: fake.Objects}})
		set, err := reader(p).Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred(), "the file rows are read instead of the object store")
		Expect(set.Revision).To(Equal(uint64(last)))
		_, err = add(ann, 0, "b.ini", owner("b", "x"))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a folder that is truncated at the end of a page.
	ginkgo.It("works when the folder and one change are larger than a page", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		var folder []files.File
		for i := range 300 {
			folder = append(folder, files.File{Name: fmt.Sprintf("f%03d.ini", i), Content: owner(fmt.Sprintf("s%d", i), "x")})
		}
		for i := range 40 {
			folder[i].Content += strings.Repeat("#\n", 30<<10)
		}
		result, err := ann.Push(ctx, folder, change.Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Put).To(HaveLen(300))
		for _, fault := range []fake.Fault{fake.Slow{}, fake.Down{Scope: fake.Scope{Target: fake.Objects}}} {
			p.Faults.Inject(fault)
			set, err := reader(p).Snapshot(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(set).To(Equal(files.Set{Revision: 1, Files: folder}))
		}
	})
})

var _ = ginkgo.Describe("file rows read instead of a snapshot", func() {
	// Guards against a folder that is truncated at the end of a page, and against one that mixes files of two revisions.
	ginkgo.It("are read in many pages, and again when the head changes meanwhile", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		var folder []files.File
		for i := range 600 {
			folder = append(folder, files.File{Name: fmt.Sprintf("f%03d.ini", i), Content: owner(fmt.Sprintf("s%d", i), "x")})
		}
		for i := range change.SnapshotInterval {
			_, err := add(ann, 0, "g.ini", owner("g", fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := ann.Push(ctx, append(folder, file("g.ini", owner("g", "x"))...), change.Options{})
		Expect(err).NotTo(HaveOccurred())
		head, err := reader(p).ReadHead(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Snapshots).NotTo(BeEmpty())
		before, err := ann.Show(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		p.Faults.Inject(fake.Down{Scope: fake.Scope{Target: fake.Objects}})
		set, err := reader(p).Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(set).To(Equal(before))

		interrupted := reader(p)
		interrupted.Store = &racingStore{Store: p.Table, change: func() {
			both := append(file("f000.ini", owner("s0", "y")), file("f599.ini", owner("s599", "y"))...)
			_, err := ann.Add(ctx, both, change.Options{})
			Expect(err).NotTo(HaveOccurred())
		}}
		set, err = interrupted.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		after, err := reader(p).Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Revision).To(Equal(before.Revision + 1))
		Expect(set).To(Equal(after))
	})
})

// racingStore runs change after the first page of file rows has been read.
type racingStore struct {
	table.Store
	change func()
}

func (s *racingStore) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	rows, err := s.Store.Range(ctx, prefix, after, limit)
	if race := s.change; prefix == "config/file/" && race != nil {
		s.change = nil
		race()
	}
	return rows, err
}

var _ = ginkgo.Describe("the load on the platform", func() {
	// Guards against a cost per change that grows with the history, and a poll of the head that takes more than one read.
	ginkgo.It("is bounded per change, independent of the length of the history", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		const changes = 256
		for i := range changes {
			before := p.Faults.Counts()
			_, err := add(ann, 0, fmt.Sprintf("f-%d.ini", i%7), owner(fmt.Sprint("s", i%7), fmt.Sprint(i)))
			Expect(err).NotTo(HaveOccurred())
			after := p.Faults.Counts()
			Expect(after.TableWrites - before.TableWrites).To(Equal(1))
			Expect(after.TableReads - before.TableReads).To(BeNumerically("<=", 3))
			Expect(after.ObjectReads - before.ObjectReads).To(BeNumerically("<=", 1))
			Expect(after.ObjectWrites - before.ObjectWrites).To(BeNumerically("<=", 1))
		}
		total := p.Faults.Counts()
		ginkgo.GinkgoWriter.Printf("%d changes: %+v\n", changes, total)
		before := p.Faults.Counts().TableReads
		_, err := reader(p).ReadHead(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Faults.Counts().TableReads - before).To(Equal(1))
		before = p.Faults.Counts().TableReads
		_, err = reader(p).Changes(ctx, changes-3)
		Expect(err).NotTo(HaveOccurred())
		ginkgo.GinkgoWriter.Printf("3 changes read back: %d reads\n", p.Faults.Counts().TableReads-before)
	})
})
