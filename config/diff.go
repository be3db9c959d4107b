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

// Action says how a piece of configuration changed.
type Action string

// The actions.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// FieldChange is one key whose value differs. From or To is empty if the key is absent on that side.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Change is what differs in one piece of work, one team or the floors.
type Change struct {
	Kind   string        `json:"kind"`
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// stated is one piece of configuration as key and text, in the form that files use.
type stated struct {
	kind   string
	name   string
	fields map[string]string
}

// Diff compares two sets by work, teams and floors, in the order of kinds and names. Moving work from one file to
// another is no difference. A nil set is empty.
func Diff(before, after *Set) []Change {
	old, now := before.flatten(), after.flatten()
	keys := maps.Clone(old)
	maps.Copy(keys, now)
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if change, differs := compare(old[key], now[key]); differs {
			changes = append(changes, change)
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

func compare(old, now stated) (Change, bool) {
	change := Change{Kind: cmp.Or(now.kind, old.kind), Name: cmp.Or(now.name, old.name), Action: Changed}
	switch {
	case old.kind == "":
		change.Action = Added
	case now.kind == "":
		change.Action = Removed
	case old.kind != now.kind:
		change.Fields = append(change.Fields, FieldChange{Field: keyKind, From: old.kind, To: now.kind})
	}
	keys := maps.Clone(old.fields)
	if keys == nil {
		keys = map[string]string{}
	}
	maps.Copy(keys, now.fields)
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if from, to := old.fields[key], now.fields[key]; from != to {
			change.Fields = append(change.Fields, FieldChange{Field: key, From: from, To: to})
		}
	}
	return change, len(change.Fields) > 0 || change.Action != Changed
}

func (s *Set) flatten() map[string]stated {
	all := map[string]stated{}
	if s == nil {
		return all
	}
	for name, spec := range s.specs {
		all[entryKey(string(spec.Kind), name)] = stated{kind: string(spec.Kind), name: name, fields: specFields(spec)}
	}
	for name, team := range s.teams {
		all[entryKey(KindTeam, name)] = stated{kind: KindTeam, name: name, fields: teamFields(team)}
	}
	if s.floors != (api.Floors{}) {
		all[entryKey(KindFloors, KindFloors)] = stated{kind: KindFloors, name: KindFloors, fields: floorFields(s.floors)}
	}
	return all
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
