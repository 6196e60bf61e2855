package opts

import (
	"bufio"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Load reads a settings file. The error lists every fault with file, section and key.
func Load(file string) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, code.NotRunf(code.BadSettings, "%s", file).WithCause(err)
	}
	return Parse(file, content)
}

// Parse reads settings from the content of a file.
func Parse(file string, content []byte) (*Settings, error) {
	options := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true, AllowShadows: true}
	parsed, err := ini.LoadSources(options, content)
	if err != nil {
		return nil, code.NotRunf(code.BadSettings, "%s", file).WithCause(err)
	}
	reader := &reader{file: file, source: parsed, settings: &Settings{}}
	reader.read()
	if len(reader.faults) > 0 {
		return nil, code.NotRunf(code.BadSettings, "%s", strings.Join(reader.faults, "\n"))
	}
	return reader.settings, nil
}

type reader struct {
	file     string
	source   *ini.File
	settings *Settings
	faults   []string
}

func (r *reader) read() {
	known := map[string]map[string]bool{}
	for _, key := range Keys() {
		if known[key.Section] == nil {
			known[key.Section] = map[string]bool{}
		}
		known[key.Section][key.Name] = true
		r.readKey(key)
	}
	r.refuseUnknown(known)
	r.checkTogether()
}

func (r *reader) readKey(key Key) {
	section := r.source.Section(key.Section)
	if !section.HasKey(key.Name) {
		if key.Required {
			r.fault(key.Section, key.Name, "missing")
			return
		}
		r.set(key, key.Default)
		return
	}
	values := section.Key(key.Name).ValueWithShadows()
	if len(values) > 1 {
		r.fault(key.Section, key.Name, "given more than once")
		return
	}
	r.set(key, section.Key(key.Name).Value())
}

func (r *reader) set(key Key, value string) {
	if err := key.set(r.settings, value); err != nil {
		r.fault(key.Section, key.Name, err.Error())
	}
}

func (r *reader) refuseUnknown(known map[string]map[string]bool) {
	for _, section := range r.source.Sections() {
		keys, exists := known[section.Name()]
		if !exists && section.Name() != ini.DefaultSection {
			r.faults = append(r.faults, r.file+": ["+section.Name()+"]: unknown section")
			continue
		}
		for _, name := range section.KeyStrings() {
			if !keys[name] {
				r.fault(section.Name(), name, "unknown key")
			}
		}
	}
}

func (r *reader) checkTogether() {
	s := r.settings
	if s.Admin.IsValid() && !s.Admin.Addr().IsLoopback() && s.AdminTokenFile == "" {
		r.fault("listen", "admin", "an address that is not loopback needs admin-token-file")
	}
	if s.Daemons.IsValid() && s.Daemons.Addr().IsUnspecified() {
		r.fault("listen", "daemons", "must be an address that other daemons can reach")
	}
}

func (r *reader) fault(section, key, text string) {
	r.faults = append(r.faults, r.file+": ["+section+"] "+key+": "+text)
}

// Token reads the administration token, or returns none when no file is set.
func (s *Settings) Token() (string, error) {
	if s.AdminTokenFile == "" {
		return "", nil
	}
	file, err := os.Open(s.AdminTokenFile)
	if err != nil {
		return "", errors.Wrap(err, "open admin token file")
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Scan()
	token := strings.TrimSpace(scanner.Text())
	if token == "" {
		return "", errors.Newf("admin token file %s is empty", s.AdminTokenFile)
	}
	return token, nil
}
