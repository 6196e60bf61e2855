package change_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	"github.com/go-logr/logr"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
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

var _ = ginkgo.Describe("concurrent operators", func() {
	// Guards against a change that silently undoes a change of another operator.
	ginkgo.It("refuses another value for the same key and names the file, key and operator of the conflicting change", func() {
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
		Expect(code.Of(err).Code).To(Equal(code.ChangeConflict), "the file sorts earlier and would have no effect on slots")

		_, err = add(ann, 1, "10-bob.ini", "[service a]\nqueue = 3\n")
		Expect(code.Of(err).Code).To(Equal(code.ChangeConflict), "both changed the same file")
		Expect(err.Error()).To(ContainSubstring("file 10-bob.ini was changed"))

		_, err = add(bob, 1, "base.ini", owner("a", "y"))
		Expect(err).NotTo(HaveOccurred())
		_, err = ann.Remove(ctx, []string{"base.ini"}, change.Options{Base: 2})
		Expect(code.Of(err).Code).To(Equal(code.ChangeConflict), "the other operator changed the file")

		result, err := add(ann, 1, "20-ann.ini", "[service a]\nslots = 5\nqueue = 3\n")
		Expect(err).NotTo(HaveOccurred(), "the same value does not conflict")
		Expect(result.Revision).To(Equal(uint64(4)))
	})

	// Guards against accepting a change that has no effect.
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
		Expect(code.Of(err).Code).To(Equal(code.ChangeOverridden), "the file is unchanged, but overridden")
		_, err = ann.Push(ctx, append(file("40.ini", owner("a", "y")+"slots = 3\n"), append(file("50.ini", owner("a", "x")),
			file("60.ini", "[service a]\nslots = 5\n")...)...), change.Options{})
		Expect(err).NotTo(HaveOccurred(), "a push may contain unchanged files that are overridden")
	})

	// Guards against an invalid configuration that takes effect, and a dry run that writes.
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

var _ = ginkgo.Describe("zones, servers and push", func() {
	// Guards against a zone state that has no effect, and state files that accumulate.
	ginkgo.It("writes a state file that takes precedence, and removes it when it is no longer needed", func() {
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

	// Guards against a push that returns a zone to service which another operator has taken out, and against a revert that
	// restores another folder.
	ginkgo.It("keeps state files in a push, and reverts to exactly the earlier folder", func() {
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
