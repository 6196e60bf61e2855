package gossip

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// folder returns a folder whose contents cannot be compressed, so that each file fills a quarter of a message.
func folder(revision uint64, names ...int) files.Set {
	set := files.Set{Revision: revision, Serial: revision}
	for _, name := range names {
		random := rand.New(rand.NewPCG(uint64(name), 1))
		content := make([]byte, maxMessageBytes/4)
		for i := range content {
			content[i] = byte(random.Uint32())
		}
		set.Files = append(set.Files, files.File{Name: fmt.Sprintf("file-%03d.ini", name), Content: string(content)})
	}
	return set
}

func numbers(from, to int) []int {
	var list []int
	for n := from; n < to; n++ {
		list = append(list, n)
	}
	return list
}

// request returns the next request of a node for the given revision, or nil when it makes none.
func request(node *Node, revision uint64) *proto.Exchange {
	message := &proto.Exchange{}
	if !node.revisions.addRequest(message, revision) {
		return nil
	}
	return message
}

// reply returns the reply of a node to the request.
func reply(node *Node, wanted *proto.Exchange) *proto.Exchange {
	message := &proto.Exchange{}
	node.revisions.addMissing(message, wanted)
	return message
}

// Guards against a folder whose parts are larger than a message, come twice, or are lost when the next one comes from another peer,
// belongs to a later revision, or follows an earlier revision that was completed meanwhile.
func TestPartsOfAFolderAddUp(t *testing.T) {
	g := NewWithT(t)
	network := directNetwork{}
	first, second, node := network.add(1, 0), network.add(2, 0), network.add(3, 0)
	g.Expect(first.AcceptSet(folder(5, numbers(10, 20)...))).To(Succeed())
	g.Expect(second.AcceptSet(folder(8, numbers(4, 16)...))).To(Succeed())
	g.Expect(node.AcceptSet(folder(3, 10, 11, 30))).To(Succeed())
	sent := map[string]bool{}
	for _, peer := range []*Node{second, first, first, first, second} {
		wanted := request(node, 8)
		g.Expect(wanted).NotTo(BeNil(), "the next part is requested at once")
		message := reply(peer, wanted)
		g.Expect(message.Part).NotTo(BeNil())
		g.Expect(proto.Codec{}.Marshal(message)).To(WithTransform(func(b []byte) int { return len(b) }, BeNumerically("<", 2*maxMessageBytes)))
		for _, file := range message.Part.Files {
			g.Expect(sent).NotTo(HaveKey(file.Name), "sent twice")
			sent[file.Name] = true
		}
		node.mergeRevisions(message)
	}
	g.Expect(node.FileSet()).To(Equal(second.FileSet()))
	g.Expect(node.Holder.Revision()).To(Equal(uint64(8)))
	g.Expect(request(node, 8)).To(BeNil())
	g.Expect(node.revisions.packed).To(HaveLen(10), "of the files that came, those of the folder")
}

// Guards against a folder within the limits that never arrives because its files do not all fit among the received ones.
func TestFolderOfManySmallFilesArrives(t *testing.T) {
	g := NewWithT(t)
	network := directNetwork{}
	peer, node := network.add(1, 0), network.add(2, 0)
	set := files.Set{Revision: 4}
	for n := range files.MaxFolderBytes / 500 {
		set.Files = append(set.Files, files.File{Name: fmt.Sprintf("file-%05d.ini", n), Content: fmt.Sprintf("%0500d", n)})
	}
	g.Expect(peer.AcceptSet(set)).To(Succeed())
	for range 100 {
		if wanted := request(node, 4); wanted != nil {
			node.mergeRevisions(recode(reply(peer, recode(wanted))))
		}
	}
	g.Expect(node.HeldRevision()).To(Equal(uint64(4)))
}

// Guards against a message whose changes are replaced while it is being sent.
func TestLogDoesNotChangeAMessage(t *testing.T) {
	g := NewWithT(t)
	node := directNetwork{}.add(1, 0)
	for revision := uint64(1); revision <= maxLogChanges+10; revision++ {
		g.Expect(node.Accept([]files.Change{change(revision, 1)})).To(Succeed())
	}
	message := reply(node, &proto.Exchange{Since: 500})
	g.Expect(node.Accept([]files.Change{change(maxLogChanges+11, 1), change(maxLogChanges+12, 1)})).To(Succeed())
	for i, sent := range message.Changes {
		g.Expect(sent.Revision).To(Equal(uint64(501 + i)))
	}
}

// Guards against a folder in a wrong order, a file that is malformed, too large or of another folder, and a part that lowers the revision.
func TestMalformedPartIsRefused(t *testing.T) {
	g := NewWithT(t)
	node := directNetwork{}.add(1, 0)
	g.Expect(node.AcceptSet(folder(5, 1))).To(Succeed())
	held := node.FileSet()
	swapped := folder(7, 2, 1)
	zeros := files.File{Name: "a.ini", Content: string(make([]byte, files.MaxFolderBytes/2+1))}
	large := proto.PackedFile{Name: zeros.Name, Content: compress(zeros.Content)}
	for name, malformed := range map[string]struct {
		files []proto.PackedFile
		want  code.Code
	}{
		"not compressed":    {[]proto.PackedFile{{Name: "a.ini", Content: []byte{0xff, 0xff}}}, code.BadRequest},
		"too large":         {[]proto.PackedFile{large, large}, code.BodyTooLarge},
		"of another folder": {[]proto.PackedFile{{Name: "b.ini", Content: compress("")}}, code.BadRequest},
	} {
		part := &proto.FolderPart{Revision: 6, Digests: []uint64{zeros.Digest()}, Files: malformed.files}
		g.Expect(code.Of(node.acceptPart(address(2), part)).Code).To(Equal(malformed.want), name)
	}
	unsorted := &proto.FolderPart{Revision: 7, Digests: digestsOf(swapped)}
	for _, file := range swapped.Files {
		unsorted.Files = append(unsorted.Files, proto.PackedFile{Name: file.Name, Content: compress(file.Content)})
	}
	g.Expect(code.Of(node.acceptPart(address(2), unsorted)).Code).To(Equal(code.BadRequest))
	g.Expect(node.acceptPart(address(2), &proto.FolderPart{Revision: 4})).To(Succeed())
	g.Expect(node.FileSet()).To(Equal(held))
}

// Guards against a peer of an earlier version that gets a part it does not know, and against one change that is larger than a message
// being sent whole.
func TestPeersGetWhatTheyAccept(t *testing.T) {
	g := NewWithT(t)
	node := directNetwork{}.add(1, 0)
	large := files.Change{Revision: 1, Put: folder(0, numbers(0, 12)...).Files}
	g.Expect(node.Accept([]files.Change{large})).To(Succeed())
	wanted := &proto.Exchange{WantSince: true}
	g.Expect(reply(node, wanted).Changes).To(HaveLen(1))
	wanted.AcceptsParts = true
	g.Expect(reply(node, wanted).Changes).To(BeEmpty())
	g.Expect(reply(node, wanted).Part.Files).NotTo(BeEmpty())
	g.Expect(node.AcceptSet(folder(2, numbers(0, 12)...))).To(Succeed())
	g.Expect(reply(node, &proto.Exchange{WantSince: true}).Snapshot.Revision).To(Equal(uint64(2)))
}

// Guards against a daemon that stays on an old configuration without a line in its log, and against a line for each request.
func TestLateRevisionIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := directNetwork{}
		node, peer := network.add(1, 2), network.add(2, 2)
		var late atomic.Int64
		node.Log = funcr.New(func(_, args string) {
			if strings.Contains(args, "revision-late") {
				late.Add(1)
			}
		}, funcr.Options{})
		peer.revisions.set = files.Set{Revision: 7, Files: []files.File{{Name: "a.ini", Content: "broken"}}}
		g.Expect(peer.Holder.Set(&config.Config{Revision: 7, Budgets: config.DefaultBudgets()})).To(Succeed())
		peer.revisions.digests = []uint64{1} // of a file that never comes
		run(t, node, peer)
		time.Sleep(10 * time.Second)
		g.Expect(late.Load()).To(Equal(int64(1)))
		g.Expect(node.Counts().RepeatedRequests).To(BeNumerically(">", 1))
	})
}
