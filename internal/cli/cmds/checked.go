package cmds

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/conf/change"
	"marigoldwinch.example/marigoldwinch/internal/conf/files"
	"marigoldwinch.example/marigoldwinch/internal/conf/lint"
	"marigoldwinch.example/marigoldwinch/internal/plat/rest"
	"marigoldwinch.example/marigoldwinch/platform"
)

// hostedExtension is that of a file with the operators' record of a hosted platform.
const hostedExtension = ".json"

type checkedJSON struct {
	Files      int              `json:"files"`
	Services   int              `json:"services"`
	Overridden []string         `json:"overridden"`
	Findings   []findingJSON    `json:"findings"`
	Against    uint64           `json:"against-revision,omitempty"`
	Changes    []differenceJSON `json:"changes,omitempty"`
}

type findingJSON struct {
	Kind   string `json:"kind"`
	File   string `json:"file"`
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Detail string `json:"detail"`
}

type differenceJSON struct {
	For    string `json:"for"`
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// checkResult is a valid configuration with what was found in it.
type checkResult struct {
	files    []files.File
	merged   *files.Merged
	findings []lint.Finding
	hosted   bool          // files are translated from the operators' record
	against  *files.Merged // in force; nil without a comparison
}

// check reads and merges a configuration.
func check(path string) (*checkResult, error) {
	c := &checkResult{hosted: filepath.Ext(path) == hostedExtension}
	var err error
	if c.hosted {
		err = c.readHosted(path)
	} else {
		c.files, err = files.ReadFolder(path)
	}
	if err != nil {
		return nil, err
	}
	if c.merged, err = files.Merge(files.Set{Files: c.files}); err != nil {
		return nil, err
	}
	c.findings = append(c.findings, lint.Check(c.merged)...)
	return c, nil
}

// readHosted translates the operators' record. Its odd entries, which daemons would leave out, are findings.
func (c *checkResult) readHosted(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return code.NotRunf(code.BadRequest, "open file").WithCause(err)
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, files.MaxFolderBytes))
	if err != nil {
		return code.NotRunf(code.BadRequest, "read file").WithCause(err)
	}
	folder, odd, err := platform.Translate(content)
	if err != nil {
		return code.NotRunf(code.InvalidConfig, "%s", path).WithCause(err)
	}
	c.files = folder
	for _, detail := range odd {
		c.findings = append(c.findings, lint.Finding{Kind: lint.NoEffect, Problem: files.Problem{File: filepath.Base(path), Detail: detail}})
	}
	return nil
}

// compare reads the configuration in force.
func (c *checkResult) compare(cmd *cobra.Command, p *platformFlags) error {
	set, err := c.inForce(cmd, p)
	if err != nil {
		return err
	}
	c.against, err = files.Merge(set)
	return err
}

func (c *checkResult) inForce(cmd *cobra.Command, p *platformFlags) (files.Set, error) {
	writer, err := p.writer(cmd.ErrOrStderr(), false)
	if err != nil {
		return files.Set{}, err
	}
	if !c.hosted {
		return writer.Show(cmd.Context(), 0)
	}
	client := rest.Client{Address: netip.MustParseAddrPort(p.table), Timeout: p.timeout}
	set, _, err := (&platform.Intent{Client: client, Log: writer.Log}).Next(cmd.Context(), 0, 0)
	return set, err
}

// describe lists the files without effect, which config add would reject, the findings, and what would change.
func (c *checkResult) describe() (encoded checkedJSON, text string) {
	encoded = checkedJSON{
		Files: len(c.files), Services: len(c.merged.Config.Services), Overridden: []string{}, Findings: []findingJSON{},
	}
	var lines strings.Builder
	fmt.Fprintf(&lines, "valid: %d files, %d services\n", encoded.Files, encoded.Services)
	for _, file := range c.files {
		if other, overridden := c.merged.OverriddenBy(file.Name); overridden {
			encoded.Overridden = append(encoded.Overridden, file.Name)
			fmt.Fprintf(&lines, "no effect: every key of %s is overridden, %s by %s\n", file.Name, other.ID, other.File)
		}
	}
	for _, f := range c.findings {
		found := findingJSON{Kind: f.Kind.String(), File: f.File, Line: f.Line, Key: f.Key, Detail: f.Detail}
		encoded.Findings = append(encoded.Findings, found)
		fmt.Fprintf(&lines, "%s: %s\n", f.Kind, f.Problem)
	}
	if c.against != nil {
		encoded.Against = c.against.Config.Revision
		encoded.Changes = c.changes()
		fmt.Fprintf(&lines, "%d changes against revision %d\n", len(encoded.Changes), encoded.Against)
	}
	for _, changed := range encoded.Changes {
		fmt.Fprintf(&lines, "  for %s: %s: %s to %s\n", changed.For, changed.Key, changed.Before, changed.After)
	}
	return encoded, lines.String()
}

func (c *checkResult) changes() []differenceJSON {
	list := []differenceJSON{}
	for _, effect := range change.Effects(c.against, c.merged) {
		if section := effect.Key.Section; c.hosted && (section == files.ZoneSection || section == files.RolloutSection) {
			continue // ordered beside the record
		}
		list = append(list, differenceJSON{
			For: c.audience(effect.Key), Key: effect.Key.String(), Before: c.value(c.against, effect.Key), After: c.value(c.merged, effect.Key),
		})
	}
	return list
}

// value returns the value of a key as it is in force, with the default of one that is not set.
func (c *checkResult) value(merged *files.Merged, id files.ID) string {
	if entry, found := merged.Keys[id]; found {
		return fmt.Sprintf("%q", entry.Value)
	}
	for _, key := range files.Keys() {
		if key.Section == id.Section && key.Name == id.Key {
			return fmt.Sprintf("the default (%s)", key.Default)
		}
	}
	return "nothing"
}

// audience tells whom a key concerns.
func (c *checkResult) audience(id files.ID) string {
	switch id.Section {
	case files.ServiceSection, files.RolloutSection:
		return "requests to " + id.Name
	case files.ZoneSection:
		return "servers in zone " + id.Name
	case files.ServerSection:
		return "the server at " + id.Name
	case files.RouteSection:
		for _, merged := range []*files.Merged{c.merged, c.against} {
			if route := merged.Config.Routes[id.Name]; route != nil {
				return "callers of " + route.Host + route.Prefix
			}
		}
	case files.OrganisationSection:
		return "organisation " + id.Name
	case files.BudgetsSection:
		return "all daemons"
	}
	return "all callers"
}
