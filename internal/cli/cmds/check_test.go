package cmds_test

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/cli/cmds"
	"marigoldwinch.example/marigoldwinch/internal/plat/fake"
)

var (
	exampleFile    = regexp.MustCompile("(?s)```ini\n# ([0-9a-z-]+\\.ini)\n(.*?)```")
	exampleSession = regexp.MustCompile("(?s)```console\n(.*?)```")
)

// Guards against a page that shows what the command does not print.
func TestExampleOfTheCheck(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer((&fake.Server{Platform: fake.NewPlatform(1)}).Handler())
	defer server.Close()
	page, err := os.ReadFile("../../../docs/configuration.md")
	g.Expect(err).NotTo(HaveOccurred())
	_, example, _ := strings.Cut(string(page), "### Checking a configuration")
	dir := t.TempDir()
	for n, file := range exampleFile.FindAllStringSubmatch(example, -1) {
		path := filepath.Join(dir, file[1])
		g.Expect(os.WriteFile(path, []byte("# "+file[1]+"\n"+file[2]), 0o600)).To(Succeed())
		if n == 0 {
			status, _, text := command("config", "add", path, "--operator", "ann", "--platform-table", server.Listener.Addr().String())
			g.Expect(status).To(BeZero(), text)
		}
	}
	session, shown := exampleSession.FindStringSubmatch(example)[1], ""
	for line := range strings.Lines(session) {
		if arguments, found := strings.CutPrefix(line, "$ marigoldwinch "); found {
			arguments = strings.NewReplacer("shop", dir, "TABLE", server.Listener.Addr().String()).Replace(arguments)
			_, out, errOut := command(strings.Fields(arguments)...)
			shown += line + out + errOut
		}
	}
	g.Expect(shown).To(Equal(session))
}

// Guards against a record of a hosted platform that is not checked as daemons read it.
func TestCheckOfAHostedRecord(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "record.json")
	record := `{"version":"r3","services":[{"name":"s1"}],"routes":[
		{"name":"a","host":"h","prefix":"/a/","kind":"unsafe","service":"s1","timeout":"1s","target_latency":"2s"},
		{"name":"b","host":"h","prefix":"/b/","kind":"odd","service":"s1"}]}`
	g.Expect(os.WriteFile(path, []byte(record), 0o600)).To(Succeed())
	status, out, _ := command("config", "check", path)
	g.Expect(status).To(BeZero())
	g.Expect(out).To(ContainSubstring("no-effect: record.json: route 1: the kind is unknown: its requests are not repeated\n"))
	g.Expect(out).To(ContainSubstring("[route r0] timeout: the timeout of 1s is under the objective of 2s\n"))
	g.Expect(os.WriteFile(path, []byte(`{"services":[]}`), 0o600)).To(Succeed())
	status, _, text := command("config", "check", path)
	g.Expect(status).To(Equal(cmds.StatusInvalidConfig), text)
}
