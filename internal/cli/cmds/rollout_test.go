package cmds_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/cli/cmds"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
	"marigoldwinch.example/marigoldwinch/internal/plat/table"
)

var _ = ginkgo.Describe("roll-out commands", func() {
	var platform *fake.Platform
	var flags, reads []string
	var dir string

	ginkgo.BeforeEach(func() {
		platform = fake.NewPlatform(1)
		server := httptest.NewServer((&fake.Server{Platform: platform}).Handler())
		ginkgo.DeferCleanup(server.Close)
		reads = []string{"--platform-table", server.Listener.Addr().String()}
		flags = append([]string{"--operator", "ann"}, reads...)
		dir = ginkgo.GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "orders.ini"), []byte("[service orders]\nowner = shop\n"), 0o600)).To(Succeed())
		status, _, errOut := command(append(flags, "config", "push", dir)...)
		Expect(status).To(Equal(cmds.StatusOK), errOut)
	})
	run := func(want int, args ...string) (out, errOut string) {
		ginkgo.GinkgoHelper()
		status, out, errOut := command(args...)
		Expect(status).To(Equal(want), errOut)
		return out, errOut
	}
	row := func(content string) {
		put := []table.Put{{Key: "rollout/orders", Value: []byte(content)}}
		Expect(platform.Table.Commit(context.Background(), table.Txn{Puts: put})).To(Succeed())
	}
	start := func(target string) []string {
		return append(flags, "rollout", "start", "orders", "--target", target, "--duration", "15s")
	}
	state := func() string {
		out, _ := run(cmds.StatusOK, append(reads, "rollout", "status", "orders")...)
		return out
	}

	// Guards against an order that daemons take for an earlier one, and a status of another order.
	ginkgo.It("start, replace, show and withdraw an order", func() {
		out, _ := run(cmds.StatusOK, start("v2")...)
		Expect(out).To(HavePrefix("accepted as revision 2"))
		Expect(out).To(ContainSubstring("put rollout-orders.ini"))
		Expect(state()).To(Equal("orders: order 2, target v2, not started\n"))
		row(`{"service":"orders","order":2,"target":"v2","phase":"trial"}`)
		Expect(state()).To(Equal("orders: order 2, target v2, trial\n"))

		run(cmds.StatusOK, start("v3")...)
		Expect(state()).To(Equal("orders: order 3, target v3, not started\n"))
		out, _ = run(cmds.StatusOK, append(flags, "rollout", "withdraw", "orders")...)
		Expect(out).To(ContainSubstring("remove rollout-orders.ini"))
		row(`{"service":"orders","order":30,"target":"v3","phase":"rolled-back"}`)
		Expect(state()).To(Equal("orders: order 30, target v3, rolled-back, no longer ordered\n"))
		run(cmds.StatusOK, start("v3")...)
		Expect(state()).To(Equal("orders: order 31, target v3, not started\n"))

		out, _ = run(cmds.StatusOK, append(reads, "rollout", "status", "--output", "json")...)
		var list []map[string]any
		Expect(json.Unmarshal([]byte(out), &list)).To(Succeed())
		Expect(list).To(Equal([]map[string]any{{
			"service": "orders", "order": 31.0, "target": "v3", "phase": "", "ordered": true, "duration": "15s",
		}}))
	})

	// Guards against a number that daemons know from an order which was withdrawn before its row was written.
	ginkgo.It("give an order a new number after a withdrawal", func() {
		run(cmds.StatusOK, start("v2")...)
		run(cmds.StatusOK, append(flags, "rollout", "withdraw", "orders")...)
		run(cmds.StatusOK, start("v3")...)
		Expect(state()).To(Equal("orders: order 4, target v3, not started\n"))
	})

	// Guards against a push of the folder that withdraws a roll-out.
	ginkgo.It("keep an order in a push", func() {
		run(cmds.StatusOK, start("v2")...)
		out, _ := run(cmds.StatusOK, append(flags, "config", "push", dir)...)
		Expect(out).To(HavePrefix("nothing to change in revision 2"))
	})

	// Guards against an order without effect, and exit statuses from which a script cannot tell the cause.
	ginkgo.It("have an exit status for each kind of failure", func() {
		run(cmds.StatusUsage, append(flags, "rollout", "start", "orders")...)
		run(cmds.StatusUsage, append(flags, "rollout", "start", "Orders", "--target", "v2")...)
		run(cmds.StatusInvalidConfig, append(flags, "rollout", "start", "none", "--target", "v2")...)
		run(cmds.StatusUsage, append(reads, "rollout", "withdraw", "orders")...)
		run(cmds.StatusRefused, append(flags, "rollout", "withdraw", "orders")...)
		run(cmds.StatusRefused, append(reads, "rollout", "status", "orders")...)
		path := filepath.Join(dir, "all.ini")
		Expect(os.WriteFile(path, []byte("[roll-out orders]\ntarget = v1\n"), 0o600)).To(Succeed())
		run(cmds.StatusOK, append(flags, "config", "add", path)...)
		_, errOut := run(cmds.StatusRefused, start("v2")...)
		Expect(errOut).To(ContainSubstring("set by all.ini"))
		_, errOut = run(cmds.StatusRefused, append(flags, "rollout", "withdraw", "orders")...)
		Expect(errOut).To(ContainSubstring("set by all.ini"))
		platform.Faults.Inject(fake.Down{})
		run(cmds.StatusUnavailable, start("v2")...)
		run(cmds.StatusUnavailable, append(reads, "rollout", "status")...)
	})
})
