package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bronzehook/api"
)

// defaultReplicas is the number of tasks of a workload that does not set the key replicas.
const defaultReplicas = 1

// Set is the merged and validated configuration of a folder. It is immutable.
type Set struct {
	specs  map[string]api.Spec
	teams  map[string]api.Team
	floors api.Floors
}

// WorkSet returns the configuration as a workload set with revision 0. Its maps are copies.
func (s *Set) WorkSet() api.WorkSet {
	return api.WorkSet{Specs: maps.Clone(s.specs), Teams: maps.Clone(s.teams), Floors: s.floors}
}

// Option enables an additional check in Parse.
type Option func(*merger)

// WithRegions refuses workloads in regions other than the given ones. Without this option, regions are not checked: an
// instance that loads a recorded configuration must not refuse it because its own directory is stale.
func WithRegions(names ...string) Option {
	return func(m *merger) { m.regions = slices.Sorted(slices.Values(names)) }
}

// Parse parses, merges and validates the files of a folder, keyed by file name. If there are problems, it fails with an
// InvalidError that reports all of them.
func Parse(files map[string][]byte, options ...Option) (*Set, error) {
	m := &merger{objects: map[string]*mergedObject{}}
	for _, option := range options {
		option(m)
	}
	m.checkFolder(files)
	for _, name := range slices.Sorted(maps.Keys(files)) {
		d, found := parseDocument(name, files[name])
		m.allProblems = append(m.allProblems, found...)
		if d != nil {
			m.merge(d)
		}
	}
	set := m.build()
	if err := m.allProblems.err(); err != nil {
		return nil, err
	}
	return set, nil
}

// mergedObject is a configuration object as declared and overridden by the files merged so far.
type mergedObject struct {
	// declaration is the file that declares the object.
	declaration *document
	// fields holds the values after all overrides.
	fields map[string]field
}

type merger struct {
	regions     []string
	objects     map[string]*mergedObject
	allProblems problems
}

func (m *merger) checkFolder(files map[string][]byte) {
	if len(files) > MaxFiles {
		m.allProblems.add(position{}, RuleLimit, "folder has %d files; at most %d are accepted", len(files), MaxFiles)
	}
	total := 0
	for _, content := range files {
		total += len(content)
	}
	if total > MaxFolderBytes {
		m.allProblems.add(position{}, RuleLimit, "folder has %d bytes; at most %d are accepted", total, MaxFolderBytes)
	}
}

// objectKey returns the key under which an object is merged. Teams and workloads have separate name spaces, so a team and
// a service may share a name.
func objectKey(kind, name string) string {
	if kind == KindTeam || kind == KindFloors {
		return kind + "/" + name
	}
	return "work/" + name
}

func (m *merger) merge(d *document) {
	key := objectKey(d.kind, d.name)
	earlier, declared := m.objects[key]
	switch {
	case !declared && d.override:
		m.allProblems.add(d.namePosition, RuleOverride, "override of %s, but no earlier file states it", objectLabel(d.kind, d.name))
	case !declared:
		m.objects[key] = &mergedObject{declaration: d, fields: d.fields}
	case !d.override:
		m.allProblems.add(d.namePosition, RuleDuplicateName, "%s is already stated in %s; add \"override: true\" to replace keys of it",
			objectLabel(d.kind, d.name), earlier.declaration.file)
	case d.kind != earlier.declaration.kind:
		m.allProblems.add(d.namePosition, RuleOverride, "%q is of kind %s in %s; an override cannot change the kind", d.name,
			earlier.declaration.kind, earlier.declaration.file)
	default:
		maps.Copy(earlier.fields, d.fields)
	}
}

func objectLabel(kind, name string) string {
	if kind == KindFloors {
		return kind
	}
	return fmt.Sprintf("%s %q", kind, name)
}

func (m *merger) build() *Set {
	set := &Set{specs: map[string]api.Spec{}, teams: map[string]api.Team{}}
	for _, key := range slices.Sorted(maps.Keys(m.objects)) {
		obj := m.objects[key]
		m.checkRequired(obj)
		switch obj.declaration.kind {
		case KindTeam:
			set.teams[obj.declaration.name] = buildTeam(obj)
		case KindFloors:
			set.floors = m.buildFloors(obj)
		default:
			m.checkWorkload(obj)
			set.specs[obj.declaration.name] = buildWorkload(obj)
		}
	}
	return set
}

func (m *merger) checkRequired(obj *mergedObject) {
	for _, key := range schemas[obj.declaration.kind].required {
		if _, given := obj.fields[key]; !given {
			m.allProblems.add(obj.declaration.start, RuleMissingKey, "key %q is missing; kind %s requires it", key, obj.declaration.kind)
		}
	}
}

func (m *merger) checkWorkload(obj *mergedObject) {
	m.checkTeam(obj)
	m.checkRegions(obj)
	deadline, runTime := get[time.Duration](obj, keyDeadline), get[time.Duration](obj, keyRunTime)
	if deadline > 0 && runTime > deadline {
		m.allProblems.add(obj.fields[keyDeadline].position, RuleValue, "deadline %s is shorter than the run time %s", deadline, runTime)
	}
}

func (m *merger) checkTeam(obj *mergedObject) {
	team := get[string](obj, keyTeam)
	if team == "" {
		return
	}
	if _, known := m.objects[objectKey(KindTeam, team)]; !known {
		m.allProblems.add(obj.fields[keyTeam].position, RuleUnknownTeam, "team %q is not stated in any file of kind team", team)
	}
}

func (m *merger) checkRegions(obj *mergedObject) {
	if m.regions == nil {
		return
	}
	for _, region := range get[[]string](obj, keyRegions) {
		if _, known := slices.BinarySearch(m.regions, region); !known {
			m.allProblems.add(obj.fields[keyRegions].position, RuleUnknownRegion, "region %q is unknown; known: %v", region, m.regions)
		}
	}
}

func (m *merger) buildFloors(obj *mergedObject) api.Floors {
	var floors api.Floors
	sum := 0.0
	for u := range floors {
		floors[u] = get[float64](obj, api.Urgency(u).String())
		sum += floors[u]
	}
	if sum > 100 {
		m.allProblems.add(obj.declaration.start, RuleValue, "the floors add up to %g%%; at most 100%% are accepted", sum)
	}
	return floors
}

func buildTeam(obj *mergedObject) api.Team {
	return api.Team{Name: obj.declaration.name, Quota: buildResources(obj), RequestsPerSecond: get[float64](obj, keyRequestsPerSecond)}
}

func buildWorkload(obj *mergedObject) api.Spec {
	replicas := defaultReplicas
	if declared, ok := obj.fields[keyReplicas].value.(int); ok {
		replicas = declared
	}
	return api.Spec{
		Name:      obj.declaration.name,
		Kind:      api.Kind(obj.declaration.kind),
		Team:      get[string](obj, keyTeam),
		Urgency:   get[api.Urgency](obj, keyUrgency),
		Replicas:  replicas,
		Resources: buildResources(obj),
		RunTime:   get[time.Duration](obj, keyRunTime),
		Deadline:  get[time.Duration](obj, keyDeadline),
		Regions:   get[[]string](obj, keyRegions),
		Command:   get[[]string](obj, keyCommand),
		File:      obj.declaration.file,
	}
}

func buildResources(obj *mergedObject) api.Resources {
	return api.Resources{
		MilliCPU:     get[int64](obj, keyCPU),
		MemoryMB:     get[int64](obj, keyMemory),
		Accelerators: get[int64](obj, keyAccelerators),
	}
}

// get returns the value of a key, or the zero value if the key is absent or its value is refused.
func get[T any](obj *mergedObject, key string) T {
	value, _ := obj.fields[key].value.(T)
	return value
}
