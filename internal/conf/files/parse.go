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
	Name    string // of the section; empty for budgets
	Key     string // empty for the declaration of a service without keys
}

// String returns the id as "[section name] key".
func (id ID) String() string {
	text := header(id.Section, id.Name)
	if id.Key != "" {
		text += " " + id.Key
	}
	return text
}

// Entry is a key that a file sets.
type Entry struct {
	ID    ID
	Value string
	File  string
	Line  int
}

// setting is an entry with its place in the table of keys.
type setting struct {
	Entry
	key Key // zero for a declaration
}

var keyLine = regexp.MustCompile(`^([a-z][a-z0-9-]*)[ \t]*=(.*)$`)

// parser reads one file. Its own pass over the lines checks the grammar, which is stricter than that of the INI library,
// and finds the line of each key; the library reads the values.
type parser struct {
	file     File
	problems []Problem
	lines    map[string]map[string]int // line by section header and key
	order    []string                  // section headers in the order of the file
	headers  map[string]int            // line of each header
}

// parse returns the settings of a file in the order of its sections and keys.
func parse(file File) ([]setting, []Problem) {
	p := &parser{file: file, lines: map[string]map[string]int{}, headers: map[string]int{}}
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
		ChildSectionDelimiter:   "\n", // cannot occur in a name, so that no section inherits from another
	}
}

func (p *parser) add(line int, key, detail string) {
	p.problems = append(p.problems, Problem{File: p.file.Name, Line: line, Key: key, Detail: detail})
}

// scan checks the grammar of each line and returns the content without the lines that the library must not see, so that
// the other keys of the file are still checked. The keys of a wrong section are left out: they can't be judged.
func (p *parser) scan() (content string, ok bool) {
	if !utf8.ValidString(p.file.Content) {
		p.add(0, "", "the file is not UTF-8 text")
		return "", false
	}
	section, skip := "", false
	lines := strings.Split(p.file.Content, "\n")
	for i, line := range lines {
		line = strings.TrimSpace(strings.TrimSuffix(line, "\r"))
		keep := true
		switch {
		case strings.IndexFunc(line, isControl) >= 0:
			p.add(i+1, "", "the line has a control character")
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

const wantSections = "[service NAME], [zone NAME], [server ADDRESS], [route NAME], [callers] or [budgets]"

func (p *parser) scanHeader(line int, text string) (name string, ok bool) {
	name = strings.TrimSuffix(strings.TrimPrefix(text, "["), "]")
	if !strings.HasSuffix(text, "]") || name != strings.TrimSpace(name) || name == "" {
		p.add(line, "", fmt.Sprintf("%q: want a section as %s", clip(text), wantSections))
		return "", false
	}
	if first, found := p.headers[name]; found {
		p.add(line, "["+name+"]", fmt.Sprintf("the section is already on line %d", first))
		return name, true
	}
	if _, _, detail := splitHeader(name); detail != "" {
		p.add(line, "["+clip(name)+"]", detail)
		return "", false
	}
	p.headers[name] = line
	p.order = append(p.order, name)
	p.lines[name] = map[string]int{}
	return name, true
}

func (p *parser) scanKey(line int, section, text string) (ok bool) {
	match := keyLine.FindStringSubmatch(text)
	if match == nil {
		p.add(line, "", fmt.Sprintf("%q: want key = value with a key in kebab case", clip(text)))
		return false
	}
	key, value := match[1], strings.TrimSpace(match[2])
	if section == "" {
		p.add(line, key, "the key is in no section")
		return false
	}
	shown := "[" + section + "] " + key
	if first, found := p.lines[section][key]; found {
		p.add(line, shown, fmt.Sprintf("the key is already on line %d", first))
		return false
	}
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'") {
		p.add(line, shown, "a value has no quotes")
		return false
	}
	p.lines[section][key] = line
	return true
}

// clip bounds the text that an error repeats.
func clip(text string) string {
	const most = 80
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "") + "..."
}

// splitHeader reads a section header without its brackets; detail says what is wrong with it.
func splitHeader(text string) (section Section, name, detail string) {
	kind, name, named := strings.Cut(text, " ")
	switch kind {
	case BudgetsSection.String():
		if named {
			return BudgetsSection, "", "the section has no name"
		}
		return BudgetsSection, "", ""
	case ServiceSection.String():
		section = ServiceSection
	case CallersSection.String():
		if named {
			return CallersSection, "", "the section has no name"
		}
		return CallersSection, "", ""
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

// checkAddress accepts one spelling of each address, so that two files can't mean the same server by different keys.
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
	trial := newBuilder()
	for _, text := range p.order {
		kind, name, _ := splitHeader(text)
		section, err := loaded.GetSection(text)
		if err != nil {
			p.add(p.headers[text], "["+text+"]", err.Error())
			continue
		}
		declared := section.Keys()
		if len(declared) == 0 && len(p.lines[text]) == 0 {
			settings = p.declare(settings, kind, name, p.headers[text])
		}
		for _, key := range declared {
			id := ID{Section: kind, Name: name, Key: key.Name()}
			line := p.lines[text][key.Name()]
			described, found := findKey(kind, key.Name())
			if !found {
				p.add(line, id.String(), "unknown key")
				continue
			}
			entry := Entry{ID: id, Value: key.Value(), File: p.file.Name, Line: line}
			if err := described.set(trial, name, entry.Value); err != nil {
				p.add(line, id.String(), err.Error())
			}
			settings = append(settings, setting{Entry: entry, key: described})
		}
	}
	return settings
}

// declare records a section without keys, which only a service may have: it then has every default.
func (p *parser) declare(settings []setting, kind Section, name string, line int) []setting {
	id := ID{Section: kind, Name: name}
	if kind != ServiceSection {
		p.add(line, id.String(), "the section has no key")
		return settings
	}
	return append(settings, setting{Entry: Entry{ID: id, File: p.file.Name, Line: line}})
}

func header(section Section, name string) string {
	if name == "" {
		return "[" + section.String() + "]"
	}
	return "[" + section.String() + " " + name + "]"
}
