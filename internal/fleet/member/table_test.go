package member

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

func record(i int, state State, version uint64) Record {
	return Record{
		Address: address(i), Front: netip.AddrPortFrom(address(i).Addr(), 80), Service: fmt.Sprintf("service-%d", i%360),
		Zone: fmt.Sprintf("zone-%d", i%7), Region: "region-1", Incarnation: 1, State: state, Version: version,
	}
}

func newTable() *Table {
	t := &Table{}
	t.SetSelf(record(0, Serving, 1))
	return t
}

// Guards against a digest or an index that no longer matches the records after a series of changes.
func TestIndexesMatchRecords(t *testing.T) {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
		r := record(rapid.IntRange(1, 30).Draw(t, "member"), State(rapid.IntRange(0, 4).Draw(t, "state")), 1)
		r.Version = rapid.Uint64Range(1, 5).Draw(t, "version")
		r.Service = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
		return r
	}), 100, 300)
	for seed := range 30 {
		g := NewWithT(t)
		table := newTable()
		for _, r := range steps.Example(seed) {
			table.Apply(r)
			table.Members(r.Service)
		}
		fresh := newTable()
		live := 0
		services := map[string][]Record{}
		for _, r := range table.All() {
			if r.State == Gone {
				continue
			}
			fresh.Apply(r)
			live++
			services[r.Service] = append(services[r.Service], r)
		}
		g.Expect(table.Digests()).To(Equal(fresh.Digests()))
		g.Expect(table.Live()).To(Equal(live))
		g.Expect(table.Pick(100, address(0))).To(HaveLen(live - 1))
		for name, members := range services {
			g.Expect(table.Members(name)).To(Equal(members))
		}
	}
}

// Guards against not refuting a false suspicion of this daemon, and against reacting to a record of an earlier incarnation.
func TestSuspicionOfSelfIsRefuted(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	for _, state := range []State{Suspect, Gone} {
		version := table.Self().Version
		g.Expect(table.Apply(record(0, state, version+3))).To(BeTrue())
		g.Expect(table.Self()).To(Equal(record(0, Serving, version+4)))
	}
	old := record(0, Gone, 100)
	old.Incarnation = 0
	g.Expect(table.Apply(old)).To(BeFalse())
}

// Guards against marking a member as gone at once because another daemon does, a suspicion that never expires, and removing a gone
// record before or long after Retain.
func TestSuspicionExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newTable()
		table.Apply(record(1, Serving, 1))
		table.Apply(record(1, Gone, 1))
		state := func() State {
			table.Expire()
			r, known := table.Get(address(1))
			if !known {
				return -1
			}
			return r.State
		}
		g.Expect(state()).To(Equal(Suspect))
		time.Sleep(DefaultSuspectFor - time.Second)
		table.RestartSuspicions()
		time.Sleep(DefaultSuspectFor - time.Second)
		g.Expect(state()).To(Equal(Suspect))
		time.Sleep(time.Second)
		g.Expect(state()).To(Equal(Gone))
		g.Expect(table.Apply(record(1, Serving, 1))).To(BeFalse())
		time.Sleep(DefaultRetain - time.Second)
		g.Expect(state()).To(Equal(Gone))
		time.Sleep(time.Second)
		g.Expect(state()).To(Equal(State(-1)))
		g.Expect(table.Apply(record(1, Gone, 1))).To(BeFalse())
	})
}

// Guards against messages that grow with the fleet, and against a new daemon that cannot obtain all records.
func TestDifferencesAreBounded(t *testing.T) {
	g := NewWithT(t)
	full, empty := newTable(), newTable()
	for i := 1; i < 7700; i++ {
		full.Apply(record(i, Serving, 1))
	}
	rounds := 0
	for ; rounds < 64; rounds++ {
		diff := full.Compare(empty.Digests())
		g.Expect(len(diff.Records)).To(BeNumerically("<=", maxMissing+maxDiffering))
		for _, r := range diff.Records {
			empty.Apply(r)
		}
		if !diff.More {
			break
		}
	}
	g.Expect(rounds).To(BeNumerically("<", 64))
	for range 200 {
		for _, r := range full.Compare(empty.Digests()).Records {
			empty.Apply(r)
		}
	}
	g.Expect(full.Compare(empty.Digests()).Equal).To(BeTrue())
}

// Guards against storing records that would use unbounded memory or have an address or state that the program cannot handle.
func TestInvalidRecordsAreRefused(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	for _, corrupt := range []func(*Record){
		func(r *Record) { r.Address = netip.AddrPort{} },
		func(r *Record) { r.Address = netip.MustParseAddrPort("10.0.0.1:0") },
		func(r *Record) { r.Address = netip.MustParseAddrPort("0.0.0.0:7000") },
		func(r *Record) { r.Address = netip.MustParseAddrPort("224.0.0.1:7000") },
		func(r *Record) { r.Front = netip.MustParseAddrPort("[fe80::1%eth0]:80") },
		func(r *Record) { r.Incarnation = maxIncarnation + 1 },
		func(r *Record) { r.Version = maxVersion + 1 },
		func(r *Record) { r.State = Gone + 1 },
		func(r *Record) { r.Service = string(make([]byte, maxName+1)) },
	} {
		r := record(1, Serving, 1)
		corrupt(&r)
		g.Expect(table.Apply(r)).To(BeFalse())
	}
	g.Expect(table.Live()).To(Equal(1))
}

// Guards against a daemon that stays unknown because it takes callers on all of its addresses.
func TestDaemonThatListensOnAllAddressesIsAMember(t *testing.T) {
	r := record(1, Serving, 1)
	r.Front = netip.MustParseAddrPort("0.0.0.0:8000")
	NewWithT(t).Expect(newTable().Apply(r)).To(BeTrue())
}

// Guards against subscribers that miss a change or are notified of a record that was not stored.
func TestSubscribersSeeEachChange(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	var seen []State
	table.Subscribe(func(r Record) { seen = append(seen, r.State) })
	table.Apply(record(1, Serving, 2))
	table.Apply(record(1, Serving, 1))
	table.Suspect(record(1, Serving, 2))
	table.SetState(Leaving)
	g.Expect(seen).To(Equal([]State{Serving, Suspect, Leaving}))
}

const benchMembers = 7700

func BenchmarkApplyNews(b *testing.B) {
	table := newTable()
	for i := 0; b.Loop(); i++ {
		table.Apply(record(1+i%benchMembers, Serving, uint64(1+i/benchMembers)))
	}
}

func BenchmarkApplyKnown(b *testing.B) {
	table := newTable()
	table.Apply(record(1, Serving, 1))
	known := record(1, Serving, 1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			table.Apply(known)
		}
	})
}

// BenchmarkMemory reports the bytes that the table uses per member. As when decoded by the codec, no two records share strings.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := newTable()
		for i := 1; i < benchMembers; i++ {
			table.Apply(record(i, Serving, 1))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchMembers, "B/member")
		runtime.KeepAlive(table)
	}
}
