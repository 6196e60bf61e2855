package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/cli/cmds"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

func TestCmds(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "cmds")
}

// command runs a command line and returns its exit status and outputs.
func command(args ...string) (status int, out, errOut string) {
	var o, e bytes.Buffer
	status = cmds.Run(context.Background(), args, &o, &e)
	return status, o.String(), e.String()
}

var _ = ginkgo.Describe("configuration commands", func() {
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
	})
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return path
	}
	run := func(args ...string) string {
		ginkgo.GinkgoHelper()
		status, out, errOut := command(args...)
		Expect(status).To(Equal(cmds.StatusOK), errOut)
		return out
	}

	// Guards against a command that is not connected to its operation or flags.
	ginkgo.It("change and show the configuration folder", func() {
		write("orders.ini", "[service orders]\nowner = shop\n")
		Expect(run("config", "check", dir)).To(Equal("valid: 1 files, 1 services\n"))
		Expect(run(append(flags, "config", "push", dir)...)).To(HavePrefix("accepted as revision 1"))
		slow := write("slow.ini", "[service orders]\ntimeout = 9s\n")
		Expect(run(append(flags, "config", "add", slow)...)).To(HavePrefix("accepted as revision 2"))
		Expect(run(append(flags, "zone", "out", "a", "--dry-run")...)).To(HavePrefix("dry run against revision 2"))
		Expect(run(append(flags, "zone", "out", "a")...)).To(HavePrefix("accepted as revision 3"))
		Expect(run(append(flags, "server", "leave", "10.0.0.1:7000")...)).To(HavePrefix("accepted as revision 4"))
		Expect(run(append(reads, "config", "list")...)).
			To(Equal("revision 4, 4 files\norders.ini\nserver-10-0-0-1-7000.ini\nslow.ini\nzone-a.ini\n"))
		Expect(run(append(reads, "config", "show")...)).To(Equal(`# revision 4
[service orders]
owner = shop
# from orders.ini:2
timeout = 9s
# from slow.ini:2
[zone a]
state = out
# from zone-a.ini:2
[server 10.0.0.1:7000]
state = leaving
# from server-10-0-0-1-7000.ini:2
`))
		Expect(run(append(reads, "config", "show", "--revision", "1")...)).NotTo(ContainSubstring("slow.ini"))
		Expect(run(append(flags, "zone", "in", "a")...)).To(ContainSubstring("remove zone-a.ini"))
		Expect(run(append(flags, "server", "return", "10.0.0.1:7000")...)).To(ContainSubstring("remove server-10-0-0-1-7000.ini"))
		Expect(run(append(flags, "config", "remove", "slow.ini")...)).To(HavePrefix("accepted as revision 7"))
		Expect(run(append(flags, "config", "push", "--revision", "4")...)).To(HavePrefix("accepted as revision 8"))
		var log []map[string]any
		Expect(json.Unmarshal([]byte(run(append(reads, "config", "log", "--limit", "2", "--output", "json")...)), &log)).To(Succeed())
		Expect(log).To(HaveLen(2))
		Expect(log[1]).To(HaveKeyWithValue("revision", 8.0))
		Expect(log[1]).To(HaveKeyWithValue("operator", "ann"))
		Expect(log[1]).To(HaveKey("change-id"))
	})

	// Guards against exit statuses from which a script cannot distinguish a conflict, an outage and a usage error.
	ginkgo.It("have an exit status for each kind of failure", func() {
		good := write("a.ini", "[service a]\nslots = 5\n")
		run(append(flags, "config", "add", good)...)
		run(append(flags, "config", "add", write("b.ini", "[service a]\nslots = 6\n"))...)
		Expect(run("config", "check", dir)).To(ContainSubstring("no effect: every key of a.ini is overridden, [service a] slots by b.ini"))
		expect := func(want int, args ...string) string {
			ginkgo.GinkgoHelper()
			status, out, errOut := command(args...)
			Expect(status).To(Equal(want), errOut)
			Expect(out).To(BeEmpty())
			return errOut
		}
		expect(cmds.StatusUsage, "nothing")
		expect(cmds.StatusUsage, "config")
		expect(cmds.StatusUsage, "config", "nothing")
		expect(cmds.StatusUsage, "config", "list", "--nothing")
		expect(cmds.StatusUsage, "config", "list", "--platform-table", "host:1")
		expect(cmds.StatusUsage, append(reads, "config", "list", "--output", "xml")...)
		expect(cmds.StatusUsage, append(reads, "zone", "out", "a")...)
		expect(cmds.StatusUsage, append(flags, "zone", "out", "A")...)
		expect(cmds.StatusUsage, append(flags, "config", "push")...)
		expect(cmds.StatusRefused, append(flags, "config", "add", write("a0.ini", "[service a]\nslots = 7\n"))...)
		expect(cmds.StatusRefused, append(flags, "config", "add", "--base", "1", write("b.ini", "[service a]\nslots = 7\n"))...)
		expect(cmds.StatusRefused, append(flags, "config", "remove", "none.ini")...)
		expect(cmds.StatusRefused, append(reads, "config", "show", "--revision", "9")...)
		bad := write("z.ini", "[service a]\nslots = x\n")
		expect(cmds.StatusInvalidConfig, append(flags, "config", "add", bad)...)
		Expect(expect(cmds.StatusInvalidConfig, "config", "check", dir)).To(ContainSubstring("z.ini:2: [service a] slots:"))
		var decoded map[string]any
		text := expect(cmds.StatusInvalidConfig, "config", "check", dir, "--output", "json")
		Expect(json.Unmarshal([]byte(text), &decoded)).To(Succeed())
		Expect(decoded).To(HaveKeyWithValue("code-name", "invalid-configuration"))
		Expect(decoded["problems"]).To(HaveLen(1))
		platform.Faults.Inject(fake.Down{})
		Expect(expect(cmds.StatusUnavailable, append(flags, "zone", "out", "a")...)).To(ContainSubstring("platform-unavailable (32, not-run)"))
		platform.Faults.Clear()
		Expect(run(append(reads, "config", "list")...)).To(HavePrefix("revision 2,"))
	})
})

var _ = ginkgo.Describe("stand-in platform", func() {
	// Guards against a process that does not stop, or that does not report the port it listens on.
	ginkgo.It("prints its address, serves, and stops with its context", func() {
		ctx, cancel := context.WithCancel(context.Background())
		out := make(chanWriter, 1)
		done := make(chan int)
		go func() {
			done <- cmds.Run(ctx, []string{"stand-in", "platform", "--listen", "127.0.0.1:0"}, out, ginkgo.GinkgoWriter)
		}()
		var address string
		Eventually(out).Should(Receive(&address))
		status, text, errOut := command("zone", "out", "a", "--operator", "ann", "--platform-table", strings.TrimSpace(address))
		Expect(status).To(Equal(cmds.StatusOK), errOut)
		Expect(text).To(HavePrefix("accepted as revision 1"))
		cancel()
		Eventually(done, "10s").Should(Receive(Equal(cmds.StatusOK)))
	})
})

// chanWriter is an io.Writer that sends each write to its channel.
type chanWriter chan string

func (a chanWriter) Write(text []byte) (int, error) {
	a <- string(text)
	return len(text), nil
}

// Guards against a digest that differs from that of the key which callers send, and against a key that no caller can send.
func TestDigest(t *testing.T) {
	g := NewWithT(t)
	stdin := os.Stdin
	defer func() { os.Stdin = stdin }()
	for input, want := range map[string]string{
		"key-1\n": config.DigestKey("key-1").String() + "\n", "key-1\r\nsecond": config.DigestKey("key-1").String() + "\n",
		"key-1": config.DigestKey("key-1").String() + "\n", "": "", "\n": "", "a key\n": "", " key\n": "", "k\x00\n": "", "kéy\n": "",
		strings.Repeat("k", 4097): "",
	} {
		reader, writer, err := os.Pipe()
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = writer.WriteString(input)
		_ = writer.Close()
		os.Stdin = reader
		status, out, errOut := command("config", "digest")
		_ = reader.Close()
		g.Expect(out).To(Equal(want), "%q", input)
		g.Expect(status == cmds.StatusOK).To(Equal(want != ""), errOut)
	}
}

// Guards against output that lacks the lines of one daemon, is out of order, or contains lines of another request, and against a refusal
// that is not explained.
func TestExplain(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	router := write("router", `time=2026-01-02T10:00:00.300Z level=INFO event=request-failed request=a1 code=overloaded
time=2026-01-02T10:00:00.100Z level=INFO event=attempt-failed request=a1 attempt=1
time=2026-01-02T10:00:00.100Z level=INFO event=attempt-failed request=a2 attempt=1
time=2026-01-02T09:00:00.000Z level=INFO event=server-left server=s
not a line of a daemon
`)
	admission := write("admission", `sidecar-1 time=2026-01-02T10:00:00.050Z level=INFO event=call-refused request=a1 running=12
time=2026-01-02T10:00:00.200Z level=INFO event=call-failed request=a1.c7 running=12
time=2026-01-02T09:59:59.000Z level=INFO event=server-cold server=s
`)
	var out, errOut bytes.Buffer
	g.Expect(cmds.Run(t.Context(), []string{"explain", "a1", router, admission}, &out, &errOut)).To(Equal(cmds.StatusOK), errOut.String())
	var events []string
	for _, line := range strings.Split(out.String(), "\n") {
		if _, event, found := strings.Cut(line, "event="); found {
			event, _, _ = strings.Cut(event, " ")
			events = append(events, event)
		}
	}
	g.Expect(events).To(Equal([]string{"call-refused", "attempt-failed", "call-failed", "request-failed", "server-cold"}))
	const line = "time=2026-01-02T10:00:00.300Z level=INFO event=request-"
	refusals := write("refusals", line+"refused request=b1 route=r code=unauthorized outcome=not-run detail=x\n"+
		line+"failed request=b2 service=s code=over-cap outcome=not-run detail=x\n"+
		line+"failed request=b3 service=s code=outcome-unknown outcome=unknown detail=\"code=over-cap outcome=not-run\"\n"+
		line+"failed request=b4 service=s code=overloaded outcome=not-run detail=x\n")
	for id, note := range map[string]string{"b1": "answered with 401", "b2": "answered with 429", "b3": "", "b4": ""} {
		out.Reset()
		g.Expect(cmds.Run(t.Context(), []string{"explain", id, refusals}, &out, &errOut)).To(Equal(cmds.StatusOK), errOut.String())
		if note == "" {
			g.Expect(out.String()).NotTo(ContainSubstring("answered with"), id)
			continue
		}
		g.Expect(out.String()).To(ContainSubstring(note), id)
	}
	g.Expect(cmds.Run(t.Context(), []string{"explain", "a9", router}, &out, &errOut)).NotTo(Equal(cmds.StatusOK))
	g.Expect(cmds.Run(t.Context(), []string{"explain", "a1", filepath.Join(folder, "none")}, &out, &errOut)).NotTo(Equal(cmds.StatusOK))
}
