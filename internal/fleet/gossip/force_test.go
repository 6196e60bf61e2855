package gossip

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/wire/proto"
)

// Guards against logs that do not tell a late reader of the platform from a late message between daemons.
func TestLogTellsWhereARevisionCameFrom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		node := directNetwork{}.add(1, 0)
		var lines []string
		node.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		node.RecordPlatformContact()
		time.Sleep(4 * time.Second)
		g.Expect(node.AcceptSet(folder(5, 1))).To(Succeed())
		node.mergeRevisions(&proto.Exchange{From: node.Table.Self(), Changes: []files.Change{change(6, 1)}})
		g.Expect(lines).To(HaveLen(2))
		g.Expect(lines[0]).To(ContainSubstring(`"revision"=5 "before"=0 "serial"=5 "from"="platform" "platform-silence"="4s"`))
		g.Expect(lines[1]).To(ContainSubstring(`"revision"=6 "before"=5 "serial"=5 "from"="` + address(1).String()))
		g.Expect(strings.Join(lines, "\n")).NotTo(ContainSubstring("revision-refused"))
	})
}
