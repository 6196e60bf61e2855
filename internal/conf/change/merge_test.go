package change_test

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

// drawFile draws from few names and few keys, so that two changes often conflict.
func drawFile(t *rapid.T, label string) files.File {
	content := "[service a]\n"
	for _, key := range []string{"slots", "queue", "owner"} {
		if value := rapid.IntRange(0, 4).Draw(t, label+key); value > 0 {
			content += fmt.Sprintf("%s = %d\n", key, value+3)
		}
	}
	return files.File{Name: fmt.Sprintf("f%d.ini", rapid.IntRange(0, 3).Draw(t, label)), Content: content}
}

// TestRacingMerge guards against accepting a change that undoes a concurrent one or remains without effect itself, and
// against refusing changes that do not conflict.
func TestRacingMerge(t *testing.T) {
	NewWithT(t).Expect(flag.Set("rapid.seed", "7")).To(Succeed()) // the same cases in every run
	NewWithT(t).Expect(flag.Set("rapid.checks", "1000")).To(Succeed())
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		p := fake.NewPlatform(1)
		ann, bob := writer(p, "ann"), writer(p, "bob")
		var folder []files.File
		for range rapid.IntRange(1, 3).Draw(t, "files") {
			folder = files.Replace(folder, []files.File{drawFile(t, "base")}, nil)
		}
		if _, err := ann.Push(ctx, folder, change.Options{}); err != nil {
			return // refused, because the drawn files override each other
		}
		theirs, own := drawFile(t, "others"), drawFile(t, "own")
		if result, err := bob.Add(ctx, []files.File{theirs}, change.Options{}); err != nil || result.Unchanged {
			return
		}
		base, current := mergedAt(g, ann, 1), mergedAt(g, ann, 2)
		intended, err := files.Merge(files.Set{Files: files.Replace(folder, []files.File{own}, nil)})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = ann.Add(ctx, []files.File{own}, change.Options{Base: 1})
		if err != nil {
			outcomes[code.Of(err).Code.String()]++
			if code.Of(err).Code == code.ChangeConflict && own.Name != theirs.Name {
				g.Expect(overlaps(intended, base, current, own.Name)).To(BeTrue(), err.Error())
			}
			return
		}
		outcomes["accepted"]++
		after := mergedAt(g, ann, 0)
		for id, value := range current.Keys {
			if base.Keys[id].Value != value.Value {
				g.Expect(after.Keys[id].Value).To(Equal(value.Value), "concurrent change of %s", id)
			}
		}
		for _, id := range intended.Files[own.Name] {
			if base.Keys[id].Value != current.Keys[id].Value {
				g.Expect(after.Keys[id].Value).To(Equal(intended.Keys[id].Value), "tested change of %s", id)
			}
		}
	})
	t.Log("outcomes:", outcomes)
	for _, outcome := range []string{"accepted", code.ChangeConflict.String(), code.ChangeOverridden.String()} {
		NewWithT(t).Expect(outcomes[outcome]).To(BeNumerically(">", 0), outcome)
	}
}

func mergedAt(g *WithT, w *change.Writer, revision uint64) *files.Merged {
	set, err := w.Show(ctx, revision)
	g.Expect(err).NotTo(HaveOccurred())
	merged, err := files.Merge(set)
	g.Expect(err).NotTo(HaveOccurred())
	return merged
}

// overlaps reports whether the concurrent change modified a key that the file own sets before or after the tested change.
func overlaps(intended, base, current *files.Merged, own string) bool {
	for _, id := range append(intended.Files[own], base.Files[own]...) {
		if base.Keys[id].Value != current.Keys[id].Value {
			return true
		}
	}
	return false
}
