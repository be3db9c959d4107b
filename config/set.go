package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bronzehook/api"
)

// defaultReplicas is the number of tasks of work that names none.
const defaultReplicas = 1

// Set is a folder after merging and validation. It is immutable.
type Set struct {
	specs  map[string]api.Spec
	teams  map[string]api.Team
	floors api.Floors
}

// WorkSet returns the configuration at revision 0. Its maps are copies.
func (s *Set) WorkSet() api.WorkSet {
	return api.WorkSet{Specs: maps.Clone(s.specs), Teams: maps.Clone(s.teams), Floors: s.floors}
}

// Option adds a check to Parse.
type Option func(*merger)

// WithRegions refuses work that names a region outside the given ones. Without it, regions are not checked: an
// instance that adopts a recorded folder must not refuse it because its directory lags.
func WithRegions(names ...string) Option {
	return func(m *merger) { m.regions = slices.Sorted(slices.Values(names)) }
}

// Parse reads, merges and validates the files of a folder, keyed by file name. It fails with an InvalidError that holds
// every problem found.
func Parse(files map[string][]byte, options ...Option) (*Set, error) {
	m := &merger{entries: map[string]*entry{}}
	for _, option := range options {
		option(m)
	}
	m.checkFolder(files)
	for _, name := range slices.Sorted(maps.Keys(files)) {
		d, found := parseDocument(name, files[name])
		m.found = append(m.found, found...)
		if d != nil {
			m.merge(d)
		}
	}
	set := m.build()
	if err := m.found.err(); err != nil {
		return nil, err
	}
	return set, nil
}

// entry is what the files merged so far state under one name.
type entry struct {
	first  *document
	fields map[string]field
}

type merger struct {
	regions []string
	entries map[string]*entry
	found   problems
}

func (m *merger) checkFolder(files map[string][]byte) {
	if len(files) > MaxFiles {
		m.found.add(place{}, RuleLimit, "folder has %d files; at most %d are accepted", len(files), MaxFiles)
	}
	total := 0
	for _, content := range files {
		total += len(content)
	}
	if total > MaxFolderBytes {
		m.found.add(place{}, RuleLimit, "folder has %d bytes; at most %d are accepted", total, MaxFolderBytes)
	}
}

// entryKey separates the names of teams from those of work; a team and a service may share a name.
func entryKey(kind, name string) string {
	if kind == KindTeam || kind == KindFloors {
		return kind + "/" + name
	}
	return "work/" + name
}

func (m *merger) merge(d *document) {
	key := entryKey(d.kind, d.name)
	earlier, stated := m.entries[key]
	switch {
	case !stated && d.override:
		m.found.add(d.named, RuleOverride, "override of %s, but no earlier file states it", describe(d.kind, d.name))
	case !stated:
		m.entries[key] = &entry{first: d, fields: d.fields}
	case !d.override:
		m.found.add(d.named, RuleDuplicateName, "%s is already stated in %s; add \"override: true\" to replace keys of it",
			describe(d.kind, d.name), earlier.first.file)
	case d.kind != earlier.first.kind:
		m.found.add(d.named, RuleOverride, "%q is of kind %s in %s; an override cannot change the kind", d.name,
			earlier.first.kind, earlier.first.file)
	default:
		maps.Copy(earlier.fields, d.fields)
	}
}

func describe(kind, name string) string {
	if kind == KindFloors {
		return kind
	}
	return fmt.Sprintf("%s %q", kind, name)
}

func (m *merger) build() *Set {
	set := &Set{specs: map[string]api.Spec{}, teams: map[string]api.Team{}}
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		e := m.entries[key]
		m.checkRequired(e)
		switch e.first.kind {
		case KindTeam:
			set.teams[e.first.name] = buildTeam(e)
		case KindFloors:
			set.floors = m.buildFloors(e)
		default:
			m.checkWork(e)
			set.specs[e.first.name] = buildSpec(e)
		}
	}
	return set
}

func (m *merger) checkRequired(e *entry) {
	for _, key := range schemas[e.first.kind].required {
		if _, given := e.fields[key]; !given {
			m.found.add(e.first.start, RuleMissingKey, "key %q is missing; kind %s requires it", key, e.first.kind)
		}
	}
}

func (m *merger) checkWork(e *entry) {
	m.checkTeam(e)
	m.checkRegions(e)
	deadline, runTime := get[time.Duration](e, keyDeadline), get[time.Duration](e, keyRunTime)
	if deadline > 0 && runTime > deadline {
		m.found.add(e.fields[keyDeadline].place, RuleValue, "deadline %s is shorter than the run time %s", deadline, runTime)
	}
}

func (m *merger) checkTeam(e *entry) {
	team := get[string](e, keyTeam)
	if team == "" {
		return
	}
	if _, known := m.entries[entryKey(KindTeam, team)]; !known {
		m.found.add(e.fields[keyTeam].place, RuleUnknownTeam, "team %q is not stated in any file of kind team", team)
	}
}

func (m *merger) checkRegions(e *entry) {
	if m.regions == nil {
		return
	}
	for _, region := range get[[]string](e, keyRegions) {
		if _, known := slices.BinarySearch(m.regions, region); !known {
			m.found.add(e.fields[keyRegions].place, RuleUnknownRegion, "region %q is unknown; known: %v", region, m.regions)
		}
	}
}

func (m *merger) buildFloors(e *entry) api.Floors {
	var floors api.Floors
	sum := 0.0
	for u := range floors {
		floors[u] = get[float64](e, api.Urgency(u).String())
		sum += floors[u]
	}
	if sum > 100 {
		m.found.add(e.first.start, RuleValue, "the floors add up to %g%%; at most 100%% are accepted", sum)
	}
	return floors
}

func buildTeam(e *entry) api.Team {
	return api.Team{Name: e.first.name, Quota: buildResources(e), RequestsPerSecond: get[float64](e, keyRequestsPerSecond)}
}

func buildSpec(e *entry) api.Spec {
	replicas := defaultReplicas
	if stated, ok := e.fields[keyReplicas].value.(int); ok {
		replicas = stated
	}
	return api.Spec{
		Name:      e.first.name,
		Kind:      api.Kind(e.first.kind),
		Team:      get[string](e, keyTeam),
		Urgency:   get[api.Urgency](e, keyUrgency),
		Replicas:  replicas,
		Resources: buildResources(e),
		RunTime:   get[time.Duration](e, keyRunTime),
		Deadline:  get[time.Duration](e, keyDeadline),
		Regions:   get[[]string](e, keyRegions),
		Command:   get[[]string](e, keyCommand),
		File:      e.first.file,
	}
}

func buildResources(e *entry) api.Resources {
	return api.Resources{
		MilliCPU:     get[int64](e, keyCPU),
		MemoryMB:     get[int64](e, keyMemory),
		Accelerators: get[int64](e, keyAccelerators),
	}
}

// get returns the value of a key, or the zero value if the key is absent or its value was refused.
func get[T any](e *entry, key string) T {
	value, _ := e.fields[key].value.(T)
	return value
}
