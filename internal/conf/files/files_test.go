package files_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/conf/config"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
)

func TestFiles(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "files")
}

// TestMergeScripts guards against a wrong precedence of files, entries with a wrong file or line, and errors without file,
// line or key.
func TestMergeScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/merge", func(t *testing.T, path string) {
		set := files.Set{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				set.Files = files.Replace(set.Files, []files.File{{Name: d.CmdArgs[0].Key, Content: d.Input}}, nil)
				return ""
			case "remove":
				set.Files = files.Replace(set.Files, nil, []string{d.CmdArgs[0].Key})
				return ""
			case "merge":
				merged, err := files.Merge(set)
				if err != nil {
					return code.Of(err).Detail + "\n" + code.Of(err).Cause.Error()
				}
				return render(merged)
			case "overridden":
				merged, err := files.Merge(set)
				if err != nil {
					return err.Error()
				}
				other, overridden := merged.OverriddenBy(d.CmdArgs[0].Key)
				return fmt.Sprintf("%v %s", overridden, other.File)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func render(merged *files.Merged) string {
	var text strings.Builder
	for _, entry := range merged.Entries() {
		fmt.Fprintf(&text, "%s = %s (%s:%d)\n", entry.ID, entry.Value, entry.File, entry.Line)
	}
	return text.String()
}

var _ = ginkgo.Describe("the list of keys", func() {
	// Guards against a key that the parser ignores or stores in the field of another key.
	ginkgo.It("sets every field of the configuration", func() {
		merged, err := files.Merge(files.Set{Revision: 7, Files: []files.File{{Name: "all.ini", Content: everyKey}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(merged.Config.Revision).To(Equal(uint64(7)))
		Expect(merged.Config.Services["orders"]).To(Equal(&config.Service{
			Name:           "orders",
			Owner:          "shop = team # 1",
			Zones:          []string{"a", "b-1"},
			Timeout:        3 * time.Second,
			Class:          ident.Write,
			Checks:         []config.Pattern{{Method: "GET", Path: "/check/*"}},
			Uploads:        []config.Pattern{{Method: "PUT", Path: "/photo/**"}},
			NonIdempotent:  []config.Pattern{{Method: "PUT", Path: "/a"}, {Path: "/b/**"}},
			Idempotent:     []config.Pattern{{Method: "POST", Path: "/search"}},
			Slots:          14,
			Queue:          0,
			CheckReserve:   3,
			UploadShare:    0.25,
			RetryShare:     0.05,
			HedgeShare:     0,
			Claim:          true,
			ClaimRetention: 48 * time.Hour,
			ShedsBeforeRun: true,
			ReportsLoad:    true,
			HealthPath:     "/up",
			Connections:    260,
			ColdRate:       25.5,
		}))
		Expect(merged.Config.Routes["lookups"]).To(Equal(&config.Route{
			Name: "lookups", Host: "jars.example", Prefix: "/jars/", Kind: config.Once, Timeout: 800 * time.Millisecond,
			Objective: 400 * time.Millisecond, Priority: 2, Servers: 3,
			Parts: []config.Part{{Service: "orders", Weight: 90}, {Service: "stock", Weight: 10}},
		}))
		Expect(merged.Config.Organisations["bakers"]).To(Equal(&config.Organisation{
			Name: "Bakers & Sons", Keys: []config.KeyDigest{config.DigestKey("first"), config.DigestKey("second")}, Priority: 3,
			Rate: 12.5, Burst: 40,
		}))
		Expect(merged.Config.OrganisationByKey("second")).To(BeIdenticalTo(merged.Config.Organisations["bakers"]))
		Expect(merged.Config.OrganisationByKey("third")).To(BeNil())
		Expect(merged.Config.Rollouts["orders"]).To(Equal(&config.Rollout{
			Service: "orders", Target: "v2", Duration: 15 * time.Second, Order: 412,
		}))
		Expect(merged.Config.Precedence).To(BeTrue())
		Expect(merged.Config.Callers).To(Equal(config.CallerLimits{
			HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		}))
		Expect(merged.Config.Budgets).To(Equal(config.Budgets{Probes: 10, HeadReads: 20.5, Exchanges: 4}))
		Expect(merged.Config.ZoneOut("a")).To(BeTrue())
		Expect(merged.Keys).To(HaveLen(len(files.Keys()) + 1)) // one more for the section of stock, which has no keys
	})

	// Guards against documentation for operators that differs from the code.
	ginkgo.It("matches docs/configuration.md", func() {
		page, err := os.ReadFile("../../../docs/configuration.md")
		Expect(err).NotTo(HaveOccurred())
		sections := strings.Split(string(page), "\n## ")
		for _, key := range files.Keys() {
			row := fmt.Sprintf("| `%s` | %s | %s | %s |\n", key.Name, key.Default, key.Allowed, key.Meaning)
			Expect(sections).To(ContainElement(And(HavePrefix("["+key.Section.String()), ContainSubstring(row))), row)
		}
	})

	// Guards against a described default or limit that the parser does not apply.
	ginkgo.It("has valid defaults, and values beyond the limits are refused with file, line and key", func() {
		for _, key := range files.Keys() {
			section := map[files.Section]string{
				files.ServiceSection: "[service s]", files.ZoneSection: "[zone z]",
				files.ServerSection: "[server 10.0.0.1:80]", files.BudgetsSection: "[budgets]",
				files.RouteSection: "[route r]", files.CallersSection: "[callers]",
				files.OrganisationSection: "[organisation o]", files.RolloutSection: "[roll-out s]", files.PrecedenceSection: "[precedence]",
			}[key.Section]
			defaultText := strings.TrimPrefix(strings.Split(key.Default, ":")[0], "empty")
			content := section + "\n" + key.Name + " = " + defaultText
			if key.Section == files.RouteSection {
				content = completeRoute(key.Name, defaultText)
			}
			if key.Section == files.OrganisationSection && key.Name == "name" {
				continue // the default depends on the section
			}
			if key.Section == files.RolloutSection {
				content = completeRollout(key.Name, defaultText)
			}
			_, err := files.Merge(files.Set{Files: []files.File{{Name: "a.ini", Content: content}}})
			Expect(err).NotTo(HaveOccurred(), key.Name)
			invalid := strings.Repeat("-1, ", 100)
			_, err = files.Merge(files.Set{Files: []files.File{{Name: "a.ini", Content: section + "\n\n" + key.Name + " = " + invalid}}})
			Expect(code.Of(err).Code).To(Equal(code.InvalidConfig), key.Name)
			problems := files.Problems(err)
			Expect(problems).To(HaveLen(1), key.Name)
			Expect(problems[0].File).To(Equal("a.ini"))
			Expect(problems[0].Line).To(Equal(3))
			Expect(problems[0].Key).To(Equal(section + " " + key.Name))
		}
	})
})

// completeRoute returns a route that sets the required keys and the given key. A required key is not set twice.
func completeRoute(name, value string) string {
	required := []string{"host = h.example", "prefix = /p/", "services = s"}
	text := "[service s]\n[route r]\n" + strings.Join(required, "\n")
	if value == "required" {
		return text
	}
	return text + "\n" + name + " = " + value
}

// completeRollout returns a roll-out that sets the required key and the given one.
func completeRollout(name, value string) string {
	const required = "[service s]\n[roll-out s]\ntarget = v2"
	if value == "required" {
		return required
	}
	return required + "\n" + name + " = " + value
}

var _ = ginkgo.Describe("routes", func() {
	merge := func(text string) (*files.Merged, error) {
		return files.Merge(files.Set{Files: []files.File{{Name: "a.ini", Content: text}}})
	}

	// Guards against selecting a route with a shorter prefix, with another host, or with a prefix that ends inside a segment.
	ginkgo.It("are selected by host and longest prefix", func() {
		merged, err := merge("[service a]\n[service b]\n" +
			"[route wide]\nhost = h.example\nprefix = /x/\nservices = a\n" +
			"[route narrow]\nhost = h.example\nprefix = /x/y/\nservices = b\n")
		Expect(err).NotTo(HaveOccurred())
		for path, route := range map[string]string{"/x/1": "wide", "/x/y/1": "narrow", "/x/yy": "wide", "/x/": "wide"} {
			Expect(merged.Config.RouteFor("h.example", path).Name).To(Equal(route), path)
			Expect(merged.Config.RouteFor("h.example:80", path).Name).To(Equal(route), path)
		}
		Expect(merged.Config.RouteFor("h.example", "/xy/")).To(BeNil())
		Expect(merged.Config.RouteFor("other.example", "/x/1")).To(BeNil())
	})

	// Guards against requests that other requests depend on without the class check, and against ordinary requests with it.
	ginkgo.It("have the class check when their objective is much shorter", func() {
		route := func(name, service, kind, objective string) string {
			return "[route " + name + "]\nhost = h\nprefix = /" + name + "/\nservices = " + service + "\nkind = " + kind +
				"\nobjective = " + objective + "\npriority = 2\n"
		}
		merged, err := merge("[service a]\n[service b]\n" + route("orders", "a", "once", "400ms") +
			route("checks", "a", "idempotent", "100ms") + route("lookups", "a", "idempotent", "300ms") +
			route("alone", "b", "idempotent", "10ms") + route("photos", "b", "upload", "15ms") +
			"[route first]\nhost = h\nprefix = /first/\nservices = b\npriority = 0\n")
		Expect(err).NotTo(HaveOccurred())
		classes := map[string]ident.Class{
			"orders": ident.Write, "checks": ident.Check, "lookups": ident.Lookup, "alone": ident.Lookup, "photos": ident.Upload,
			"first": ident.Check,
		}
		Expect(merged.Config.Services["a"].HasChecks).To(BeTrue())
		Expect(merged.Config.Services["b"].HasChecks).To(BeFalse(), "priority 0 alone reserves no slots")
		for name, class := range classes {
			Expect(merged.Config.Routes[name].Class(merged.Config.Routes[name].Priority)).To(Equal(class), name)
		}
		// The priority of an organisation replaces that of the route, but neither changes what is short or must run once.
		for name, expected := range map[string][2]ident.Class{
			"orders": {ident.Write, ident.Write}, "checks": {ident.Check, ident.Check}, "lookups": {ident.Check, ident.Lookup},
			"photos": {ident.Upload, ident.Upload}, "first": {ident.Check, ident.Lookup},
		} {
			for priority, class := range expected {
				Expect(merged.Config.Routes[name].Class(priority)).To(Equal(class), "%s, priority %d", name, priority)
			}
		}
	})

	// Guards against accepting a route without a service to send requests to.
	ginkgo.DescribeTable("are refused when they are incomplete", func(text, detail string) {
		_, err := merge("[service a]\n[route r]\n" + text)
		Expect(files.Problems(err)).To(ContainElement(HaveField("Detail", ContainSubstring(detail))))
	},
		ginkgo.Entry("no host", "prefix = /x/\nservices = a", "no host"),
		ginkgo.Entry("no prefix", "host = h\nservices = a", "no prefix"),
		ginkgo.Entry("no services", "host = h\nprefix = /x/", "no services"),
		ginkgo.Entry("a service that is not configured", "host = h\nprefix = /x/\nservices = a:1, b:1", "service b is not configured"),
		ginkgo.Entry("no weight", "host = h\nprefix = /x/\nservices = a:0", "no service has a weight above 0"),
		ginkgo.Entry("a prefix inside a segment", "host = h\nprefix = /x\nservices = a", "begins and ends with a slash"),
	)
})

var _ = ginkgo.Describe("limits of the folder", func() {
	// Guards against unbounded memory use for an oversized folder.
	ginkgo.It("refuses files and folders above their limits", func() {
		big := "[zone a]\nstate = in\n" + strings.Repeat("#", files.MaxFileBytes)
		_, err := files.Merge(files.Set{Files: []files.File{{Name: "a.ini", Content: big}}})
		Expect(files.Problems(err)[0].Detail).To(ContainSubstring("want at most 65536"))
		var many []files.File
		for i := range 65 {
			many = append(many, files.File{Name: fmt.Sprintf("f-%d.ini", i), Content: big[:files.MaxFileBytes]})
		}
		_, err = files.Merge(files.Set{Files: many})
		Expect(files.Problems(err)[0].Detail).To(ContainSubstring("want at most 4194304"))
		_, err = files.Merge(files.Set{Files: make([]files.File, files.MaxFiles+1)})
		Expect(files.Problems(err)[0].Detail).To(ContainSubstring("want at most 16384"))
	})

	// Guards against a report that stops at the first invalid file of a folder on disk.
	ginkgo.It("reports every problem of a folder on disk", func() {
		dir := ginkgo.GinkgoT().TempDir()
		Expect(os.Mkdir(filepath.Join(dir, "sub"), 0o700)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, ".hidden"), nil, 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, "A.ini"), nil, 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, "b.ini"), []byte("[zone a]\nstate = up"), 0o600)).To(Succeed())
		_, err := files.ReadFolder(dir)
		Expect(files.Problems(err)).To(HaveLen(3))
	})
})

var _ = ginkgo.Describe("Merger", func() {
	// Guards against stale parse results of a file that was changed, removed or invalid in an earlier merge.
	ginkgo.It("gives the same result as the function Merge for each folder", func() {
		merger := new(files.Merger)
		for _, contents := range [][]string{
			{"[service a]\nslots = 3\n", "[zone z]\nstate = out\n"},
			{"[service a]\nslots = 0\n", "[zone z]\nstate = out\n"},
			{"[service a]\nslots = 4\n"},
			{"[service a]\nslots = 4\n", "[service a]\nslots = 5\n"},
		} {
			var set files.Set
			for i, content := range contents {
				set.Files = append(set.Files, files.File{Name: fmt.Sprintf("%d.ini", i), Content: content})
			}
			want, wantErr := files.Merge(set)
			got, err := merger.Merge(set)
			Expect(got).To(Equal(want))
			Expect(files.Problems(err)).To(Equal(files.Problems(wantErr)))
		}
	})
})

var _ = ginkgo.Describe("Apply", func() {
	// Guards against a change that is applied twice or after a missing one.
	ginkgo.It("accepts only the next revision", func() {
		set := files.Set{Revision: 3, Files: []files.File{{Name: "a.ini"}, {Name: "c.ini"}}}
		change := files.Change{Revision: 4, Put: []files.File{{Name: "b.ini"}}, Remove: []string{"a.ini"}}
		next, err := files.Apply(set, change)
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(Equal(files.Set{Revision: 4, Files: []files.File{{Name: "b.ini"}, {Name: "c.ini"}}}))
		_, err = files.Apply(next, change)
		Expect(code.Of(err).Code).To(Equal(code.StaleRevision))
		_, err = files.Apply(set, files.Change{Revision: 5})
		Expect(code.Of(err).Code).To(Equal(code.StaleRevision))
	})
})

var everyKey = fmt.Sprintf(`
[service orders]
owner = shop = team # 1
zones = a, b-1
timeout = 3s
class = write
checks = GET /check/*
uploads = PUT /photo/**
non-idempotent = PUT /a, * /b/**
idempotent = POST /search
slots = 14
queue = 0
check-reserve = 3
upload-share = 0.25
retry-share = 0.05
hedge-share = 0
claim = true
claim-retention = 48h
sheds-before-run = true
reports-load = true
health-path = /up
connections = 260
cold-rate = 25.5

[service stock]

[route lookups]
host = jars.example
prefix = /jars/
services = orders:90, stock:10
kind = once
timeout = 800ms
objective = 400ms
priority = 2
servers = 3
public = false

[organisation bakers]
name = Bakers & Sons
key-digests = %s, %s
priority = 3
rate = 12.5
burst = 40

[roll-out orders]
target = v2
duration = 15s
order = 412

[precedence]
enabled = true

[callers]
header-bytes = 16384
body-bytes = 1048576
header-timeout = 3s
idle-timeout = 15s

[zone a]
state = out

[server [::1]:7000]
state = leaving

[budgets]
probes-per-second = 10
head-reads-per-second = 20.5
exchanges-per-second = 4
`, config.DigestKey("first"), config.DigestKey("second"))

var _ = ginkgo.Describe("organisations", func() {
	// Guards against a key that is disclosed by an error, and against one that identifies two organisations.
	ginkgo.It("have keys of their own, which errors do not quote", func() {
		_, err := files.Merge(files.Set{Files: []files.File{{Name: "a.ini", Content: "[organisation a]\nkey-digests = th5mgjy5rcp\n"}}})
		problems := files.Problems(err)
		Expect(problems).To(HaveLen(1))
		Expect(problems[0].Detail).NotTo(ContainSubstring("th5m"))
		digest := config.DigestKey("shared").String()
		_, err = files.Merge(files.Set{Files: []files.File{{
			Name: "a.ini", Content: "[organisation a]\nkey-digests = " + digest + "\n[organisation b]\nkey-digests = " + digest + "\n",
		}}})
		problems = files.Problems(err)
		Expect(problems).To(HaveLen(1))
		Expect(problems[0].Key).To(Equal("[organisation b] key-digests"))
		Expect(problems[0].Line).To(Equal(4))
	})
})
