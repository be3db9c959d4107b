package ownership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bronzehook/api"
)

// Place is a unit together with where it is. The coordinator has no location.
type Place struct {
	Unit     api.Unit
	Location api.Location
}

// Ranked returns the candidates in the order of the rendezvous hash for a unit.
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

// Eligible returns the instances among which the owner of a place is chosen: those of its data centre, else of its
// region, else all.
func Eligible(place Place, instances []api.Instance) []api.Instance {
	if place.Location.DataCentre != "" {
		if near := inDataCentre(instances, place.Location.DataCentre); len(near) > 0 {
			return near
		}
	}
	if near := inRegion(instances, place.Location.Region); len(near) > 0 {
		return near
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

// Assign chooses an owner for each place. The result depends only on the arguments, not on their order. Within a data
// centre (or the region of shards), no instance gets more than ceil(units/instances) + 1 units, so that a takeover moves
// few of them and load stays even.
func Assign(places []Place, instances []api.Instance) map[api.Unit]api.InstanceID {
	assigned := make(map[api.Unit]api.InstanceID, len(places))
	if len(instances) == 0 {
		return assigned
	}
	for _, group := range groups(places) {
		eligible := Eligible(group[0], instances)
		limit := (len(group)+len(eligible)-1)/len(eligible) + 1
		counts := map[api.InstanceID]int{}
		for _, place := range group {
			owner := firstBelow(Ranked(place.Unit, eligible), counts, limit)
			counts[owner]++
			assigned[place.Unit] = owner
		}
	}
	return assigned
}

func firstBelow(ranked []api.Instance, counts map[api.InstanceID]int, limit int) api.InstanceID {
	for _, i := range ranked {
		if counts[i.ID] < limit {
			return i.ID
		}
	}
	return ranked[0].ID
}

// groups gathers the places of one kind and scope, ordered by key.
func groups(places []Place) [][]Place {
	byScope := map[api.Unit][]Place{}
	for _, p := range places {
		scope := api.Unit{Kind: p.Unit.Kind, Scope: p.Unit.Scope}
		byScope[scope] = append(byScope[scope], p)
	}
	var all [][]Place
	for _, group := range byScope {
		slices.SortFunc(group, func(a, b Place) int { return strings.Compare(a.Unit.Key(), b.Unit.Key()) })
		all = append(all, group)
	}
	return all
}

// Deputy chooses the deputy of a shard: the first other instance of the region by rendezvous hash, or "" if there is
// none.
func Deputy(unit api.Unit, owner api.InstanceID, instances []api.Instance) api.InstanceID {
	for _, i := range Ranked(unit, inRegion(instances, unit.Scope)) {
		if i.ID != owner {
			return i.ID
		}
	}
	return ""
}
