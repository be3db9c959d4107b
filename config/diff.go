package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bronzehook/api"
)

// Action says how a configuration object (a workload, a team or the floors) changed.
type Action string

// Values of Action.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// FieldChange is the change of one key of a configuration object. From is empty if the key was absent before, To if it is
// absent now.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Change is the difference between two versions of one configuration object.
type Change struct {
	Kind   string        `json:"kind"`
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// flatObject is a configuration object whose values are texts in the notation of the configuration files.
type flatObject struct {
	kind   string
	name   string
	fields map[string]string
}

// Diff returns the differences between two sets, sorted by kind and name. Moving an object from one file to another is
// not a difference. A nil set counts as empty.
func Diff(before, after *Set) []Change {
	oldObjects, newObjects := before.flatten(), after.flatten()
	keys := maps.Clone(oldObjects)
	maps.Copy(keys, newObjects)
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if change, differs := compareObjects(oldObjects[key], newObjects[key]); differs {
			changes = append(changes, change)
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

func compareObjects(oldObject, newObject flatObject) (Change, bool) {
	change := Change{Kind: cmp.Or(newObject.kind, oldObject.kind), Name: cmp.Or(newObject.name, oldObject.name), Action: Changed}
	switch {
	case oldObject.kind == "":
		change.Action = Added
	case newObject.kind == "":
		change.Action = Removed
	case oldObject.kind != newObject.kind:
		change.Fields = append(change.Fields, FieldChange{Field: keyKind, From: oldObject.kind, To: newObject.kind})
	}
	keys := maps.Clone(oldObject.fields)
	if keys == nil {
		keys = map[string]string{}
	}
	maps.Copy(keys, newObject.fields)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if from, to := oldObject.fields[key], newObject.fields[key]; from != to {
			change.Fields = append(change.Fields, FieldChange{Field: key, From: from, To: to})
		}
	}
	return change, len(change.Fields) > 0 || change.Action != Changed
}

func (s *Set) flatten() map[string]flatObject {
	objects := map[string]flatObject{}
	if s == nil {
		return objects
	}
	for name, spec := range s.specs {
		objects[objectKey(string(spec.Kind), name)] = flatObject{kind: string(spec.Kind), name: name, fields: specFields(spec)}
	}
	for name, team := range s.teams {
		objects[objectKey(KindTeam, name)] = flatObject{kind: KindTeam, name: name, fields: teamFields(team)}
	}
	if s.floors != (api.Floors{}) {
		objects[objectKey(KindFloors, KindFloors)] = flatObject{kind: KindFloors, name: KindFloors, fields: floorFields(s.floors)}
	}
	return objects
}

func specFields(spec api.Spec) map[string]string {
	fields := resourceFields(spec.Resources)
	fields[keyTeam] = spec.Team
	fields[keyUrgency] = spec.Urgency.String()
	fields[keyReplicas] = fmt.Sprint(spec.Replicas)
	fields[keyRunTime] = durationText(spec.RunTime)
	fields[keyDeadline] = durationText(spec.Deadline)
	fields[keyRegions] = strings.Join(spec.Regions, ", ")
	if len(spec.Command) > 0 {
		fields[keyCommand] = fmt.Sprintf("%q", spec.Command)
	}
	return fields
}

func teamFields(team api.Team) map[string]string {
	fields := resourceFields(team.Quota)
	if team.RequestsPerSecond > 0 {
		fields[keyRequestsPerSecond] = fmt.Sprint(team.RequestsPerSecond)
	}
	return fields
}

func floorFields(floors api.Floors) map[string]string {
	fields := map[string]string{}
	for u, share := range floors {
		fields[api.Urgency(u).String()] = fmt.Sprintf("%g%%", share)
	}
	return fields
}

func resourceFields(r api.Resources) map[string]string {
	fields := map[string]string{}
	if r.MilliCPU > 0 {
		fields[keyCPU] = fmt.Sprintf("%dm", r.MilliCPU)
	}
	if r.MemoryMB > 0 {
		fields[keyMemory] = fmt.Sprintf("%dMiB", r.MemoryMB)
	}
	if r.Accelerators > 0 {
		fields[keyAccelerators] = fmt.Sprint(r.Accelerators)
	}
	return fields
}

func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
