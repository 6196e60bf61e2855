package files

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// ID names a key of the merged configuration.
type ID struct {
	Section Section
	Name    string // of the section; empty for budgets and callers
	Key     string // empty for a service section without keys
}

// String returns the id as "[section name] key".
func (id ID) String() string {
	text := formatHeader(id.Section, id.Name)
	if id.Key != "" {
		text += " " + id.Key
	}
	return text
}

// Entry is the value that a file sets for a key.
type Entry struct {
	ID    ID
	Value string
	File  string
	Line  int
}

// setting is an entry together with the description of its key.
type setting struct {
	Entry
	key Key // zero for a service section without keys
}

var keyLinePattern = regexp.MustCompile(`^([a-z][a-z0-9-]*)[ \t]*=(.*)$`)

// parser parses one file. It scans the lines itself to check the grammar, which is stricter than that of the INI library, and
// to record the line of each key; the values come from the library.
type parser struct {
	file        File
	problems    []Problem
	keyLines    map[string]map[string]int // line of each key, by section header
	sections    []string                  // section headers in the order of the file
	headerLines map[string]int            // line of each header
}

// parse returns the settings of a file in the order of its sections and keys.
func parse(file File) ([]setting, []Problem) {
	p := &parser{file: file, keyLines: map[string]map[string]int{}, headerLines: map[string]int{}}
	if !ValidFileName(file.Name) {
		p.add(0, "", fmt.Sprintf("file name: want lower-case letters and digits with hyphens, then .ini, at most %d bytes", MaxNameBytes))
		return nil, p.problems
	}
	if len(file.Content) > MaxFileBytes {
		p.add(0, "", fmt.Sprintf("%d bytes: want at most %d", len(file.Content), MaxFileBytes))
		return nil, p.problems
	}
	content, ok := p.scan()
	if !ok {
		return nil, p.problems
	}
	loaded, err := ini.LoadSources(loadOptions(), []byte(content))
	if err != nil {
		p.add(0, "", err.Error())
		return nil, p.problems
	}
	settings := p.settings(loaded)
	if len(p.problems) == 0 && len(settings) == 0 {
		p.add(0, "", "the file sets no key")
	}
	return settings, p.problems
}

func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:      true,
		IgnoreInlineComment:     true,
		PreserveSurroundedQuote: true,
		KeyValueDelimiters:      "=",
		ChildSectionDelimiter:   "\n", // cannot occur in a section name, which turns off inheritance between sections
	}
}

func (p *parser) add(line int, key, detail string) {
	p.problems = append(p.problems, Problem{File: p.file.Name, Line: line, Key: key, Detail: detail})
}

// scan checks the grammar of each line. It returns the content without the invalid lines, so that the library can parse the
// rest of the file and the other keys are still checked. Keys in a section with an invalid header are left out, because
// they cannot be checked without a section.
func (p *parser) scan() (content string, ok bool) {
	if !utf8.ValidString(p.file.Content) {
		p.add(0, "", "the file is not valid UTF-8")
		return "", false
	}
	section, skip := "", false
	lines := strings.Split(p.file.Content, "\n")
	for i, line := range lines {
		line = strings.TrimSpace(strings.TrimSuffix(line, "\r"))
		keep := true
		switch {
		case strings.IndexFunc(line, isControl) >= 0:
			p.add(i+1, "", "the line contains a control character")
			keep = false
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section, keep = p.scanHeader(i+1, line)
			skip = !keep
		case skip:
			keep = false
		default:
			keep = p.scanKey(i+1, section, line)
		}
		if !keep {
			lines[i] = ""
		}
	}
	return strings.Join(lines, "\n"), true
}

func isControl(r rune) bool {
	return r != '\t' && (unicode.IsControl(r) || r == '\uFEFF' || r == '\u2028' || r == '\u2029')
}

const wantSections = "[service NAME], [zone NAME], [server ADDRESS], [route NAME], [organisation NAME], [roll-out SERVICE], " +
	"[callers], [budgets] or [precedence]"

func (p *parser) scanHeader(line int, text string) (name string, ok bool) {
	name = strings.TrimSuffix(strings.TrimPrefix(text, "["), "]")
	if !strings.HasSuffix(text, "]") || name != strings.TrimSpace(name) || name == "" {
		p.add(line, "", fmt.Sprintf("%q: want a section as %s", clip(text), wantSections))
		return "", false
	}
	if first, found := p.headerLines[name]; found {
		p.add(line, "["+name+"]", fmt.Sprintf("duplicate section, first on line %d", first))
		return name, true
	}
	if _, _, detail := splitHeader(name); detail != "" {
		p.add(line, "["+clip(name)+"]", detail)
		return "", false
	}
	p.headerLines[name] = line
	p.sections = append(p.sections, name)
	p.keyLines[name] = map[string]int{}
	return name, true
}

func (p *parser) scanKey(line int, section, text string) (ok bool) {
	match := keyLinePattern.FindStringSubmatch(text)
	if match == nil {
		p.add(line, "", fmt.Sprintf("%q: want key = value with a key in kebab case", clip(text)))
		return false
	}
	key, value := match[1], strings.TrimSpace(match[2])
	if section == "" {
		p.add(line, key, "the key is outside of a section")
		return false
	}
	label := "[" + section + "] " + key
	if first, found := p.keyLines[section][key]; found {
		p.add(line, label, fmt.Sprintf("duplicate key, first on line %d", first))
		return false
	}
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'") {
		p.add(line, label, "a value must not start with a quote")
		return false
	}
	p.keyLines[section][key] = line
	return true
}

// clip shortens text from a file that is quoted in an error.
func clip(text string) string {
	const maxBytes = 80
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "..."
}

// splitHeader parses a section header without its brackets. detail describes the error, or is empty if there is none.
func splitHeader(text string) (section Section, name, detail string) {
	kind, name, named := strings.Cut(text, " ")
	switch kind {
	case BudgetsSection.String():
		return unnamedSection(BudgetsSection, named)
	case CallersSection.String():
		return unnamedSection(CallersSection, named)
	case PrecedenceSection.String():
		return unnamedSection(PrecedenceSection, named)
	case ServiceSection.String():
		section = ServiceSection
	case OrganisationSection.String():
		section = OrganisationSection
	case RolloutSection.String():
		section = RolloutSection
	case ZoneSection.String():
		section = ZoneSection
	case RouteSection.String():
		section = RouteSection
	case ServerSection.String():
		return ServerSection, name, checkAddress(name)
	default:
		return 0, "", "unknown section: want " + wantSections
	}
	if !ValidSectionName(name) {
		const want = "name %q: want lower-case letters and digits with hyphens, at most %d bytes"
		return section, name, fmt.Sprintf(want, name, maxSectionNameBytes)
	}
	return section, name, ""
}

func unnamedSection(section Section, named bool) (Section, string, string) {
	if named {
		return section, "", "this section takes no name"
	}
	return section, "", ""
}

// checkAddress accepts only the canonical spelling of an address, so that files cannot name the same server in two ways. It
// returns a description of the error, or an empty string.
func checkAddress(name string) string {
	address, err := netip.ParseAddrPort(name)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" || address.Addr().Is4In6() {
		return fmt.Sprintf("address %q: want IP:PORT of the server's daemon", name)
	}
	if address.String() != name {
		return fmt.Sprintf("address %q: write it as %s", name, address)
	}
	return ""
}

func (p *parser) settings(loaded *ini.File) []setting {
	var settings []setting
	scratch := newBuilder()
	for _, text := range p.sections {
		kind, name, _ := splitHeader(text)
		section, err := loaded.GetSection(text)
		if err != nil {
			p.add(p.headerLines[text], "["+text+"]", err.Error())
			continue
		}
		declared := section.Keys()
		if len(declared) == 0 && len(p.keyLines[text]) == 0 {
			settings = p.declareService(settings, kind, name, p.headerLines[text])
		}
		for _, key := range declared {
			id := ID{Section: kind, Name: name, Key: key.Name()}
			line := p.keyLines[text][key.Name()]
			spec, found := findKey(kind, key.Name())
			if !found {
				p.add(line, id.String(), "unknown key")
				continue
			}
			entry := Entry{ID: id, Value: key.Value(), File: p.file.Name, Line: line}
			if err := spec.set(scratch, name, entry.Value); err != nil {
				p.add(line, id.String(), err.Error())
			}
			settings = append(settings, setting{Entry: entry, key: spec})
		}
	}
	return settings
}

// declareService records a section without keys. Only a service section may be empty: all its keys then have their default values.
func (p *parser) declareService(settings []setting, kind Section, name string, line int) []setting {
	id := ID{Section: kind, Name: name}
	if kind != ServiceSection {
		p.add(line, id.String(), "the section sets no key")
		return settings
	}
	return append(settings, setting{Entry: Entry{ID: id, File: p.file.Name, Line: line}})
}

func formatHeader(section Section, name string) string {
	if name == "" {
		return "[" + section.String() + "]"
	}
	return "[" + section.String() + " " + name + "]"
}
