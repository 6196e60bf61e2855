package change_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

func TestChange(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "change")
}

var ctx = context.Background()

func writer(p *fake.Platform, operator string) *change.Writer {
	return &change.Writer{Store: p.Table, Objects: p.Objects, Operator: operator, Log: logr.Discard()}
}

func reader(p *fake.Platform) *change.Reader {
	return &change.Reader{Store: p.Table, Objects: p.Objects, Log: logr.Discard()}
}

func file(name, content string) []files.File {
	return []files.File{{Name: name, Content: content}}
}

func add(w *change.Writer, base uint64, name, content string) (change.Result, error) {
	return w.Add(ctx, file(name, content), change.Options{Base: base})
}

func owner(service, name string) string {
	return fmt.Sprintf("[service %s]\nowner = %s\n", service, name)
}

func zone(p *fake.Platform, name string) (state config.ZoneState, origin string) {
	set, err := reader(p).Snapshot(ctx)
	Expect(err).NotTo(HaveOccurred())
	merged, err := files.Merge(set)
	Expect(err).NotTo(HaveOccurred())
	return merged.Config.Zones[name], merged.Keys[files.ID{Section: files.ZoneSection, Name: name, Key: "state"}].File
}

var _ = ginkgo.Describe("racing operators", func() {
	// Guards against a change that silently undoes another operator's.
	ginkgo.It("refuses the same key with another value and names the other's file, key and operator", func() {
		p := fake.NewPlatform(1)
		ann, bob := writer(p, "ann"), writer(p, "bob")
		_, err := add(ann, 0, "base.ini", owner("a", "x")+owner("b", "x"))
		Expect(err).NotTo(HaveOccurred())
		_, err = add(bob, 1, "10-bob.ini", "[service a]\nslots = 5\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = add(ann, 1, "20-ann.ini", "[service a]\nslots = 7\nqueue = 3\n")
		Expect(code.Of(err).Code).To(Equal(code.ChangeConflict))
		Expect(code.Of(err).Outcome).To(Equal(code.NotRun))
		Expect(err.Error()).To(ContainSubstring("[service a] slots was changed by file 10-bob.ini of bob in revision 2"))

		_, err = add(ann, 1, "00-ann.ini", "[service a]\nslots = 7\nqueue = 3\n")
		Expect(code.Of(err).Code).To(Equal(code.ChangeConflict), "the earlier name would have no effect on slots")

		_, err = add(ann, 1, "10-bob.ini", "[service a]\nqueue = 3\n")
		Expect(code.Of(err).Code).To(Equal(code.ChangeConflict), "the same file")
		Expect(err.Error()).To(ContainSubstring("file 10-bob.ini was changed"))

		_, err = add(bob, 1, "base.ini", owner("a", "y"))
		Expect(err).NotTo(HaveOccurred())
		_, err = ann.Remove(ctx, []string{"base.ini"}, change.Options{Base: 2})
		Expect(code.Of(err).Code).To(Equal(code.ChangeConflict), "a file that the other has changed")

		result, err := add(ann, 1, "20-ann.ini", "[service a]\nslots = 5\nqueue = 3\n")
		Expect(err).NotTo(HaveOccurred(), "the same value is no conflict")
		Expect(result.Revision).To(Equal(uint64(4)))
	})

	// Guards against changes accepted without effect.
	ginkgo.It("refuses a file whose keys are all overridden", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		_, err := add(ann, 0, "50.ini", owner("a", "x"))
		Expect(err).NotTo(HaveOccurred())
		_, err = add(ann, 0, "40.ini", owner("a", "y"))
		Expect(code.Of(err).Code).To(Equal(code.ChangeOverridden))
		Expect(err.Error()).To(ContainSubstring("50.ini"))
		_, err = add(ann, 0, "40.ini", owner("a", "y")+"slots = 3\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = add(ann, 0, "60.ini", "[service a]\nslots = 4\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = add(ann, 0, "40.ini", owner("a", "y")+"slots = 3\n")
		Expect(code.Of(err).Code).To(Equal(code.ChangeOverridden), "nothing to write, but not in force")
		_, err = ann.Push(ctx, append(file("40.ini", owner("a", "y")+"slots = 3\n"), append(file("50.ini", owner("a", "x")),
			file("60.ini", "[service a]\nslots = 5\n")...)...), change.Options{})
		Expect(err).NotTo(HaveOccurred(), "a push does not concern the files that it leaves as they are")
	})

	// Guards against an invalid configuration in force, and a dry run that writes.
	ginkgo.It("writes nothing for an invalid change or a dry run", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		_, err := add(ann, 0, "a.ini", "[service a]\nslots = 0\n")
		Expect(code.Of(err).Code).To(Equal(code.InvalidConfig))
		Expect(files.Problems(err)[0].Line).To(Equal(2))
		result, err := ann.Add(ctx, file("a.ini", owner("a", "x")), change.Options{DryRun: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Effects).To(HaveLen(1))
		Expect(p.Faults.Counts().TableWrites).To(BeZero())
		_, err = ann.Remove(ctx, []string{"none.ini"}, change.Options{})
		Expect(code.Of(err).Code).To(Equal(code.NotFound))
		_, err = add(writer(p, ""), 0, "a.ini", owner("a", "x"))
		Expect(code.Of(err).Code).To(Equal(code.BadRequest))
	})
})

var _ = ginkgo.Describe("lost responses and outages", func() {
	// Guards against a false statement when the write was applied, and against the same change made twice.
	ginkgo.It("finds its change as accepted after a lost response", func() {
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

	ginkgo.It("changes nothing and says so while the platform is down", func() {
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

	// Guards against a change whose lost transaction arrives after a later one of the same writer.
	ginkgo.It("resends the same transaction when the head has not moved", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		late := &lateStore{Store: p.Table}
		ann.Store = late
		result, err := add(ann, 0, "a.ini", owner("a", "x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Revision).To(Equal(uint64(1)))
		Expect(code.Of(p.Table.Commit(ctx, late.held)).Code).To(Equal(code.ChangeConflict), "the late one is refused")
		head, err := reader(p).ReadHead(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Revision).To(Equal(uint64(1)))
	})
})

// lateStore holds the first transaction back and answers it with an unknown outcome.
type lateStore struct {
	table.Store
	held  table.Txn
	first bool
}

func (s *lateStore) Commit(ctx context.Context, txn table.Txn) error {
	if !s.first {
		s.first, s.held = true, txn
		return code.Unknownf(code.PlatformUnavailable, "held back")
	}
	Expect(txn).To(Equal(s.held))
	return s.Store.Commit(ctx, txn)
}

var _ = ginkgo.Describe("history", func() {
	// Guards against a log that grows without bound, a trimmed row that a reader still needs, and a wrong old revision.
	ginkgo.It("keeps snapshots, trims the log they cover, and shows every revision it covers", func() {
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
		Expect(oldest).To(Equal(uint64(3*change.SnapshotInterval+3)), "the first snapshot came 3 changes late")
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
		Expect(err).NotTo(HaveOccurred(), "the file rows replace the object store")
		Expect(set.Revision).To(Equal(uint64(last)))
		_, err = add(ann, 0, "b.ini", owner("b", "x"))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a folder cut off at the end of a page.
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

var _ = ginkgo.Describe("the file rows, read in place of a snapshot", func() {
	// Guards against a folder cut off at the end of a page, and against one with files of two revisions.
	ginkgo.It("are read over many pages, again when the head moves between them", func() {
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

		moving := reader(p)
		moving.Store = &movingStore{Store: p.Table, move: func() {
			both := append(file("f000.ini", owner("s0", "y")), file("f599.ini", owner("s599", "y"))...)
			_, err := ann.Add(ctx, both, change.Options{})
			Expect(err).NotTo(HaveOccurred())
		}}
		set, err = moving.Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		after, err := reader(p).Snapshot(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Revision).To(Equal(before.Revision + 1))
		Expect(set).To(Equal(after))
	})
})

// movingStore makes a change after the first page of file rows.
type movingStore struct {
	table.Store
	move func()
}

func (s *movingStore) Range(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	rows, err := s.Store.Range(ctx, prefix, after, limit)
	if move := s.move; prefix == "config/file/" && move != nil {
		s.move = nil
		move()
	}
	return rows, err
}

var _ = ginkgo.Describe("zones, servers and push", func() {
	// Guards against a decision without effect, and state files that pile up.
	ginkgo.It("writes a state file that wins, and removes it again", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		_, err := ann.Zone(ctx, "a", config.ZoneOut, change.Options{})
		Expect(err).NotTo(HaveOccurred())
		state, origin := zone(p, "a")
		Expect(state).To(Equal(config.ZoneOut))
		Expect(origin).To(Equal("zone-a.ini"))
		result, err := ann.Zone(ctx, "a", config.ZoneOut, change.Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Unchanged).To(BeTrue())
		_, err = ann.Zone(ctx, "a", config.ZoneIn, change.Options{})
		Expect(err).NotTo(HaveOccurred())
		state, origin = zone(p, "a")
		Expect(state).To(Equal(config.ZoneIn))
		Expect(origin).To(BeEmpty())

		_, err = add(ann, 0, "zzz-all.ini", "[zone a]\nstate = in\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = ann.Zone(ctx, "a", config.ZoneOut, change.Options{})
		Expect(err).NotTo(HaveOccurred())
		state, origin = zone(p, "a")
		Expect(state).To(Equal(config.ZoneOut))
		Expect(origin).To(Equal("zzz-zone-a.ini"))

		address := netip.MustParseAddrPort("[::1]:7000")
		_, err = ann.Server(ctx, address, config.ServerLeaving, change.Options{})
		Expect(err).NotTo(HaveOccurred())
		set, err := ann.Show(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		_, found := set.Find("server-0000-0000-0000-0000-0000-0000-0000-0001-7000.ini")
		Expect(found).To(BeTrue())
	})

	// Guards against a push that brings back a zone which another operator has taken out, and a wrong return.
	ginkgo.It("keeps state files in a push, and returns exactly to a listing", func() {
		p := fake.NewPlatform(1)
		ann := writer(p, "ann")
		_, err := ann.Push(ctx, append(file("a.ini", owner("a", "x")), file("server-pool.ini", owner("b", "x"))...), change.Options{})
		Expect(err).NotTo(HaveOccurred())
		_, err = ann.Zone(ctx, "a", config.ZoneOut, change.Options{})
		Expect(err).NotTo(HaveOccurred())
		result, err := ann.Push(ctx, file("c.ini", owner("c", "x")), change.Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Remove).To(Equal([]string{"a.ini", "server-pool.ini"}))
		state, _ := zone(p, "a")
		Expect(state).To(Equal(config.ZoneOut))
		_, err = ann.Revert(ctx, 1, change.Options{})
		Expect(err).NotTo(HaveOccurred())
		before, err := ann.Show(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		after, err := ann.Show(ctx, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(after.Files).To(Equal(before.Files))
	})
})

var _ = ginkgo.Describe("the load on the platform", func() {
	// Guards against a change that costs more as the history grows, and a poll of the head that takes more than one read.
	ginkgo.It("stays the same for each change however long the history is", func() {
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
