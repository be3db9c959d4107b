package instance

import (
	"maps"
	"slices"

	"bronzehook/api"
	"bronzehook/membership"
)

// viewInputs is what a view of routing is built from, beside the endpoints, whose changes set viewStale. Most seconds
// change none of it, and building a view takes milliseconds at thousands of endpoints.
type viewInputs struct {
	members *membership.View
	// workers are those of the directory with the leaving flags of all sources.
	workers []api.Worker
	drained map[api.WorkerID]bool
	work    *api.WorkSet
}

func (v *viewService) inputs() viewInputs {
	members := v.members.View()
	return viewInputs{
		members: members, workers: v.leaving.join(members.Workers), drained: v.drains.Workers(),
		work: &v.rollout.Snapshot().Work,
	}
}

// equal reports whether a view built from other would be the same.
func (in *viewInputs) equal(other *viewInputs) bool {
	return other.members != nil && in.work == other.work && maps.Equal(in.drained, other.drained) &&
		slices.Equal(in.workers, other.workers) &&
		maps.EqualFunc(in.members.Members, other.members.Members, sameForRouting)
}

// sameForRouting compares the parts of a member that a view uses.
func sameForRouting(a, b membership.Member) bool {
	return a.Status == b.Status && a.Heard == b.Heard && a.Instance == b.Instance
}
