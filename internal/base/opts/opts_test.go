package opts_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/opts"
)

const minimal = `
[daemon]
service = stock-display
zone = a
[listen]
callers = 127.0.0.1:8080
daemons = 127.0.0.1:9080
admin = 127.0.0.1:7080
[server]
address = 127.0.0.1:6080
[platform]
table = 127.0.0.1:5080
objects = 127.0.0.1:5080
`

// Guards against a daemon that starts although its settings have a misspelled or missing key or a value out of bounds.
func TestInvalidSettings(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, d *datadriven.TestData) string {
		base := minimal
		if d.HasArg("without") {
			var name string
			d.ScanArgs(t, "without", &name)
			base = withoutKey(minimal, name)
		}
		_, err := opts.Parse("daemon.ini", []byte(base+d.Input))
		if err == nil {
			return "ok"
		}
		return err.Error()
	})
}

// Guards against a planned stop that ends long before the process is killed, and against one that is still answering when it is.
func TestStopPeriods(t *testing.T) {
	datadriven.RunTest(t, "testdata/stop-periods", func(t *testing.T, d *datadriven.TestData) string {
		settings, err := opts.Parse("daemon.ini", []byte(minimal+d.Input))
		if err != nil {
			t.Fatal(err)
		}
		grace, timeout := settings.StopPeriods()
		return fmt.Sprintf("grace %s, timeout %s", grace, timeout)
	})
}

func withoutKey(text, name string) string {
	var kept []string
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, name+" ") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

var _ = Describe("the settings page", func() {
	// Guards against documentation that names a key, default or bound that the program does not have.
	It("lists every key as the program has it", func() {
		page, err := os.ReadFile("../../../docs/settings.md")
		Expect(err).NotTo(HaveOccurred())
		for _, key := range opts.Keys() {
			fallback := "`" + key.Default + "`"
			if key.Required {
				fallback = "required"
			}
			if !key.Required && key.Default == "" {
				fallback = "none"
			}
			row := fmt.Sprintf("| `%s` | `%s` | %s | %s | %s |", key.Section, key.Name, fallback, key.Bound, key.Meaning)
			Expect(string(page)).To(ContainSubstring(row))
		}
	})
})

// Guards against a panic or an unbounded read on malformed settings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[daemon\nservice"))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, err := opts.Parse("fuzz.ini", content)
		if (settings == nil) == (err == nil) {
			t.Fatal("want either settings or an error")
		}
	})
}
