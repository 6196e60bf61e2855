package permit

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/quota/owner"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// unreached is a network without other daemons.
type unreached struct{}

func (unreached) Permit(context.Context, netip.AddrPort, *proto.PermitRequest) (*proto.PermitReply, error) {
	return nil, errCut
}

func alone(count int) (*Agent, []*config.Organisation) {
	self := netip.MustParseAddrPort("10.1.0.1:9000")
	table := &member.Table{}
	table.SetSelf(member.Record{Address: self, State: member.Serving})
	conf := &config.Config{Revision: 1, Organisations: make(map[string]*config.Organisation)}
	var all []*config.Organisation
	for i := range count {
		o := organisation(fmt.Sprintf("organisation-%d", i), 1e6)
		all = append(all, o)
		conf.Organisations[o.Name] = o
	}
	holder := &config.Holder{}
	_ = holder.Set(conf)
	a := &Agent{
		Self: self, Members: table, Config: holder, Client: unreached{}, Owner: &owner.Owner{Slack: slack},
		Window: window, Slack: slack, Log: logr.Discard(),
	}
	a.Tick(time.Now())
	return a, all
}

// BenchmarkTake measures a permit that this daemon grants itself: the decisions without the messages.
func BenchmarkTake(b *testing.B) {
	a, all := alone(1)
	b.ReportAllocs()
	for b.Loop() {
		if release, err := a.Take(b.Context(), all[0]); err == nil {
			release(true)
		}
		a.Owner.Tick(time.Now())
	}
}

// BenchmarkState reports the memory of an organisation at a router and at its owner together.
func BenchmarkState(b *testing.B) {
	const count = 10000
	for b.Loop() {
		a, all := alone(count)
		a.currentCaps()
		before := heap()
		for _, o := range all {
			if release, err := a.Take(b.Context(), o); err == nil {
				release(true)
			}
		}
		b.ReportMetric(float64(heap()-before)/count, "bytes/organisation")
		runtime.KeepAlive(a)
	}
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRank measures the ranking of the daemons for an organisation in a fleet of the target's size.
func BenchmarkRank(b *testing.B) {
	a, _ := alone(1)
	table := a.Members.(*member.Table)
	for i := range 7700 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 9000)
		table.Apply(member.Record{Address: address, Incarnation: 1, State: member.Serving, Version: 1})
	}
	v := a.view(time.Now())
	for b.Loop() {
		clear(v.rankings)
		v.ranked("organisation-0")
	}
}
