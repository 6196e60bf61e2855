package files

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"marigoldwinch.example/marigoldwinch/internal/conf/config"
)

// Merged is the result of merging a folder in the order of the file names. For each key, the last file that sets it wins.
type Merged struct {
	Config *config.Config
	Keys   map[ID]Entry    // the effective entry of each key that any file sets
	Files  map[string][]ID // the keys that each file sets, in the order of the file
}

// builder assembles the configuration while files are merged.
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

		Organisations: map[string]*config.Organisation{},
		Rollouts:      map[string]*config.Rollout{},
	}}
}

func (b *builder) service(name string) *config.Service {
	return named(b.config.Services, name, config.NewService)
}

func (b *builder) route(name string) *config.Route {
	return named(b.config.Routes, name, config.NewRoute)
}

func (b *builder) organisation(name string) *config.Organisation {
	return named(b.config.Organisations, name, config.NewOrganisation)
}

func (b *builder) rollout(service string) *config.Rollout {
	return named(b.config.Rollouts, service, config.NewRollout)
}

// named returns the value of a name, which is created on first use.
func named[T any](values map[string]*T, name string, create func(name string) *T) *T {
	value, found := values[name]
	if !found {
		value = create(name)
		values[name] = value
	}
	return value
}

// Merger merges successive revisions of the folder. It parses only the files that have changed since the previous merge,
// because a change concerns few of thousands of files. It is not safe for concurrent use.
type Merger struct {
	parsed map[string]parsedFile // by file name, from the previous merge
}

type parsedFile struct {
	content  string
	settings []setting
	problems []Problem
}

// Merge parses and merges the folder. Its error has the code InvalidConfig and wraps an InvalidError that lists the problems
// of all files.
func Merge(set Set) (*Merged, error) {
	return new(Merger).Merge(set)
}

// Merge parses and merges the folder with the same result as the package-level Merge.
func (m *Merger) Merge(set Set) (*Merged, error) {
	if problems := checkFolder(set); len(problems) > 0 {
		return nil, newInvalidError(problems)
	}
	sorted := slices.Clone(set.Files)
	slices.SortStableFunc(sorted, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	merged := &Merged{Keys: make(map[ID]Entry, len(sorted)), Files: make(map[string][]ID, len(sorted))}
	b := newBuilder()
	b.config.Revision, b.config.Serial = set.Revision, set.Serial
	parsed := make(map[string]parsedFile, len(sorted))
	var problems []Problem
	for _, file := range sorted {
		if _, found := merged.Files[file.Name]; found {
			problems = append(problems, Problem{File: file.Name, Detail: "duplicate file name"})
			continue
		}
		cached, found := m.parsed[file.Name]
		if !found || cached.content != file.Content {
			cached = parsedFile{content: file.Content}
			cached.settings, cached.problems = parse(file)
		}
		parsed[file.Name] = cached
		problems = append(problems, cached.problems...)
		merged.Files[file.Name] = nil
		for _, s := range cached.settings {
			merged.Keys[s.ID] = s.Entry
			merged.Files[file.Name] = append(merged.Files[file.Name], s.ID)
			b.apply(s)
		}
	}
	m.parsed = parsed
	merged.Config = b.config
	problems = append(problems, merged.checkServices()...)
	if len(problems) == 0 { // skipped after an invalid value, which leaves its route incomplete
		problems = slices.Concat(merged.checkRoutes(), merged.checkOrganisations(), merged.checkRollouts())
	}
	if err := newInvalidError(problems); err != nil {
		return nil, err
	}
	merged.Config.Index()
	return merged, nil
}

// apply sets a key, or creates the service of a section without keys.
func (b *builder) apply(s setting) {
	if s.key.set == nil {
		b.service(s.ID.Name)
		return
	}
	_ = s.key.set(b, s.ID.Name, s.Value) // the parser has already reported an invalid value
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

// checkServices checks constraints between keys of a service, which may be set in different files.
func (m *Merged) checkServices() []Problem {
	var problems []Problem
	for _, name := range slices.Sorted(maps.Keys(m.Config.Services)) {
		service := m.Config.Services[name]
		if service.CheckReserve < service.Slots {
			continue
		}
		id := ID{Section: ServiceSection, Name: name, Key: "check-reserve"}
		entry, found := m.Keys[id]
		if !found { // a file sets slots so low that the default of check-reserve is invalid
			entry = m.Keys[ID{Section: ServiceSection, Name: name, Key: "slots"}]
		}
		detail := fmt.Sprintf("check-reserve is %d: want less than the %d slots", service.CheckReserve, service.Slots)
		problems = append(problems, Problem{File: entry.File, Line: entry.Line, Key: id.String(), Detail: detail})
	}
	return problems
}

// checkRoutes checks that each route has its required keys and that its services are configured.
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
		problem := Problem{Key: formatHeader(RouteSection, name), Detail: detail}
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

// Entries returns the effective entries, sorted by section, name and key.
func (m *Merged) Entries() []Entry {
	return slices.SortedFunc(maps.Values(m.Keys), func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(a.ID.Section, b.ID.Section),
			cmp.Compare(a.ID.Name, b.ID.Name),
			cmp.Compare(a.ID.Key, b.ID.Key),
		)
	})
}

// OverriddenBy reports whether later files override every key of the named file. If so, other is one of the overriding
// entries.
func (m *Merged) OverriddenBy(name string) (other Entry, overridden bool) {
	for _, id := range m.Files[name] {
		other = m.Keys[id]
		if other.File == name {
			return Entry{}, false
		}
	}
	return other, len(m.Files[name]) > 0
}
