package watch

import (
	"bytes"
	"context"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/fleet/member"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

// oddRow is a row that another writer has left among those of the daemons.
type oddRow struct {
	name  string
	key   netip.AddrPort
	value func(f *fleet) []byte
}

// announced returns the value of a row with the record of daemon i after change.
func announced(i int, change func(r *member.Record)) func(f *fleet) []byte {
	return func(f *fleet) []byte {
		r := f.get(i).table.Self()
		change(&r)
		return announcement{Record: r, At: time.Now()}.encode()
	}
}

// addressed returns the value of a row whose address has the given text.
func addressed(text string) func(f *fleet) []byte {
	return func(f *fleet) []byte {
		value := announcement{Record: f.record(70), At: time.Now()}.encode()
		return appendText(value, fieldAddress, text) // the last one counts
	}
}

var oddRows = []oddRow{
	{"deeply nested", address(60), func(f *fleet) []byte {
		const depth = 200_000
		value := announcement{Record: f.record(60), At: time.Now()}.encode()
		value = append(value, bytes.Repeat(protowire.AppendTag(nil, 99, protowire.StartGroupType), depth)...)
		return append(value, bytes.Repeat(protowire.AppendTag(nil, 99, protowire.EndGroupType), depth)...)
	}},
	{"number of eleven bytes", address(61), func(f *fleet) []byte {
		value := announcement{Record: f.record(61), At: time.Now()}.encode()
		return append(protowire.AppendTag(value, fieldVersion, protowire.VarintType), bytes.Repeat([]byte{0xff}, 11)...)
	}},
	{"text", address(62), func(*fleet) []byte { return []byte(strings.Repeat(`{"port":1e999,"state":[`, 2000)) }},
	{"port out of range", address(63), addressed("10.0.0.63:70000")},
	{"port 0", address(64), addressed("10.0.0.64:0")},
	{"address of no host", address(65), addressed("0.0.0.0:7000")},
	{"address of a group", address(66), addressed("224.0.0.1:7000")},
	{"address with a long zone", address(67), addressed("[fe80::1%" + strings.Repeat("z", 200) + "]:7000")},
	{"incarnation too large, of a live daemon", address(3), announced(3, func(r *member.Record) { r.Incarnation = math.MaxUint64 })},
	{"largest signed incarnation, of a live daemon", address(3), announced(3, func(r *member.Record) { r.Incarnation = math.MaxInt64 })},
	{"later incarnation, of a live daemon", address(3), announced(3, func(r *member.Record) {
		r.Incarnation = ident.NewIncarnation(time.Now().Add(time.Hour))
	})},
	{"version too large, of a live daemon", address(4), announced(4, func(r *member.Record) {
		r.Version, r.State = math.MaxUint64, member.Leaving
	})},
	{"of a live daemon, under another key", address(68), announced(5, func(r *member.Record) { r.Incarnation++ })},
	{"unknown state", address(69), announced(6, func(r *member.Record) { r.State = 1 << 40 })},
	{"time too large", address(70), func(f *fleet) []byte {
		return appendNumber(announcement{Record: f.record(70)}.encode(), fieldAt, math.MaxUint64)
	}},
}

// Guards against daemons that end, lose members or stop following the configuration because another writer has left an odd row among
// theirs.
func TestOddRowsAreIgnored(t *testing.T) {
	for _, odd := range oddRows {
		t.Run(odd.name, func(t *testing.T) {
			run(t, 12, func(g *WithT, f *fleet) {
				f.encoded.Store(true)
				put := []table.Put{{Key: rowKey(odd.key), Value: odd.value(f)}}
				g.Expect(f.platform.Commit(context.Background(), table.Txn{Puts: put})).To(Succeed())
				f.seeds = nil // the next daemon learns the members from the table
				f.start(12)
				time.Sleep(time.Minute) // two daemons sweep the table meanwhile
				for i := range 13 {
					g.Expect(f.get(i).ended).NotTo(Receive(), "daemon %d", i)
				}
				g.Expect(f.allKnow(13)()).To(BeTrue())
				g.Expect(f.count(func(d *daemon) bool {
					return len(d.table.All()) == 13 && d.table.Self().State == member.Serving
				})).To(Equal(13))
				for i := range 13 {
					g.Expect(f.state(i, member.Serving)()).To(BeTrue(), "daemon %d is serving everywhere", i)
				}
				f.platform.change()
				g.Expect(until(time.Minute, f.inForce(2))).To(BeNumerically("<=", 3*time.Second))
			})
		})
	}
}
