package gossip

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// directNetwork connects nodes without latency. Messages are encoded and decoded. An exchange with an unknown address times out.
type directNetwork map[netip.AddrPort]*Node

func (d directNetwork) Exchange(ctx context.Context, to netip.AddrPort, request *proto.Exchange) (*proto.Exchange, error) {
	if d[to] == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := d[to].Exchange(ctx, nil, recode(request))
	if err != nil {
		return nil, err
	}
	return recode(reply), nil
}

// recode returns the message as the peer decodes it.
func recode(message *proto.Exchange) *proto.Exchange {
	decoded := &proto.Exchange{}
	encoded, err := proto.Codec{}.Marshal(message)
	if err == nil {
		err = proto.Codec{}.Unmarshal(encoded, decoded)
	}
	if err != nil {
		panic(err)
	}
	return decoded
}

func (d directNetwork) Status(ctx context.Context, to netip.AddrPort, request *proto.Status) (*proto.Status, error) {
	return d[to].Status(ctx, nil, request)
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// add builds node i, which knows members 1 to known.
func (d directNetwork) add(i, known int) *Node {
	node := &Node{
		Self:  member.Record{Address: address(i), State: member.Serving, Incarnation: 1, Version: 1},
		Table: &member.Table{}, Holder: &config.Holder{}, Client: d, Log: logr.Discard(),
		Merge: func(set files.Set) (*config.Config, error) {
			if len(set.Files) > 0 && set.Files[0].Content == "broken" {
				return nil, fmt.Errorf("broken file")
			}
			return &config.Config{Revision: set.Revision, Serial: set.Serial, Budgets: config.DefaultBudgets()}, nil
		},
	}
	node.Table.SetSelf(node.Self)
	for other := 1; other <= known; other++ {
		node.Table.Apply(member.Record{Address: address(other), State: member.Serving, Incarnation: 1, Version: 1})
	}
	d[address(i)] = node
	return node
}

// run runs the nodes until the test ends.
func run(t *testing.T, nodes ...*Node) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for _, node := range nodes {
		done.Go(func() { _ = node.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	synctest.Wait()
}

func change(revision uint64, size int) files.Change {
	file := files.File{Name: "a.ini", Content: strings.Repeat("x", size)}
	return files.Change{Revision: revision, Put: []files.File{file}}
}

// Guards against skipping a gap in the changes, accepting a lower revision, and a folder that cannot be merged blocking the
// revision that corrects it.
func TestRevisionsAreConsecutive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		node := directNetwork{}.add(1, 0)
		run(t, node)
		g.Expect(node.Accept([]files.Change{change(1, 1), change(2, 1), change(4, 1)})).To(MatchError(ErrGap))
		g.Expect(node.Holder.Revision()).To(Equal(uint64(2)))
		g.Expect(node.AcceptSet(files.Set{Revision: 1})).NotTo(Succeed())
		g.Expect(node.HeldRevision()).To(Equal(uint64(2)))
		g.Expect(node.Accept([]files.Change{change(1, 9)})).To(Succeed())
		g.Expect(node.FileSet().Files[0].Content).To(Equal("x"))
		g.Expect(node.AcceptSet(files.Set{Revision: 7, Files: []files.File{{Name: "a.ini", Content: "broken"}}})).NotTo(Succeed())
		g.Expect([]uint64{node.HeldRevision(), node.Holder.Revision()}).To(Equal([]uint64{7, 2}))
		g.Expect(node.Accept([]files.Change{{Revision: 8, Remove: []string{"a.ini", "b.ini"}}})).To(Succeed())
		g.Expect(node.Holder.Revision()).To(Equal(uint64(8)))
		g.Expect(node.FileSet().Files).To(BeEmpty())
	})
}

// Guards against changes that do not follow the peer's revision when the log no longer reaches back to it, and against messages
// that are larger than a frame.
func TestLaggingPeerGetsChangesOrFolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		node := directNetwork{}.add(1, 0)
		run(t, node)
		for revision := uint64(1); revision <= 20; revision++ {
			g.Expect(node.Accept([]files.Change{change(revision, 50<<10)})).To(Succeed())
		}
		var recent, old proto.Exchange
		node.revisions.addMissing(&recent, &proto.Exchange{Since: 14})
		g.Expect(recent.Changes[0].Revision).To(Equal(uint64(15)))
		g.Expect(len(recent.Changes) * (50 << 10)).To(BeNumerically("<=", maxMessageBytes))
		node.revisions.addMissing(&old, &proto.Exchange{Since: 2})
		g.Expect(old.Changes).To(BeEmpty())
		g.Expect(old.Snapshot.Revision).To(Equal(uint64(20)))
		g.Expect(node.Accept([]files.Change{change(21, maxSnapshotSize)})).To(Succeed())
		var large proto.Exchange
		node.revisions.addMissing(&large, &proto.Exchange{Since: 2})
		g.Expect(large.Snapshot).To(BeNil())
	})
}

// Guards against merging a malformed message, and a message whose sender is not the peer of the connection.
func TestMalformedExchangeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		node := &Node{Log: logr.Discard()}
		_, err := node.Exchange(context.Background(), nil, &proto.Exchange{})
		g.Expect(code.Of(err).Code).To(Equal(code.Stopping))
		node = directNetwork{}.add(1, 0)
		run(t, node)
		peer := &proto.Peer{Hello: proto.Hello{Address: address(2)}}
		for _, request := range []*proto.Exchange{
			{From: member.Record{Address: address(2)}, Digests: make([]uint64, 3)},
			{From: member.Record{Address: address(2)}, Members: make([]member.Record, maxMembers+1)},
			{From: member.Record{Address: address(3)}},
		} {
			_, err := node.Exchange(context.Background(), peer, request)
			g.Expect(code.Of(err).Code).To(Equal(code.BadRequest))
		}
		g.Expect(node.Table.Live()).To(Equal(1))
	})
}

// Guards against suspecting a member that only this daemon cannot reach, and against a helper that connects to an address
// that is not a known member.
func TestFailureIsCheckedThroughPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := directNetwork{}
		first, second, third := network.add(1, 3), network.add(2, 3), network.add(3, 3)
		first.Client = directNetwork{address(2): second}
		run(t, first, second, third)
		time.Sleep(time.Minute)
		r, _ := first.Table.Get(address(3))
		g.Expect(r.State).To(Equal(member.Serving))
		g.Expect(first.counters.failed.Load()).To(BeNumerically(">", 5))
		_, unknownReached := second.tryMember(context.Background(), address(9))
		g.Expect(unknownReached).To(BeFalse())
		incarnation, reached := second.tryMember(context.Background(), address(3))
		g.Expect(reached).To(BeTrue())
		g.Expect(incarnation).To(Equal(third.Table.Self().Incarnation))
		g.Expect(third.counters.refuted.Load()).To(BeZero())
	})
}

// Guards against eager exchanges above the budget during a burst of updates.
func TestEagerExchangesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := directNetwork{}
		node := network.add(1, 4)
		run(t, node, network.add(2, 4), network.add(3, 4), network.add(4, 4))
		time.Sleep(5 * time.Second)
		before := node.counters.eager.Load()
		for i := range 200 {
			node.apply([]member.Record{{Address: address(100 + i%100), State: member.Serving, Version: uint64(i + 1)}})
			time.Sleep(50 * time.Millisecond)
		}
		g.Expect(node.counters.eager.Load() - before).To(BeNumerically("<=", 11*config.DefaultExchanges))
	})
}

// Guards against requesting the same revision from several peers at once.
func TestRevisionIsRequestedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var revisions revisions
		requests := 0
		for range 10 {
			if revisions.shouldRequest(5) {
				requests++
			}
		}
		g.Expect(requests).To(Equal(1))
		g.Expect(revisions.shouldRequest(6)).To(BeTrue())
		time.Sleep(requestTimeout)
		g.Expect(revisions.shouldRequest(5)).To(BeTrue())
	})
}

// Guards against a wait for the operators' own version that ends while a daemon has an earlier one in force.
func TestMembersBehindASerialAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := directNetwork{}
		first, second := network.add(1, 2), network.add(2, 2)
		g.Expect(first.AcceptSet(folder(9, 1))).To(Succeed())
		g.Expect(second.AcceptSet(files.Set{Revision: 9, Serial: 8})).To(Succeed())
		run(t, first, second)
		synctest.Wait()
		lagging := first.LaggingMembers(t.Context(), Awaited{Serial: 9})
		g.Expect(lagging).To(HaveLen(1))
		g.Expect(lagging[0]).To(And(HaveField("Serial", uint64(8)), HaveField("Record.Address", address(2)), HaveField("Err", BeNil())))
		g.Expect(first.LaggingMembers(t.Context(), Awaited{Serial: 8})).To(BeEmpty())
	})
}
