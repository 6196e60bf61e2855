package files

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// Merged is the folder merged in the order of the file names: a later name takes precedence, key by key.
type Merged struct {
	Config *config.Config
	Keys   map[ID]Entry    // the entry in force for each key that any file sets
	Files  map[string][]ID // the keys that each file sets, in its order
}

// builder collects the configuration while files are merged.
type builder struct {
	config *config.Config
}

func newBuilder() *builder {
	return &builder{config: &config.Config{
		Services: map[string]*config.Service{},
		Zones:    map[string]config.ZoneState{},
		Servers:  map[netip.AddrPort]config.ServerState{},
		Routes:   map[string]*config.Route{},
		Callers:  config.DefaultCallerLimits(),
		Budgets:  config.DefaultBudgets(),
	}}
}

func (b *builder) service(name string) *config.Service {
	service, found := b.config.Services[name]
	if !found {
		service = config.NewService(name)
		b.config.Services[name] = service
	}
	return service
}

func (b *builder) route(name string) *config.Route {
	route, found := b.config.Routes[name]
	if !found {
		route = config.NewRoute(name)
		b.config.Routes[name] = route
	}
	return route
}

// Merger merges one revision of the folder after another, and parses only the files that are not as in the one before: a
// change concerns few of thousands of files. It is not safe for use by several goroutines at once.
type Merger struct {
	parsed map[string]parsedFile // by name, as of the last folder
}

type parsedFile struct {
	content  string
	settings []setting
	problems []Problem
}

// Merge parses and merges the folder. Its error is coded InvalidConfig and has an InvalidError with every problem of every
// file in its chain.
func Merge(set Set) (*Merged, error) {
	return new(Merger).Merge(set)
}

// Merge does the same as the function Merge.
func (m *Merger) Merge(set Set) (*Merged, error) {
	if problems := checkFolder(set); len(problems) > 0 {
		return nil, invalid(problems)
	}
	sorted := slices.Clone(set.Files)
	slices.SortStableFunc(sorted, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	merged := &Merged{Keys: make(map[ID]Entry, len(sorted)), Files: make(map[string][]ID, len(sorted))}
	b := newBuilder()
	b.config.Revision = set.Revision
	parsed := make(map[string]parsedFile, len(sorted))
	var problems []Problem
	for _, file := range sorted {
		if _, found := merged.Files[file.Name]; found {
			problems = append(problems, Problem{File: file.Name, Detail: "the name occurs twice"})
			continue
		}
		read, found := m.parsed[file.Name]
		if !found || read.content != file.Content {
			read = parsedFile{content: file.Content}
			read.settings, read.problems = parse(file)
		}
		parsed[file.Name] = read
		problems = append(problems, read.problems...)
		merged.Files[file.Name] = nil
		for _, s := range read.settings {
			merged.Keys[s.ID] = s.Entry
			merged.Files[file.Name] = append(merged.Files[file.Name], s.ID)
			b.apply(s)
		}
	}
	m.parsed = parsed
	merged.Config = b.config
	problems = append(problems, merged.checkServices()...)
	if len(problems) == 0 { // a bad value leaves its route incomplete
		problems = merged.checkRoutes()
	}
	if err := invalid(problems); err != nil {
		return nil, err
	}
	merged.Config.Index()
	return merged, nil
}

// apply sets a key. The parser has already reported a bad value.
func (b *builder) apply(s setting) {
	if s.key.set == nil {
		b.service(s.ID.Name)
		return
	}
	_ = s.key.set(b, s.ID.Name, s.Value) // reported by the parser
}

func checkFolder(set Set) []Problem {
	if len(set.Files) > MaxFiles {
		return []Problem{{File: "folder", Detail: fmt.Sprintf("%d files: want at most %d", len(set.Files), MaxFiles)}}
	}
	total := 0
	for _, file := range set.Files {
		total += len(file.Content)
	}
	if total > MaxFolderBytes {
		return []Problem{{File: "folder", Detail: fmt.Sprintf("%d bytes: want at most %d", total, MaxFolderBytes)}}
	}
	return nil
}

// checkServices checks the bounds between keys, which may come from different files.
func (m *Merged) checkServices() []Problem {
	var problems []Problem
	for _, name := range slices.Sorted(maps.Keys(m.Config.Services)) {
		service := m.Config.Services[name]
		if service.CheckReserve < service.Slots {
			continue
		}
		id := ID{Section: ServiceSection, Name: name, Key: "check-reserve"}
		entry, found := m.Keys[id]
		if !found { // the default of check-reserve is too high for the slots that a file sets
			entry = m.Keys[ID{Section: ServiceSection, Name: name, Key: "slots"}]
		}
		detail := fmt.Sprintf("check-reserve is %d: want less than the %d slots", service.CheckReserve, service.Slots)
		problems = append(problems, Problem{File: entry.File, Line: entry.Line, Key: id.String(), Detail: detail})
	}
	return problems
}

// checkRoutes checks that each route is complete and leads to services that are configured.
func (m *Merged) checkRoutes() []Problem {
	var problems []Problem
	for _, name := range slices.Sorted(maps.Keys(m.Config.Routes)) {
		route := m.Config.Routes[name]
		detail := ""
		switch {
		case route.Host == "":
			detail = "the route has no host"
		case route.Prefix == "":
			detail = "the route has no prefix"
		case len(route.Parts) == 0:
			detail = "the route has no services"
		}
		for _, part := range route.Parts {
			if m.Config.Services[part.Service] == nil {
				detail = fmt.Sprintf("service %s is not configured", part.Service)
			}
		}
		if detail == "" {
			continue
		}
		problem := Problem{Key: header(RouteSection, name), Detail: detail}
		for _, key := range []string{"services", "host", "prefix"} {
			if entry, found := m.Keys[ID{Section: RouteSection, Name: name, Key: key}]; found {
				problem.File, problem.Line = entry.File, entry.Line
				break
			}
		}
		problems = append(problems, problem)
	}
	return problems
}

// Entries returns the entries in force, sorted by section, name and key.
func (m *Merged) Entries() []Entry {
	return slices.SortedFunc(maps.Values(m.Keys), func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(a.ID.Section, b.ID.Section),
			cmp.Compare(a.ID.Name, b.ID.Name),
			cmp.Compare(a.ID.Key, b.ID.Key),
		)
	})
}

// OverriddenBy returns a file that overrides a key of the named file, when later names override all of its keys.
func (m *Merged) OverriddenBy(name string) (other Entry, overridden bool) {
	for _, id := range m.Files[name] {
		other = m.Keys[id]
		if other.File == name {
			return Entry{}, false
		}
	}
	return other, len(m.Files[name]) > 0
}
