package ownership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bronzehook/api"
)

// UnitLocation is a unit together with its location. The coordinator unit has no location.
type UnitLocation struct {
	Unit     api.Unit
	Location api.Location
}

// Ranked returns the candidates in the order of preference for a unit, by rendezvous hashing.
func Ranked(unit api.Unit, candidates []api.Instance) []api.Instance {
	ranked := slices.Clone(candidates)
	weights := make(map[api.InstanceID]uint64, len(candidates))
	for _, c := range candidates {
		weights[c.ID] = xxhash.Sum64String(unit.Key() + "\x00" + string(c.ID))
	}
	slices.SortFunc(ranked, func(a, b api.Instance) int {
		if weights[a.ID] != weights[b.ID] {
			if weights[a.ID] > weights[b.ID] {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return ranked
}

// Eligible returns the instances from which the owner of a unit is chosen: those of the unit's data centre; if there
// are none, those of its region; if there are none either, all.
func Eligible(loc UnitLocation, instances []api.Instance) []api.Instance {
	if loc.Location.DataCentre != "" {
		if local := inDataCentre(instances, loc.Location.DataCentre); len(local) > 0 {
			return local
		}
	}
	if local := inRegion(instances, loc.Location.Region); len(local) > 0 {
		return local
	}
	return instances
}

func inDataCentre(instances []api.Instance, name string) []api.Instance {
	return filter(instances, func(i api.Instance) bool { return i.Location.DataCentre == name })
}

func inRegion(instances []api.Instance, name string) []api.Instance {
	return filter(instances, func(i api.Instance) bool { return i.Location.Region == name })
}

func filter(instances []api.Instance, keep func(api.Instance) bool) []api.Instance {
	var kept []api.Instance
	for _, i := range instances {
		if keep(i) {
			kept = append(kept, i)
		}
	}
	return kept
}

// Assign chooses an owner for each unit. The result does not depend on the order of the arguments. Within a data centre
// (or a region, for shards), no instance gets more than ceil(units/instances) + 1 units, so that a takeover moves few
// units and the load stays balanced.
func Assign(locations []UnitLocation, instances []api.Instance) map[api.Unit]api.InstanceID {
	assigned := make(map[api.Unit]api.InstanceID, len(locations))
	if len(instances) == 0 {
		return assigned
	}
	for _, group := range groupByScope(locations) {
		eligible := Eligible(group[0], instances)
		limit := (len(group)+len(eligible)-1)/len(eligible) + 1
		counts := map[api.InstanceID]int{}
		for _, loc := range group {
			owner := firstBelowLimit(Ranked(loc.Unit, eligible), counts, limit)
			counts[owner]++
			assigned[loc.Unit] = owner
		}
	}
	return assigned
}

func firstBelowLimit(ranked []api.Instance, counts map[api.InstanceID]int, limit int) api.InstanceID {
	for _, i := range ranked {
		if counts[i.ID] < limit {
			return i.ID
		}
	}
	return ranked[0].ID
}

// groupByScope groups the units by kind and scope and orders each group by key.
func groupByScope(locations []UnitLocation) [][]UnitLocation {
	byScope := map[api.Unit][]UnitLocation{}
	for _, loc := range locations {
		scope := api.Unit{Kind: loc.Unit.Kind, Scope: loc.Unit.Scope}
		byScope[scope] = append(byScope[scope], loc)
	}
	var all [][]UnitLocation
	for _, group := range byScope {
		slices.SortFunc(group, func(a, b UnitLocation) int { return strings.Compare(a.Unit.Key(), b.Unit.Key()) })
		all = append(all, group)
	}
	return all
}

// ChooseBackup chooses the backup instance of a shard: the instance of the region, other than the owner, that rendezvous
// hashing prefers, or "" if there is none.
func ChooseBackup(unit api.Unit, owner api.InstanceID, instances []api.Instance) api.InstanceID {
	for _, i := range Ranked(unit, inRegion(instances, unit.Scope)) {
		if i.ID != owner {
			return i.ID
		}
	}
	return ""
}
