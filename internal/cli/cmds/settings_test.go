package cmds_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/cli/cmds"
)

const validSettings = `[daemon]
service = stock
zone = zone-a
[listen]
callers = 127.0.0.1:7001
daemons = 127.0.0.1:7002
admin = 127.0.0.1:7003
[server]
address = 127.0.0.1:7004
[platform]
table = 127.0.0.1:7005
objects = 127.0.0.1:7005
`

// Guards against invalid settings that are found only when the daemon starts, and against a check that stops at the first error.
func TestSettingsCheck(t *testing.T) {
	g := NewWithT(t)
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	status, out, errOut := command("settings", "check", write("good.ini", validSettings))
	g.Expect(status).To(Equal(cmds.StatusOK), errOut)
	g.Expect(out).To(Equal("valid: service stock in zone-a, platform built-in\n"))
	status, out, _ = command("settings", "check", "--output", "json", write("good.ini", validSettings))
	g.Expect(status).To(Equal(cmds.StatusOK))
	g.Expect(out).To(MatchJSON(`{"service": "stock", "zone": "zone-a", "hosted": false}`))

	bad := write("bad.ini", validSettings+"[limits]\nack-timeout = 20s\npeer-connections = many\n")
	status, out, errOut = command("settings", "check", bad)
	g.Expect(status).NotTo(Equal(cmds.StatusOK))
	g.Expect(out).To(BeEmpty())
	g.Expect(errOut).To(And(ContainSubstring("ack-timeout"), ContainSubstring("peer-connections")))
	status, _, _ = command("settings", "check")
	g.Expect(status).To(Equal(cmds.StatusUsage))
}
